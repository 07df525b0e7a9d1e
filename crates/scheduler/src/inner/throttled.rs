//! Endpoints that name a limit for all VMs together.

use std::sync::Arc;
use std::time::Duration;

use pimento_policy::throttle::Limit;
use pimento_units::Moment;
use pimento_units::id;

use super::Inner;
use crate::limited::Limited;
use crate::limited::Said;
use crate::limited::Source;
use crate::limited::Word;
use crate::pool::Job;
use crate::pool::Shared;
use crate::seat::NEVER;
use crate::seat::Seat;
use crate::sharers::Sharers;

/// Share of a job's time that waiting for its turn and running may take, as at the gate.
const HEADROOM: f64 = 0.5;

/// The shortest time after which a job comes back that this VM can't send.
const SOONEST: Duration = Duration::from_millis(500);

impl Inner {
    /// An endpoint named a limit, or none, in its answer to a call that was sent at `asked`. Whether that
    /// is news.
    ///
    /// An answer that names none ends a limit only if its call was sent after the limit had been named:
    /// answers of one endpoint may overtake each other.
    pub fn named(
        &mut self,
        endpoint: &id::Endpoint,
        limit: Option<Limit>,
        asked: Moment,
        now: Moment,
    ) -> bool {
        let Some(place) = self.place_of(endpoint) else {
            return false;
        };
        let seat = &mut self.seats[place];
        let known = seat.limited.and_then(|limited| limited.limit());
        let ends = seat.limited.is_some_and(|limited| limited.at() < asked);
        if limit.is_none() && (known.is_none() || !ends) {
            return false;
        }
        let said = Said {
            limit,
            source: Source::Own,
            at: now,
        };
        renew(seat, &self.sharers, said, now);
        known != limit
    }

    /// Another VM says what an endpoint named.
    pub fn hear_limit(&mut self, word: Word, now: Moment) {
        let Some(seat) = self.seats.iter_mut().find(|s| s.key == word.endpoint) else {
            return;
        };
        let at = now.before(word.age);
        if seat.limited.is_some_and(|limited| limited.at() >= at) {
            return;
        }
        let said = Said {
            limit: word.limit,
            source: Source::Heard,
            at,
        };
        renew(seat, &self.sharers, said, now);
    }

    /// What other VMs are to be told.
    pub fn limits(&self, now: Moment) -> Vec<Word> {
        let seats = self.seats.iter();
        let words = seats.filter_map(|seat| seat.limited?.word(seat.key, now));
        words.collect()
    }

    /// These VMs share what endpoints take from now on.
    pub fn share(&mut self, sharers: Sharers, now: Moment) {
        self.sharers = sharers;
        for seat in &mut self.seats {
            let (zone, key) = (&seat.member.zone, seat.key);
            if let Some(limited) = &mut seat.limited {
                limited.share(|limit| self.sharers.part(limit, zone, key), now);
            }
        }
    }

    /// When a job may come back whose turn at endpoints that all named limits would come too late, or
    /// never here. It hears so at once.
    pub fn throttled(&self, job: &Job, now: Moment) -> Option<Duration> {
        let version = job.version.as_ref();
        let usable = |s: &&Seat| s.member.usable && s.member.holds(version);
        let (mut part, mut ready, mut all) = (0.0, 0, 0.0);
        for seat in self.seats.iter().filter(usable) {
            let throttle = seat.throttle()?;
            part += throttle.rate();
            ready += u32::from(throttle.is_open(now));
            all += seat.limited?.limit()?.per_second();
        }
        if part <= 0.0 {
            return Some(seconds(1.0 / all).clamp(SOONEST, NEVER));
        }
        let ahead = self.waiting(version) + 1;
        let missing = f64::from(ahead.saturating_sub(ready));
        let wait = seconds(missing / part);
        let whole = job.deadline.since(now).mul_f64(HEADROOM);
        let slack = whole.saturating_sub(self.run(version, job.tokens));
        (wait > slack).then(|| wait.clamp(SOONEST, NEVER))
    }

    /// Jobs that wait for a version.
    fn waiting(&self, version: Option<&id::Version>) -> u32 {
        let station = self.stations.iter().find(|s| s.version.as_ref() == version);
        let waiting = station.map_or(0, |station| station.queue.len());
        u32::try_from(waiting).unwrap_or(u32::MAX - 1)
    }

    /// Looks at waiting jobs again once an endpoint with a limit may get one more: nothing else would, as
    /// no call may be under way that could end before.
    pub(super) fn rouse(&mut self, shared: &Arc<Shared>, now: Moment) {
        if self.stations.iter().all(|station| station.queue.is_empty()) {
            return;
        }
        let closed = self.seats.iter().filter_map(|seat| {
            let throttle = seat.throttle().filter(|throttle| !throttle.is_open(now))?;
            throttle.wait(now)
        });
        let Some(wait) = closed.min() else { return };
        let at = now + wait.max(SHORTEST);
        if self.rouse.is_some_and(|known| known > now && known <= at) {
            return;
        }
        self.rouse = Some(at);
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(at.since(now)).await;
            let now = shared.clock.now();
            shared.lock().pump(&shared, now);
        });
    }
}

/// The shortest time between two looks.
const SHORTEST: Duration = Duration::from_millis(10);

fn renew(seat: &mut Seat, sharers: &Sharers, said: Said, now: Moment) {
    let (zone, key, before) = (&seat.member.zone, seat.key, seat.throttle());
    let part = |limit| sharers.part(limit, zone, key);
    seat.limited = Some(Limited::new(said, before, part, now));
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(NEVER)
}
