//! Ownership of calls that may not be repeated.
//!
//! The first claim on a request id in offset order owns the request until its writer reports that the
//! call was not run. An entry is removed only after its id has become too old to be claimed, so a
//! removed id can't be claimed again. The size of the table is bounded by the window times the claim
//! rate.

use std::time::Duration;

use pimento_units::Wall;
use pimento_units::id;

use crate::record::Claim;
use crate::record::ClaimRecord;
use crate::record::Outcome;
use crate::record::Run;

/// How far a caller's clock may run ahead of the log's. Ids from further ahead are refused: an id
/// stays in the table until it is too old to be claimed, which would take years for an id dated
/// years ahead.
pub const SKEW: Duration = Duration::from_mins(1);

/// Expired entries are removed once they make up more than an eighth of the table. Moving the
/// remaining entries then has a constant amortized cost per claim.
const MAX_EXPIRED_DIVISOR: usize = 8;

/// The fold of the claims stream.
#[derive(Debug, Clone)]
pub struct Fold {
    window: Duration,
    now: Wall,
    entries: Vec<Entry>,
    released: Vec<(id::Request, id::Attempt)>,
    nodes: Vec<id::Node>,
}

/// One claimed request. It is small because a node holds one for each claim of the window; `node` is
/// an index into a table of names.
#[derive(Debug, Clone, Copy)]
struct Entry {
    request: id::Request,
    attempt: id::Attempt,
    digest: u64,
    node: u32,
    status: u16,
    run: Option<Run>,
}

/// Who owns a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The owning attempt.
    pub attempt: id::Attempt,
    /// The node that wrote the claim.
    pub node: id::Node,
    /// The digest of the call that was claimed.
    pub digest: u64,
    /// Whether the call ran, if its owner has reported it.
    pub run: Option<Run>,
    /// The status of the endpoint's answer, if there was one.
    pub status: Option<u16>,
}

/// Whether the age of a request id allows a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Age {
    /// It may be claimed.
    Fresh,
    /// The id is not a version 7 UUID and contains no creation time.
    Unreadable,
    /// The id is older than the window.
    Old,
    /// The id is dated further in the future than [`SKEW`].
    Early,
}

/// Whether a request id may be claimed at `now`.
#[must_use]
pub fn age(request: id::Request, now: Wall, window: Duration) -> Age {
    let Some(created) = request.created() else {
        return Age::Unreadable;
    };
    if created > now + SKEW {
        return Age::Early;
    }
    if created + window < now {
        return Age::Old;
    }
    Age::Fresh
}

impl Fold {
    /// An empty table for ids up to `window` old. The window must be shorter than the log's
    /// retention, or a new reader would miss claims that are still valid.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            now: Wall::from_millis(0),
            entries: Vec::new(),
            released: Vec::new(),
            nodes: Vec::new(),
        }
    }

    /// Applies the next record; `at` is the time at which the log accepted it.
    pub fn apply(&mut self, at: Wall, record: &ClaimRecord) {
        self.now = self.now.max(at);
        match record {
            ClaimRecord::Claim(claim) => self.claim(claim),
            ClaimRecord::Outcome(outcome) => self.outcome(outcome),
        }
        self.expire();
    }

    /// The owner of a request, according to the records read so far.
    #[must_use]
    pub fn owner(&self, request: id::Request) -> Option<Owner> {
        let entry = &self.entries[self.position(request).ok()?];
        let node = self.nodes.get(usize::try_from(entry.node).ok()?)?;
        Some(Owner {
            attempt: entry.attempt,
            node: node.clone(),
            digest: entry.digest,
            run: entry.run,
            status: (entry.status != 0).then_some(entry.status),
        })
    }

    /// Number of requests in the table.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The log's time at the newest record read.
    #[must_use]
    pub const fn log_time(&self) -> Wall {
        self.now
    }

    /// Bytes allocated for the table.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>()
            + self.released.capacity() * size_of::<(id::Request, id::Attempt)>()
            + self.nodes.capacity() * size_of::<id::Node>()
    }

    fn claim(&mut self, claim: &Claim) {
        if age(claim.request, self.now, self.window) != Age::Fresh {
            return;
        }
        // A claim that its writer has already released may reach the log late, when the answer to the
        // first append was lost. If it became the owner, it would block every later claim.
        let released = (claim.request, claim.attempt);
        if self.released.binary_search(&released).is_ok() {
            return;
        }
        let Err(position) = self.position(claim.request) else {
            return;
        };
        let entry = Entry {
            request: claim.request,
            attempt: claim.attempt,
            digest: claim.digest,
            node: self.node_index(&claim.node),
            status: 0,
            run: None,
        };
        self.entries.insert(position, entry);
    }

    fn outcome(&mut self, outcome: &Outcome) {
        if outcome.run == Run::NotRun {
            self.release(outcome);
            return;
        }
        let Ok(position) = self.position(outcome.request) else {
            return;
        };
        let entry = &mut self.entries[position];
        if entry.attempt == outcome.attempt {
            entry.run = Some(outcome.run);
            entry.status = outcome.status.unwrap_or(0);
        }
    }

    fn release(&mut self, outcome: &Outcome) {
        if age(outcome.request, self.now, self.window) != Age::Fresh {
            return;
        }
        if let Ok(position) = self.position(outcome.request) {
            let entry = &self.entries[position];
            // Once its writer has reported that a call ran or may have run, it can't be released.
            if entry.attempt == outcome.attempt && entry.run.is_none() {
                self.entries.remove(position);
            }
        }
        let released = (outcome.request, outcome.attempt);
        if let Err(position) = self.released.binary_search(&released) {
            self.released.insert(position, released);
        }
    }

    /// Removes ids that are too old to be claimed. Version 7 UUIDs sort by creation time, so the
    /// oldest ids come first.
    fn expire(&mut self) {
        let old = |request: &id::Request| age(*request, self.now, self.window) == Age::Old;
        let entries = self.entries.partition_point(|entry| old(&entry.request));
        let released = self.released.partition_point(|(request, _)| old(request));
        if entries * MAX_EXPIRED_DIVISOR > self.entries.len() {
            self.entries.drain(..entries);
        }
        if released * MAX_EXPIRED_DIVISOR > self.released.len() {
            self.released.drain(..released);
        }
    }

    fn position(&self, request: id::Request) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.request.cmp(&request))
    }

    fn node_index(&mut self, node: &id::Node) -> u32 {
        let known = self.nodes.iter().rposition(|name| name == node);
        let position = known.unwrap_or_else(|| {
            self.nodes.push(node.clone());
            self.nodes.len() - 1
        });
        u32::try_from(position).unwrap_or(u32::MAX)
    }
}
