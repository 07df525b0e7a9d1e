//! The endpoints that registered themselves, and which of them may get work.
//!
//! While the log is unreachable, the registrations of live endpoints expire because they can't be renewed.
//! They reappear within about two seconds of the log's recovery. Until then an endpoint whose registration
//! expired still gets work, because it is most likely alive. One whose registration is missing after that
//! is removed.

use std::collections::VecDeque;
use std::time::Duration;

use pimento_policy::presence;
use pimento_policy::presence::Presence;
use pimento_policy::presence::Verdict;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;

use crate::codec::Codec;
use crate::follow::Connectivity;
use crate::follow::Fold;
use crate::follow::RecordContext;
use crate::incarnation::Incarnation;
use crate::node::millis;
use crate::registration::Registration;
use crate::topic::Record;

/// Time after the log's recovery within which an expired registration may be renewed: endpoints renew theirs
/// within about two seconds of it.
pub const RENEWAL: Duration = Duration::from_millis(2_200);

/// Single endpoints are logged up to this many. Thousands that register or leave together would cost each VM
/// more than it has for its requests; the metrics count them.
const MAX_LOGGED: usize = 1_000;

/// Records of one cold start reach a VM more or less late, so that they tell ends that differ by up to this
/// time.
const COLD_END_TOLERANCE: Duration = Duration::from_millis(300);

/// Endpoints that are gone, of which so many are remembered.
const MAX_DEPARTED: usize = 4_096;

/// An endpoint and the state of its registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The registration.
    pub registration: Registration,
    /// If the registration expired during an outage of the log, the end of the time for its renewal.
    pub grace_end: Option<Moment>,
    /// When it stops being cold; none if it was not cold when it last wrote.
    pub cold_end: Option<Moment>,
    /// Whether it is assumed to be at its address.
    pub presence: Presence,
}

/// The registered endpoints, built up from their records.
#[derive(Debug)]
pub struct Directory<C> {
    codec: C,
    /// Sorted by id.
    members: Vec<Member>,
    /// Endpoints whose registrations were removed, the latest last, with the times when they started.
    departed: VecDeque<(id::Endpoint, u64)>,
    /// When the log was last reachable again after an outage; none if there was no outage.
    restored: Option<Moment>,
    /// Whether the log is unreachable.
    lost: bool,
}

impl<C: Codec> Directory<C> {
    /// An empty directory, before the first read.
    #[must_use]
    pub const fn new(codec: C) -> Self {
        Self {
            codec,
            members: Vec::new(),
            departed: VecDeque::new(),
            restored: None,
            lost: false,
        }
    }

    /// All endpoints that may be alive, sorted by id.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The endpoint of this id; none if it is not registered.
    #[must_use]
    pub fn member(&self, id: &id::Endpoint) -> Option<&Member> {
        let found = self.members.binary_search_by(|m| m.registration.id.cmp(id));
        found.ok().map(|place| &self.members[place])
    }

    fn member_mut(&mut self, id: &id::Endpoint) -> Option<&mut Member> {
        let found = self.members.binary_search_by(|m| m.registration.id.cmp(id));
        found.ok().map(|place| &mut self.members[place])
    }

    /// Whether new work may be sent to an endpoint.
    #[must_use]
    pub fn is_usable(&self, id: &id::Endpoint, now: Moment) -> bool {
        self.member(id).is_some_and(|member| member.is_usable(now))
    }

    /// Records that an endpoint's address answered for another one at `at`. Returns the endpoint and the effect;
    /// none if this incarnation is not registered.
    pub fn record_absence(
        &mut self,
        absence: Incarnation,
        at: Moment,
        now: Moment,
    ) -> Option<(id::Endpoint, Verdict)> {
        let is_meant = |member: &Member| member.incarnation() == absence;
        let place = self.members.iter().position(is_meant)?;
        let pool = self.presences(&self.members[place].registration.pool, now);
        let member = &mut self.members[place];
        let verdict = member.presence.misdirect(at, pool, now);
        Some((member.registration.id.clone(), verdict))
    }

