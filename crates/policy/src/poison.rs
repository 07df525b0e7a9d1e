//! Poison requests: those under which endpoints end.
//!
//! **Load:** a request that crashes whatever begins to run it, and that its caller sends again at any VM.
//! **Without it:** each try and each retry ends one more endpoint, with all that ran there, until the
//! service is out. **How:** the ends of endpoints are counted by what ran there; a request under which
//! several have ended is barred, and sent nowhere until the bar runs out. Whatever else ran there is a
//! bystander and counted as well, so that an answer that was whole clears a request: of what it was
//! held for, and of what it would be held for a little later. A popular request is thus served through
//! the loss of nearly all endpoints, and a poison one never has such an answer.
//!
//! **Grounds:** poison messages of queues, which are put aside after so many deliveries that were not
//! acknowledged.

pub mod breaks;

use std::time::Duration;

use pimento_units::Digest;
use pimento_units::Moment;

/// One end of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Tells the life that ended from others under the same name, if the endpoint says so.
    pub life: Option<u64>,
}

/// Figures of a [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Endpoints that must have ended under a request before it is barred. A bystander is rarely there
    /// three times in a row without an answer in between.
    pub crashes: usize,
    /// For this long after a whole answer a request is not counted as one under which an endpoint
    /// ended.
    pub cleared: Duration,
    /// For this long nobody need be told again that a request is cleared.
    pub quiet: Duration,
    /// Ends of an endpoint that does not tell its lives apart are one if no more than this is between
    /// them.
    pub apart: Duration,
    /// After this long an end is held against nobody.
    pub memory: Duration,
    /// How long the first bar lasts. Each further one lasts twice as long, as it begins with one more
    /// end.
    pub bar: Duration,
    /// The longest bar.
    pub longest: Duration,
    /// Suspects that are kept. The least suspect one makes room.
    pub suspects: usize,
    /// Requests with whole answers that are kept. The one that was answered longest ago makes room.
    pub answered: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            crashes: 3,
            cleared: Duration::from_secs(30),
            quiet: Duration::from_secs(5),
            apart: Duration::from_secs(1),
            memory: Duration::from_mins(10),
            bar: Duration::from_mins(10),
            longest: Duration::from_hours(24),
            suspects: 2_048,
            answered: 1_024,
        }
    }
}

/// What the end of an endpoint changed for a request that ran there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is known to be answered elsewhere.
    Cleared,
    /// The end was counted before.
    Known,
    /// So many endpoints have ended under it.
    Suspected(usize),
    /// It is barred from now on.
    Barred,
}

/// A request under which an endpoint ended.
#[derive(Debug, Clone)]
struct Suspect {
    digest: Digest,
    /// The ends that count, the oldest first.
    crashes: Vec<(Crash, Moment)>,
    /// Bars so far.
    bars: u32,
    /// When its bar runs out.
    until: Option<Moment>,
}

impl Suspect {
    const fn new(digest: Digest) -> Self {
        Self {
            digest,
            crashes: Vec::new(),
            bars: 0,
            until: None,
        }
    }

    /// Who stays longest when room is short.
    fn rank(&self) -> (Option<Moment>, usize, Option<Moment>) {
        let last = self.crashes.last().map(|(_, at)| *at);
        (self.until, self.crashes.len(), last)
    }
}

/// A request that was answered.
#[derive(Debug, Clone, Copy)]
struct Answer {
    digest: Digest,
    /// The last answer that was whole.
    at: Moment,
    /// When VMs last told each other of it.
    told: Option<Moment>,
}

/// The requests under which endpoints ended, as one VM knows them.
#[derive(Debug, Clone)]
pub struct Table {
    config: Config,
    /// Sorted by digest.
    suspects: Vec<Suspect>,
    /// Requests that were answered, sorted by digest.
    answered: Vec<Answer>,
}

