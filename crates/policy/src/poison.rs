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

pub mod broken_runs;

use std::fmt;
use std::time::Duration;

use pimento_units::Digest;
use pimento_units::Moment;

/// One end of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Tells the incarnation that ended from others under the same name, if the endpoint says so.
    pub incarnation: Option<u64>,
}

/// Figures of a [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Endpoints that must have ended under a request before it is barred. A bystander is rarely there
    /// three times in a row without an answer in between.
    pub block_threshold: usize,
    /// For this long after a whole answer a request is not counted as one under which an endpoint
    /// ended.
    pub cleared_for: Duration,
    /// For this long nobody need be told again that a request is cleared.
    pub announce_interval: Duration,
    /// Ends of an endpoint that does not tell its lives apart are one if no more than this is between
    /// them.
    pub dedup_window: Duration,
    /// After this long an end is held against nobody.
    pub crash_ttl: Duration,
    /// How long the first bar lasts. Each further one lasts twice as long, as it begins with one more
    /// end.
    pub block_duration: Duration,
    /// The longest bar.
    pub max_block_duration: Duration,
    /// Suspects that are kept. The least suspect one makes room.
    pub max_suspects: usize,
    /// Requests with whole answers that are kept. The one that was answered longest ago makes room.
    pub max_answers: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            block_threshold: 3,
            cleared_for: Duration::from_secs(30),
            announce_interval: Duration::from_secs(5),
            dedup_window: Duration::from_secs(1),
            crash_ttl: Duration::from_mins(10),
            block_duration: Duration::from_mins(10),
            max_block_duration: Duration::from_hours(24),
            max_suspects: 2_048,
            max_answers: 1_024,
        }
    }
}

/// What the end of an endpoint changed for a request that ran there.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is known to be answered elsewhere.
    Cleared,
    /// The end was counted before.
    Duplicate,
    /// So many endpoints have ended under it.
    Suspected(usize),
    /// It is barred from now on.
    Blocked,
}

impl fmt::Debug for Verdict {
    /// Prints the words that logs show under the key `verdict`; they differ from the variants' names.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cleared => f.write_str("Cleared"),
            Self::Duplicate => f.write_str("Known"),
            Self::Suspected(crashes) => f.debug_tuple("Suspected").field(crashes).finish(),
            Self::Blocked => f.write_str("Barred"),
        }
    }
}

/// A request under which an endpoint ended.
#[derive(Debug, Clone)]
struct Suspect {
    digest: Digest,
    /// The ends that count, the oldest first.
    crashes: Vec<(Crash, Moment)>,
    /// Bars so far.
    blocks: u32,
    /// When its bar runs out.
    blocked_until: Option<Moment>,
}

impl Suspect {
    const fn new(digest: Digest) -> Self {
        Self {
            digest,
            crashes: Vec::new(),
            blocks: 0,
            blocked_until: None,
        }
    }

    /// Who stays longest when room is short.
    fn rank(&self) -> (Option<Moment>, usize, Option<Moment>) {
        let last = self.crashes.last().map(|(_, at)| *at);
        (self.blocked_until, self.crashes.len(), last)
    }
}

/// A request that was answered.
#[derive(Debug, Clone, Copy)]
struct Answer {
    digest: Digest,
    /// The last answer that was whole.
    at: Moment,
    /// When VMs last told each other of it.
    announced: Option<Moment>,
}

/// The requests under which endpoints ended, as one VM knows them.
#[derive(Debug, Clone)]
pub struct Table {
    config: Config,
    /// Sorted by digest.
    suspects: Vec<Suspect>,
    /// Requests that were answered, sorted by digest.
    answers: Vec<Answer>,
}

