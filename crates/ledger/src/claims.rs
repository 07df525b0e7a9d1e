//! Which attempt owns a call that may not be repeated.
//!
//! The first claim on a request id in offset order owns it until its writer says that the call was
//! not run. Entries live exactly as long as their id is young enough to be claimed: an id that is
//! forgotten can't be claimed again, and the table is bounded by the window times the claim rate.

use std::time::Duration;

use pimento_units::Wall;
use pimento_units::id;

use crate::record::Claim;
use crate::record::ClaimRecord;
use crate::record::Outcome;
use crate::record::Run;

/// How far a caller's clock may run ahead of the log's. Ids from further ahead are refused: an id
/// stays in the table until it is too old to be claimed, which one dated years ahead never is.
pub const SKEW: Duration = Duration::from_mins(1);

/// Expired entries are removed once they are this share (one in so many) of the table, so that
/// moving the rest costs a constant time for each claim.
const SLACK: usize = 8;

/// The fold of the claims stream.
#[derive(Debug, Clone)]
pub struct Fold {
    window: Duration,
    now: Wall,
    entries: Vec<Entry>,
    released: Vec<(id::Request, id::Attempt)>,
    nodes: Vec<id::Node>,
}

/// One claimed request. Kept small, since a node holds one for each claim of the window; the node
/// is an index into a table of names.
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
    /// Its writer.
    pub node: id::Node,
    /// The digest of the call that was claimed.
    pub digest: u64,
    /// What became of the call, if its owner said so.
    pub run: Option<Run>,
    /// The status that the endpoint answered, if it did.
    pub status: Option<u16>,
}

/// Whether the age of a request id allows a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Age {
    /// It may be claimed.
    Fresh,
    /// The id is not a version 7 UUID, so that its age can't be read.
    Unreadable,
    /// Older than the window.
    Old,
    /// From further in the future than [`SKEW`].
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
    /// retention, or a new reader would miss claims that still count.
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

    /// Applies the next record; `at` is when the log took it.
    pub fn apply(&mut self, at: Wall, call: &ClaimRecord) {
        self.now = self.now.max(at);
        match call {
            ClaimRecord::Claim(claim) => self.claim(claim),
            ClaimRecord::Outcome(outcome) => self.outcome(outcome),
        }
        self.expire();
    }

    /// Who owns a request, as far as this fold has read.
    #[must_use]
    pub fn owner(&self, request: id::Request) -> Option<Owner> {
        let entry = &self.entries[self.place(request).ok()?];
        let node = self.nodes.get(usize::try_from(entry.node).ok()?)?;
        Some(Owner {
            attempt: entry.attempt,
            node: node.clone(),
            digest: entry.digest,
            run: entry.run,
            status: (entry.status != 0).then_some(entry.status),
        })
    }

    /// Requests in the table.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The log's clock at the newest record read.
    #[must_use]
    pub const fn now(&self) -> Wall {
        self.now
    }

    /// Bytes that the table holds.
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
        // A claim whose writer has already given it up may reach the log late, because its first
        // answer was lost. Letting it own the request again would block every later claim.
        let given_up = (claim.request, claim.attempt);
        if self.released.binary_search(&given_up).is_ok() {
            return;
        }
        let Err(place) = self.place(claim.request) else {
            return;
        };
        let entry = Entry {
            request: claim.request,
            attempt: claim.attempt,
            digest: claim.digest,
            node: self.number(&claim.node),
            status: 0,
            run: None,
        };
        self.entries.insert(place, entry);
    }

    fn outcome(&mut self, outcome: &Outcome) {
        if outcome.run == Run::NotRun {
            self.release(outcome);
            return;
        }
        let Ok(place) = self.place(outcome.request) else {
            return;
        };
        let entry = &mut self.entries[place];
        if entry.attempt == outcome.attempt {
            entry.run = Some(outcome.run);
            entry.status = outcome.status.unwrap_or(0);
        }
    }

    fn release(&mut self, outcome: &Outcome) {
        if age(outcome.request, self.now, self.window) != Age::Fresh {
            return;
        }
        if let Ok(place) = self.place(outcome.request) {
            let entry = &self.entries[place];
            // Once its writer has said that a call ran or may have run, it can't be taken back.
            if entry.attempt == outcome.attempt && entry.run.is_none() {
                self.entries.remove(place);
            }
        }
        let given_up = (outcome.request, outcome.attempt);
        if let Err(place) = self.released.binary_search(&given_up) {
            self.released.insert(place, given_up);
        }
    }

    /// Removes ids that are too old to be claimed. Version 7 UUIDs sort by their time, so that
    /// these are the first ones.
    fn expire(&mut self) {
        let old = |request: &id::Request| age(*request, self.now, self.window) == Age::Old;
        let entries = self.entries.partition_point(|entry| old(&entry.request));
        let released = self.released.partition_point(|(request, _)| old(request));
        if entries * SLACK > self.entries.len() {
            self.entries.drain(..entries);
        }
        if released * SLACK > self.released.len() {
            self.released.drain(..released);
        }
    }

    fn place(&self, request: id::Request) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.request.cmp(&request))
    }

    fn number(&mut self, node: &id::Node) -> u32 {
        let known = self.nodes.iter().rposition(|name| name == node);
        let place = known.unwrap_or_else(|| {
            self.nodes.push(node.clone());
            self.nodes.len() - 1
        });
        u32::try_from(place).unwrap_or(u32::MAX)
    }
}
