//! Endpoints that are not at their addresses any more, as this VM found out or was told.
//!
//! What a VM makes of it is decided by [`pimento_policy::presence`] and kept with the endpoint in the
//! [`Directory`](crate::directory::Directory), so that it ends with the incarnation. Here is what was
//! reported last, to tell other VMs and not to search the directory for each repetition.

use std::cmp::Reverse;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::presence::MAX_AVOIDED;
use pimento_policy::presence::Verdict;
use pimento_units::Moment;
use tokio::sync::Notify;

use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::incarnation::Incarnation;
use crate::node::Node;
use crate::node::millis;
use crate::topic::Log;

/// The most absences that are remembered.
const MAX_ABSENCES: usize = 1_024;

/// Reports of an absence that are less than this apart count as one: datagrams take some time, and a VM tells
/// others what it was told.
const SAME_REPORT: Duration = Duration::from_millis(500);

/// How long an absence is told to other VMs. Datagrams may be lost, and follow each other several times a
/// second.
const TELLING: Duration = Duration::from_secs(2);

/// The most absences that are told at a time: they go in every datagram.
const MAX_TOLD: usize = 16;

/// An absence that was reported.
#[derive(Debug, Clone, Copy)]
struct Entry {
    absence: Incarnation,
    /// When the endpoint's address answered for another one.
    at: Moment,
    /// Whether this VM avoids the endpoint for it, and tells others.
    avoided: bool,
}

/// The absences that were reported.
#[derive(Debug, Default)]
pub struct Absences {
    /// Sorted by absence.
    entries: Mutex<Vec<Entry>>,
    /// Notified when an endpoint is avoided.
    pub changed: Notify,
}

impl Absences {
    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a report says nothing that was not reported before.
    #[must_use]
    pub fn contains(&self, absence: Incarnation, at: Moment) -> bool {
        let known = self.lock();
        let found = known.binary_search_by_key(&absence, |known| known.absence);
        found.is_ok_and(|place| at <= known[place].at + SAME_REPORT)
    }

    /// Remembers a report, and whether this VM avoids the endpoint for it.
    pub fn insert(&self, absence: Incarnation, at: Moment, avoided: bool, now: Moment) {
        let mut known = self.lock();
        known.retain(|known| now.since(known.at) < MAX_AVOIDED);
        let report = Entry {
            absence,
            at,
            avoided,
        };
        match known.binary_search_by_key(&absence, |known| known.absence) {
            Ok(place) => known[place] = report,
            Err(place) if known.len() < MAX_ABSENCES => known.insert(place, report),
            Err(_) => {}
        }
    }

    /// The absences to tell other VMs now, with their ages: the latest if there are many.
    #[must_use]
    pub fn to_tell(&self, now: Moment) -> Vec<(Incarnation, Duration)> {
        let known = self.lock();
        let recent = |known: &&Entry| known.avoided && now.since(known.at) < TELLING;
        let mut recent: Vec<Entry> = known.iter().filter(recent).copied().collect();
        recent.sort_unstable_by_key(|known| Reverse(known.at));
        recent.truncate(MAX_TOLD);
        let told = recent.iter();
        told.map(|known| (known.absence, now.since(known.at)))
            .collect()
    }
}

/// Records that an endpoint's address answered for another one at `at`. Returns whether the endpoint is avoided
/// from now on; the caller then updates the pools.
pub fn record<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    absence: Incarnation,
    at: Moment,
) -> bool {
    if node.absences.contains(absence, at) {
        return false;
    }
    let now = boot::now();
    let found = node
        .directory
        .modify(|directory| directory.record_absence(absence, at, now));
    let verdict = found.as_ref().map(|(_, verdict)| *verdict);
    let avoided = matches!(verdict, Some(Verdict::Avoided | Verdict::Known));
    node.absences.insert(absence, at, avoided, now);
    if let Some((endpoint, verdict)) = found {
        log::info!(
            endpoint = endpoint.as_str(),
            verdict:?,
            age_ms = millis(now.since(at));
            "absences: The endpoint's address answered for another one."
        );
    }
    let newly_avoided = verdict == Some(Verdict::Avoided);
    if newly_avoided {
        node.absences.changed.notify_one();
    }
    newly_avoided
}