    /// How many endpoints of a pool take work by their registrations, and how many of those are avoided.
    fn presences(&self, pool: &id::Pool, now: Moment) -> presence::Pool {
        let of_pool = |member: &&Member| member.registration.pool == *pool && member.is_usable(now);
        let of_pool = self.members.iter().filter(of_pool);
        let avoided = of_pool.clone().filter(|m| m.presence.is_avoided(now));
        presence::Pool {
            listed: of_pool.clone().count(),
            avoided: avoided.count(),
        }
    }

    /// The number of avoided endpoints of each pool, sorted by pool.
    #[must_use]
    pub fn avoided(&self, now: Moment) -> Vec<(id::Pool, usize)> {
        let mut counts: Vec<(id::Pool, usize)> = Vec::new();
        for member in &self.members {
            let pool = &member.registration.pool;
            let avoided = usize::from(member.presence.is_avoided(now));
            match counts.binary_search_by(|(known, _)| known.cmp(pool)) {
                Ok(place) => counts[place].1 += avoided,
                Err(place) => counts.insert(place, (pool.clone(), avoided)),
            }
        }
        counts
    }

    /// Removes the endpoints whose expired registrations were not renewed in time, and uses those again that
    /// were avoided for too long. Returns whether there were any.
    pub fn remove_expired(&mut self, now: Moment) -> bool {
        let before = self.members.len();
        let mut back = false;
        for member in &mut self.members {
            back |= member.presence.expire(now);
        }
        self.members
            .retain(|member| member.grace_end.is_none_or(|end| now < end));
        back || self.members.len() != before
    }

    /// When [`remove_expired`](Self::remove_expired) may next change an endpoint; none if no
    /// registration has expired and no endpoint is avoided.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Moment> {
        self.members
            .iter()
            .flat_map(|member| [member.grace_end, member.presence.avoided_until()])
            .flatten()
            .min()
    }

    /// Stores a registration. Returns false if it only shows that the endpoint is still alive.
    fn store(
        &mut self,
        registration: Registration,
        offset: Offset,
        context: RecordContext,
    ) -> bool {
        if context.restored && self.is_older(&registration) {
            return false;
        }
        let received = context.received;
        // Counted from now, since it is not known when the record was written. Until then the endpoint is
        // taken for cold longer than it is.
        let cold_end = (!registration.cold.is_zero()).then(|| received + registration.cold);
        if let Some(known) = self.member_mut(&registration.id)
            && known.is_unchanged(&registration, cold_end)
        {
            // The VMs that this one serves avoid it as well, and get no record that changes nothing.
            let was_avoided = known.presence.confirm(received);
            if was_avoided {
                let endpoint = registration.id.as_str();
                log::info!(endpoint; "directory: The endpoint wrote its record again, and is used again.");
            }
            return was_avoided;
        }
        let known = self.member(&registration.id);
        let changed = known.is_none_or(|m| m.registration.leaving != registration.leaving);
        if changed && !context.initial && self.members.len() < MAX_LOGGED {
            log::info!(
                topic = "endpoints",
                offset = offset.0,
                endpoint = registration.id.as_str(),
                pool = registration.pool.as_str(),
                version = registration.version.as_str(),
                leaving = registration.leaving,
                cold_ms = millis(registration.cold);
                "directory: Endpoint is new, or its state changed."
            );
        }
        self.insert(Member {
            registration,
            grace_end: None,
            cold_end,
            presence: Presence::new(received),
        });
        true
    }

    /// Whether a registration in the copy from which the log came back is older than what is known. Endpoints
    /// write theirs again soon; until then one that left must not get work.
    fn is_older(&self, registration: &Registration) -> bool {
        let Some(known) = self.member(&registration.id) else {
            let departed = (registration.id.clone(), registration.started_unix_ms);
            return self.departed.contains(&departed);
        };
        let known = &known.registration;
        let leaves = registration.leaving && !known.leaving;
        let same_start = registration.started_unix_ms == known.started_unix_ms;
        registration.started_unix_ms < known.started_unix_ms || same_start && !leaves
    }

    fn record_departure(&mut self, registration: Registration) {
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.pop_front();
        }
        let departed = (registration.id, registration.started_unix_ms);
        self.departed.push_back(departed);
    }

    fn insert(&mut self, member: Member) {
        let find = |known: &Member| known.registration.id.cmp(&member.registration.id);
        match self.members.binary_search_by(find) {
            Ok(place) => self.members[place] = member,
            Err(place) => self.members.insert(place, member),
        }
    }

    fn remove(&mut self, id: &id::Endpoint, context: RecordContext) {
        let Ok(place) = self.members.binary_search_by(|m| m.registration.id.cmp(id)) else {
            return;
        };
        let grace_end = self.restored.map(|restored| restored + RENEWAL);
        match grace_end.filter(|end| context.received < *end) {
            Some(end) if !self.members[place].registration.leaving => {
                log::info!(
                    endpoint = id.as_str();
                    "directory: The registration expired during an outage of the log, waiting for its renewal."
                );
                self.members[place].grace_end = Some(end);
            }
            _ => {
                if self.members.len() < MAX_LOGGED {
                    log::info!(endpoint = id.as_str(); "directory: Endpoint removed.");
                }
                let member = self.members.remove(place);
                self.record_departure(member.registration);
            }
        }
    }
}

