//! Detection of poison requests: requests that crash the endpoints which run them.
//!
//! A caller may send a request that crashes every endpoint which starts to run it, and may send it again
//! to any VM. Unless it is blocked, each attempt crashes one more endpoint, together with all other calls
//! that run there, until the service is down. The table counts crashes per request and blocks a request
//! once several endpoints have crashed while they ran it. A blocked request is sent nowhere until its
//! block expires.
//!
//! Requests that merely ran at the same endpoint are counted as well. A complete answer clears them: it
//! removes the crashes counted so far, and those of the next [`Config::cleared_for`] are not counted. A
//! popular request is therefore served even while nearly all endpoints are lost, and a poison request
//! never gets a complete answer.
//!
//! The approach is that of poison messages in queues, which are set aside after a number of unacknowledged
//! deliveries.

pub mod broken_runs;
pub mod parts;

use std::fmt;
use std::time::Duration;

use pimento_units::Digest;
use pimento_units::Moment;

/// One crash of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// The incarnation that crashed, if the endpoint reports incarnations.
    pub incarnation: Option<u64>,
}

/// Thresholds, durations and capacities of a [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Crashes before a request is blocked. A request that is not at fault is rarely present at three
    /// crashes in a row without an answer in between.
    pub block_threshold: usize,
    /// Time after a complete answer during which crashes are not counted against the request.
    pub cleared_for: Duration,
    /// Minimum time between two announcements that a request is cleared.
    pub announce_interval: Duration,
    /// Crashes of an endpoint that reports no incarnations count as one if they are less than this apart.
    pub dedup_window: Duration,
    /// Time after which a crash no longer counts.
    pub crash_ttl: Duration,
    /// Length of the first block. Each further block, which a single further crash starts, lasts twice as
    /// long as the one before.
    pub block_duration: Duration,
    /// Maximum length of a block.
    pub max_block_duration: Duration,
    /// Maximum number of suspects. The lowest-ranked one is evicted.
    pub max_suspects: usize,
    /// Maximum number of requests with complete answers. Those answered longest ago are evicted.
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

/// Effect of a crash on a request that ran at the endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A recent complete answer clears the request; the crash does not count.
    Cleared,
    /// This crash was counted before.
    Duplicate,
    /// The crash counts but does not block the request, because too few crashes count so far or the request is
    /// blocked already. Holds the number of crashes that count.
    Suspected(usize),
    /// The request is blocked from now on.
    Blocked,
}

impl fmt::Debug for Verdict {
    /// Prints the words that logs show under the key `verdict`, which differ from the variant names.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cleared => f.write_str("Cleared"),
            Self::Duplicate => f.write_str("Known"),
            Self::Suspected(crashes) => f.debug_tuple("Suspected").field(crashes).finish(),
            Self::Blocked => f.write_str("Barred"),
        }
    }
}

/// A request that ran at an endpoint when it crashed.
#[derive(Debug, Clone)]
struct Suspect {
    digest: Digest,
    /// The crashes that count, in the order in which they were recorded.
    crashes: Vec<(Crash, Moment)>,
    /// Number of blocks so far.
    blocks: u32,
    /// When the current block expires.
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

    /// Eviction order: the suspect with the lowest rank is evicted first.
    fn rank(&self) -> (Option<Moment>, usize, Option<Moment>) {
        let last = self.crashes.last().map(|(_, at)| *at);
        (self.blocked_until, self.crashes.len(), last)
    }
}

/// A request that got a complete answer.
#[derive(Debug, Clone, Copy)]
struct Answer {
    digest: Digest,
    /// Time of the last complete answer.
    at: Moment,
    /// When a VM last announced the answer to the others.
    announced: Option<Moment>,
}

/// The suspected and the answered requests known to one VM.
#[derive(Debug, Clone)]
pub struct Table {
    config: Config,
    /// Sorted by digest.
    suspects: Vec<Suspect>,
    /// Sorted by digest.
    answers: Vec<Answer>,
}

impl Table {
    /// Creates an empty table.
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

    /// Records a complete answer. Returns whether the request was a suspect until now.
    pub fn record_answer(&mut self, digest: Digest, now: Moment) -> bool {
        match self.answer_index(digest) {
            Ok(index) => {
                let answer = &mut self.answers[index];
                answer.at = answer.at.max(now);
            }
            Err(index) => {
                let answer = Answer {
                    digest,
                    at: now,
                    announced: None,
                };
                self.answers.insert(index, answer);
                self.evict_answers();
            }
        }
        let suspect = self.suspect_index(digest);
        suspect.map(|index| self.suspects.remove(index)).is_ok()
    }