impl Table {
    /// Without suspects.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            suspects: Vec::new(),
            answered: Vec::new(),
        }
    }

    fn find(&self, digest: Digest) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&digest, |s| s.digest)
    }

    /// An answer was whole. Whether the request was suspect until now.
    pub fn answered(&mut self, digest: Digest, now: Moment) -> bool {
        match self.answer(digest) {
            Ok(place) => {
                let answer = &mut self.answered[place];
                answer.at = answer.at.max(now);
            }
            Err(place) => {
                let answer = Answer {
                    digest,
                    at: now,
                    told: None,
                };
                self.answered.insert(place, answer);
                self.forget();
            }
        }
        let suspect = self.find(digest);
        suspect.map(|place| self.suspects.remove(place)).is_ok()
    }

    /// Another VM says that an answer was whole.
    pub fn heard(&mut self, digest: Digest, now: Moment) {
        self.answered(digest, now);
        if let Ok(place) = self.answer(digest) {
            self.answered[place].told = Some(now);
        }
    }

    /// Whether others are to be told now that a request is cleared. VMs that all know it hear of the same
    /// end at the same time, and need not all say so, again and again.
    pub fn contradicts(&mut self, digest: Digest, now: Moment) -> bool {
        let quiet = self.config.quiet;
        let Ok(place) = self.answer(digest) else {
            return false;
        };
        let answer = &mut self.answered[place];
        if answer.told.is_some_and(|told| now.since(told) < quiet) {
            return false;
        }
        answer.told = Some(now);
        true
    }

    fn answer(&self, digest: Digest) -> Result<usize, usize> {
        self.answered.binary_search_by_key(&digest, |a| a.digest)
    }

    /// Makes room for half as many further answers, so that this is rare.
    fn forget(&mut self) {
        if self.answered.len() <= self.config.answered {
            return;
        }
        let mut times: Vec<Moment> = self.answered.iter().map(|a| a.at).collect();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.answered.retain(|answer| answer.at > middle);
    }

    /// Whether a whole answer is recent enough to clear the request.
    #[must_use]
    pub fn clears(&self, digest: Digest, now: Moment) -> bool {
        let since = |place: usize| now.since(self.answered[place].at);
        let known = self.answer(digest);
        known.is_ok_and(|place| since(place) < self.config.cleared)
    }

    /// An endpoint ended while the request ran there.
    pub fn crashed(&mut self, digest: Digest, crash: Crash, now: Moment) -> Verdict {
        if self.clears(digest, now) {
            return Verdict::Cleared;
        }
        let Config {
            crashes,
            apart,
            memory,
            bar,
            longest,
            ..
        } = self.config;
        let place = self.suspect(digest);
        let suspect = &mut self.suspects[place];
        suspect.crashes.retain(|(_, at)| now.since(*at) < memory);
        let same = |(known, at): &(Crash, Moment)| {
            // Word of others comes in any order.
            let between = now.since(*at).max(at.since(now));
            *known == crash && (crash.life.is_some() || between < apart)
        };
        if suspect.crashes.iter().any(same) {
            return Verdict::Known;
        }
        suspect.crashes.push((crash, now));
        if suspect.until.is_some() || suspect.crashes.len() < crashes {
            return Verdict::Suspected(suspect.crashes.len());
        }
        let lasts = bar.saturating_mul(1 << suspect.bars.min(16)).min(longest);
        suspect.until = Some(now + lasts);
        suspect.bars += 1;
        Verdict::Barred
    }

    /// The place of a request among the suspects.
    fn suspect(&mut self, digest: Digest) -> usize {
        if let Ok(place) = self.find(digest) {
            return place;
        }
        if self.suspects.len() >= self.config.suspects {
            let ranked = self.suspects.iter().enumerate();
            if let Some((least, _)) = ranked.min_by_key(|(_, suspect)| suspect.rank()) {
                self.suspects.remove(least);
            }
        }
        let (Ok(place) | Err(place)) = self.find(digest);
        self.suspects.insert(place, Suspect::new(digest));
        place
    }

    /// How long a request is still barred; none if it may be sent.
    #[must_use]
    pub fn barred(&self, digest: Digest, now: Moment) -> Option<Duration> {
        let suspect = &self.suspects[self.find(digest).ok()?];
        let left = suspect.until?.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Ends the bars that have run out, and gives them. One more end under such a request bars it
    /// again.
    pub fn lapse(&mut self, now: Moment) -> Vec<Digest> {
        let memory = self.config.memory;
        let keeps = self.config.crashes.saturating_sub(1);
        let mut lapsed = Vec::new();
        for suspect in &mut self.suspects {
            if suspect.until.is_some_and(|until| until <= now) {
                suspect.until = None;
                suspect.crashes.truncate(keeps);
                // Its memory begins anew, or the first end after a long bar would count for nothing.
                suspect.crashes.iter_mut().for_each(|(_, at)| *at = now);
                lapsed.push(suspect.digest);
            }
        }
        let fresh = |suspect: &Suspect| {
            let last = suspect.crashes.last();
            suspect.until.is_some() || last.is_some_and(|(_, at)| now.since(*at) < memory)
        };
        self.suspects.retain(fresh);
        lapsed
    }

    /// Suspects that are not barred, and requests that are.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let barred = self.suspects.iter().filter(|s| s.until.is_some()).count();
        (self.suspects.len() - barred, barred)
    }
}

impl Default for Table {
    fn default() -> Self {
        Self::new(Config::default())
    }
}