impl Table {
    /// Without suspects.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            suspects: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn suspect_index(&self, digest: Digest) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&digest, |s| s.digest)
    }

    /// An answer was whole. Whether the request was suspect until now.
    pub fn record_answer(&mut self, digest: Digest, now: Moment) -> bool {
        match self.answer_index(digest) {
            Ok(place) => {
                let answer = &mut self.answers[place];
                answer.at = answer.at.max(now);
            }
            Err(place) => {
                let answer = Answer {
                    digest,
                    at: now,
                    announced: None,
                };
                self.answers.insert(place, answer);
                self.evict_answers();
            }
        }
        let suspect = self.suspect_index(digest);
        suspect.map(|place| self.suspects.remove(place)).is_ok()
    }

    /// Another VM says that an answer was whole.
    pub fn merge_answer(&mut self, digest: Digest, now: Moment) {
        self.record_answer(digest, now);
        if let Ok(place) = self.answer_index(digest) {
            self.answers[place].announced = Some(now);
        }
    }

    /// Whether others are to be told now that a request is cleared. VMs that all know it hear of the same
    /// end at the same time, and need not all say so, again and again.
    pub fn should_announce_answer(&mut self, digest: Digest, now: Moment) -> bool {
        let interval = self.config.announce_interval;
        let Ok(place) = self.answer_index(digest) else {
            return false;
        };
        let answer = &mut self.answers[place];
        if answer.announced.is_some_and(|at| now.since(at) < interval) {
            return false;
        }
        answer.announced = Some(now);
        true
    }

    fn answer_index(&self, digest: Digest) -> Result<usize, usize> {
        self.answers.binary_search_by_key(&digest, |a| a.digest)
    }

    /// Makes room for half as many further answers, so that this is rare.
    fn evict_answers(&mut self) {
        if self.answers.len() <= self.config.max_answers {
            return;
        }
        let mut times: Vec<Moment> = self.answers.iter().map(|a| a.at).collect();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.answers.retain(|answer| answer.at > middle);
    }

    /// Whether a whole answer is recent enough to clear the request.
    #[must_use]
    pub fn is_cleared(&self, digest: Digest, now: Moment) -> bool {
        let since = |place: usize| now.since(self.answers[place].at);
        let known = self.answer_index(digest);
        known.is_ok_and(|place| since(place) < self.config.cleared_for)
    }

    /// An endpoint ended while the request ran there.
    pub fn record_crash(&mut self, digest: Digest, crash: Crash, now: Moment) -> Verdict {
        if self.is_cleared(digest, now) {
            return Verdict::Cleared;
        }
        let Config {
            block_threshold,
            dedup_window,
            crash_ttl,
            block_duration,
            max_block_duration,
            ..
        } = self.config;
        let place = self.suspect_index_or_insert(digest);
        let suspect = &mut self.suspects[place];
        suspect.crashes.retain(|(_, at)| now.since(*at) < crash_ttl);
        let same = |(known, at): &(Crash, Moment)| {
            // Word of others comes in any order.
            let between = now.since(*at).max(at.since(now));
            *known == crash && (crash.incarnation.is_some() || between < dedup_window)
        };
        if suspect.crashes.iter().any(same) {
            return Verdict::Duplicate;
        }
        suspect.crashes.push((crash, now));
        if suspect.blocked_until.is_some() || suspect.crashes.len() < block_threshold {
            return Verdict::Suspected(suspect.crashes.len());
        }
        let lasts = block_duration
            .saturating_mul(1 << suspect.blocks.min(16))
            .min(max_block_duration);
        suspect.blocked_until = Some(now + lasts);
        suspect.blocks += 1;
        Verdict::Blocked
    }

    /// The place of a request among the suspects.
    fn suspect_index_or_insert(&mut self, digest: Digest) -> usize {
        if let Ok(place) = self.suspect_index(digest) {
            return place;
        }
        if self.suspects.len() >= self.config.max_suspects {
            let ranked = self.suspects.iter().enumerate();
            if let Some((least, _)) = ranked.min_by_key(|(_, suspect)| suspect.rank()) {
                self.suspects.remove(least);
            }
        }
        let (Ok(place) | Err(place)) = self.suspect_index(digest);
        self.suspects.insert(place, Suspect::new(digest));
        place
    }

    /// How long a request is still barred; none if it may be sent.
    #[must_use]
    pub fn blocked_for(&self, digest: Digest, now: Moment) -> Option<Duration> {
        let suspect = &self.suspects[self.suspect_index(digest).ok()?];
        let left = suspect.blocked_until?.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Ends the bars that have run out, and gives them. One more end under such a request bars it
    /// again.
    pub fn expire_blocks(&mut self, now: Moment) -> Vec<Digest> {
        let crash_ttl = self.config.crash_ttl;
        let remaining = self.config.block_threshold.saturating_sub(1);
        let mut expired = Vec::new();
        for suspect in &mut self.suspects {
            if suspect.blocked_until.is_some_and(|until| until <= now) {
                suspect.blocked_until = None;
                suspect.crashes.truncate(remaining);
                // Its memory begins anew, or the first end after a long bar would count for nothing.
                suspect.crashes.iter_mut().for_each(|(_, at)| *at = now);
                expired.push(suspect.digest);
            }
        }
        let fresh = |suspect: &Suspect| {
            let last = suspect.crashes.last();
            suspect.blocked_until.is_some()
                || last.is_some_and(|(_, at)| now.since(*at) < crash_ttl)
        };
        self.suspects.retain(fresh);
        expired
    }

    /// Suspects that are not barred, and requests that are.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let blocked = self
            .suspects
            .iter()
            .filter(|s| s.blocked_until.is_some())
            .count();
        (self.suspects.len() - blocked, blocked)
    }
}

impl Default for Table {
    fn default() -> Self {
        Self::new(Config::default())
    }
}