impl Member {
    /// Whether a registration says nothing new of it.
    fn is_unchanged(&self, registration: &Registration, cold_end: Option<Moment>) -> bool {
        let same_cold_end = match (self.cold_end, cold_end) {
            (Some(known), Some(end)) => end <= known + COLD_END_TOLERANCE,
            (known, end) => known == end,
        };
        let known = Registration {
            cold: registration.cold,
            ..self.registration.clone()
        };
        self.grace_end.is_none() && same_cold_end && known == *registration
    }

    /// The life of the endpoint that is registered.
    pub(crate) fn incarnation(&self) -> Incarnation {
        let registration = &self.registration;
        Incarnation::new(&registration.id, registration.started_unix_ms)
    }

    /// How much longer it is cold; zero if it is not.
    #[must_use]
    pub fn cold_remaining(&self, now: Moment) -> Duration {
        self.cold_end.map_or(Duration::ZERO, |end| end.since(now))
    }

    /// Whether new work may be sent to it.
    #[must_use]
    pub fn is_usable(&self, now: Moment) -> bool {
        !self.registration.leaving && self.grace_end.is_none_or(|end| now < end)
    }
}

impl<C: Codec> Fold for Directory<C> {
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool {
        let Ok(id) = record.key.parse::<id::Endpoint>() else {
            log::warn!(
                "directory: The key {:?} is not an endpoint's id.",
                record.key
            );
            return false;
        };
        let Some(value) = &record.value else {
            self.remove(&id, context);
            return true;
        };
        match self.codec.decode_registration(&record.key, value) {
            Ok(registration) => self.store(registration, record.offset, context),
            Err(error) => {
                // Without a valid registration the endpoint can't be used. If it is alive it writes again soon.
                log::warn!(
                    "directory: Ignoring the registration of {id} at offset {}: {error}.",
                    record.offset
                );
                let before = self.members.len();
                self.members.retain(|member| member.registration.id != id);
                self.members.len() != before
            }
        }
    }

    fn connectivity_changed(&mut self, connectivity: Connectivity) {
        match connectivity {
            Connectivity::Lost => self.lost = true,
            Connectivity::Restored(at) => {
                if self.lost {
                    self.restored = Some(at);
                }
                self.lost = false;
            }
        }
    }
}