    /// Records a complete answer that another VM announced.
    pub fn merge_answer(&mut self, digest: Digest, now: Moment) {
        self.record_answer(digest, now);
        if let Ok(index) = self.answer_index(digest) {
            self.answers[index].announced = Some(now);
        }
    }

    /// Returns whether this VM should announce now that the request is cleared, and if so starts a new
    /// announce interval. All VMs that know the answer receive the same crash report at about the same
    /// time, and they need not all announce it.
    pub fn should_announce_answer(&mut self, digest: Digest, now: Moment) -> bool {
        let interval = self.config.announce_interval;
        let Ok(index) = self.answer_index(digest) else {
            return false;
        };
        let answer = &mut self.answers[index];
        if answer.announced.is_some_and(|at| now.since(at) < interval) {
            return false;
        }
        answer.announced = Some(now);
        true
    }

    fn answer_index(&self, digest: Digest) -> Result<usize, usize> {
        self.answers.binary_search_by_key(&digest, |a| a.digest)
    }

    /// Evicts the older half of the answers once there are too many, so that evictions are rare.
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

    /// Returns whether a complete answer is recent enough to clear the request.
    #[must_use]
    pub fn is_cleared(&self, digest: Digest, now: Moment) -> bool {
        let since = |index: usize| now.since(self.answers[index].at);
        let known = self.answer_index(digest);
        known.is_ok_and(|index| since(index) < self.config.cleared_for)
    }

    /// Records that an endpoint crashed while the request ran there.
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
        let index = self.suspect_index_or_insert(digest);
        let suspect = &mut self.suspects[index];
        suspect.crashes.retain(|(_, at)| now.since(*at) < crash_ttl);
        let same = |(known, at): &(Crash, Moment)| {
            // Reports of other VMs arrive in any order.
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
        let duration = block_duration
            .saturating_mul(1 << suspect.blocks.min(16))
            .min(max_block_duration);
        suspect.blocked_until = Some(now + duration);
        suspect.blocks += 1;
        Verdict::Blocked
    }

    /// Counts a crash against no request any more, as its cause is known. Returns the requests that are
    /// no longer blocked.
    pub fn excuse(&mut self, crash: Crash) -> Vec<Digest> {
        let threshold = self.config.block_threshold;
        let mut released = Vec::new();
        for suspect in &mut self.suspects {
            let before = suspect.crashes.len();
            suspect.crashes.retain(|(known, _)| *known != crash);
            let excused = suspect.crashes.len() < before;
            if excused && suspect.crashes.len() < threshold && suspect.blocked_until.is_some() {
                suspect.blocked_until = None;
                suspect.blocks -= 1;
                released.push(suspect.digest);
            }
        }
        self.suspects.retain(|suspect| !suspect.crashes.is_empty());
        released
    }

    /// Returns the index of a suspect, which is inserted if it is not known yet.
    fn suspect_index_or_insert(&mut self, digest: Digest) -> usize {
        if let Ok(index) = self.suspect_index(digest) {
            return index;
        }
        if self.suspects.len() >= self.config.max_suspects {
            let ranked = self.suspects.iter().enumerate();
            if let Some((least, _)) = ranked.min_by_key(|(_, suspect)| suspect.rank()) {
                self.suspects.remove(least);
            }
        }
        let (Ok(index) | Err(index)) = self.suspect_index(digest);
        self.suspects.insert(index, Suspect::new(digest));
        index
    }

    /// Returns how long a request is still blocked, or `None` if it may be sent.
    #[must_use]
    pub fn blocked_for(&self, digest: Digest, now: Moment) -> Option<Duration> {
        let suspect = &self.suspects[self.suspect_index(digest).ok()?];
        let left = suspect.blocked_until?.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the blocked requests with the rest of their blocks, sorted by digest.
    pub fn blocked(&self, now: Moment) -> impl Iterator<Item = (Digest, Duration)> {
        let blocked = self.suspects.iter().filter_map(move |suspect| {
            let left = suspect.blocked_until?.since(now);
            (!left.is_zero()).then_some((suspect.digest, left))
        });
        blocked.filter(move |(digest, _)| !self.is_cleared(*digest, now))
    }

    /// Removes the blocks that have expired and returns their requests. One more crash blocks such a
    /// request again.
    pub fn expire_blocks(&mut self, now: Moment) -> Vec<Digest> {
        let crash_ttl = self.config.crash_ttl;
        let remaining = self.config.block_threshold.saturating_sub(1);
        let mut expired = Vec::new();
        for suspect in &mut self.suspects {
            if suspect.blocked_until.is_some_and(|until| until <= now) {
                suspect.blocked_until = None;
                suspect.crashes.truncate(remaining);
                // The remaining crashes get a new lifetime. After a long block they would otherwise expire
                // at once, and the next crash would not block the request.
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

    /// Returns the numbers of unblocked suspects and of blocked requests.
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
