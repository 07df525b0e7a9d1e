//! Detection of prompt parts that crash endpoints, whatever else a prompt holds.
//!
//! No two requests with such a part need to be alike, and each crash ends everything that ran beside it.
//! The table therefore compares crashes: a part that is at fault was present in each of them, and none of
//! its answers has begun after a crash and become complete.
//!
//! - Every crash has one cause. The part that explains most crashes is blocked first, and the crashes that
//!   it explains count against no other part. Otherwise a wave of crashes, in which few answers become
//!   complete, would block whatever is popular.
//! - Crashes count one after the other: a crash counts against a part only if the part was tried again
//!   after the one before. The loss of many endpoints at once is one crash for all that ran there.
//! - A complete answer excuses its parts from the crashes before it began, and from none after it: a part
//!   may turn bad at any time, with a new version of an engine.
//! - A prompt's leading part is shared by nearly all prompts of a route. It is blocked only for crashes
//!   that no other part explains.

mod answers;

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use pimento_units::Moment;

use self::answers::Answers;
use super::Crash;

/// Weight of a crash in the middle of an answer to a prompt with the part.
const BEGUN_WEIGHT: u32 = 5;

/// Weight of a crash before the answer began. Most of these prompts waited in the endpoint's queue.
const WAITING_WEIGHT: u32 = 3;

/// Identifies a prompt part: the hash of its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A part of a prompt that ran at an endpoint when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// The part.
    pub id: Id,
    /// Whether it is the prompt's first part.
    pub leads: bool,
    /// Whether the endpoint had begun to write the answer.
    pub begun: bool,
    /// When the answer began or, if it did not, when the request was sent.
    pub since: Moment,
}

impl Suspect {
    const fn weight(&self) -> u32 {
        if self.begun {
            BEGUN_WEIGHT
        } else {
            WAITING_WEIGHT
        }
    }

    /// Merges what another run at the same endpoint tells of the part.
    fn merge(&mut self, other: &Self) {
        self.leads &= other.leads;
        if (other.begun, other.since) > (self.begun, self.since) {
            self.begun = other.begun;
            self.since = other.since;
        }
    }
}

/// The distinct parts of several runs at one endpoint, sorted by part.
#[must_use]
pub fn merge<'a>(suspects: impl IntoIterator<Item = &'a Suspect>) -> Vec<Suspect> {
    let mut merged = Vec::new();
    for suspect in suspects {
        add(&mut merged, suspect);
    }
    merged
}

/// Adds a suspect to a list that is sorted by part.
fn add(suspects: &mut Vec<Suspect>, suspect: &Suspect) {
    match suspects.binary_search_by_key(&suspect.id, |s| s.id) {
        Ok(place) => suspects[place].merge(suspect),
        Err(place) => suspects.insert(place, *suspect),
    }
}

/// Thresholds, durations and capacities of a [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Crashes in the middle of answers, one after the other, before a part is blocked.
    pub block_threshold: u32,
    /// Time from a crash until it counts, in which the other VMs' reports of it arrive.
    pub settle_time: Duration,
    /// The same for leading parts, in which answers that excuse them become complete.
    pub lead_settle_time: Duration,
    /// Time from the last crash that counts to the end of a block.
    pub crash_ttl: Duration,
    /// Time after the end of a block during which a single crash blocks the part again.
    pub relapse_window: Duration,
    /// Maximum number of crashes. The oldest one is evicted.
    pub max_crashes: usize,
    /// Maximum number of parts of one crash. Those whose answers began earliest are left out.
    pub max_parts: usize,
    /// Maximum number of parts whose latest answers are kept. Those answered longest ago are evicted.
    pub max_answers: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            block_threshold: 3,
            settle_time: Duration::from_millis(300),
            lead_settle_time: Duration::from_millis(1_500),
            crash_ttl: Duration::from_mins(10),
            relapse_window: Duration::from_hours(24),
            max_crashes: 128,
            max_parts: 64,
            max_answers: 512,
        }
    }
}

/// A crash and the parts that ran there.
#[derive(Debug, Clone)]
struct Event {
    crash: Crash,
    at: Moment,
    /// Sorted by id.
    suspects: Vec<Suspect>,
}

impl Event {
    fn find(&self, id: Id) -> Option<&Suspect> {
        let place = self.suspects.binary_search_by_key(&id, |s| s.id).ok()?;
        Some(&self.suspects[place])
    }

    /// Leaves out the suspects that are least likely at fault, which crash their endpoint soon after their
    /// answers begin.
    fn limit(&mut self, most: usize) {
        while self.suspects.len() > most {
            let ranked = self.suspects.iter().enumerate();
            let least = ranked.min_by_key(|(_, suspect)| (suspect.begun, suspect.since));
            let Some((place, _)) = least else {
                return;
            };
            self.suspects.remove(place);
        }
    }
}

/// What changed since the last evaluation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Parts that are blocked now.
    pub blocked: Vec<Id>,
    /// Parts that are no longer blocked.
    pub released: Vec<Id>,
    /// Crashes that a blocked part explains.
    pub explained: Vec<Crash>,
}

/// The crashes known to one VM, and the parts that they block.
#[derive(Debug, Clone)]
pub struct Table {
    config: Config,
    /// Sorted by time.
    events: Vec<Event>,
    /// When the last complete answer of a suspect began, sorted by part.
    sound: Vec<(Id, Moment)>,
    /// Answers of this VM and of reports, for crashes that are reported later.
    answers: Answers,
    /// Blocked parts with the ends of their blocks, sorted by part.
    blocked: Vec<(Id, Moment)>,
    /// Parts whose blocks ran to their ends, and when they did.
    served: Vec<(Id, Moment)>,
    /// When the next evaluation may change a block; none if nothing is due.
    due: Option<Moment>,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            events: Vec::new(),
            sound: Vec::new(),
            answers: Answers::new(config.max_answers),
            blocked: Vec::new(),
            served: Vec::new(),
            due: None,
        }
    }

    /// Records a crash that one VM saw, with the parts of the prompts that it had sent there.
    pub fn record_crash(&mut self, crash: Crash, at: Moment, suspects: &[Suspect]) {
        let known = self.events.iter().position(|event| event.crash == crash);
        let place = known.unwrap_or_else(|| {
            if self.events.len() >= self.config.max_crashes {
                self.events.remove(0);
            }
            let place = self.events.partition_point(|event| event.at <= at);
            let suspects = Vec::new();
            let event = Event {
                crash,
                at,
                suspects,
            };
            self.events.insert(place, event);
            place
        });
        let event = &mut self.events[place];
        for suspect in suspects {
            add(&mut event.suspects, suspect);
        }
        event.limit(self.config.max_parts);
        let settled = event.at + self.config.settle_time;
        self.due = Some(self.due.map_or(settled, |due| due.min(settled)));
    }

    /// Records that a complete answer to a prompt with the part began at `began`. Returns whether that
    /// excuses the part from a crash.
    pub fn record_sound(&mut self, id: Id, began: Moment) -> bool {
        self.answers.record(id, began);
        let known = self.sound.binary_search_by_key(&id, |(part, _)| *part);
        let last = known.ok().map(|place| self.sound[place].1);
        let excuses = |event: &Event| {
            event.at < began && last.is_none_or(|last| last <= event.at) && event.find(id).is_some()
        };
        if !self.events.iter().any(excuses) {
            return false;
        }
        match known {
            Ok(place) => self.sound[place].1 = began,
            Err(place) => self.sound.insert(place, (id, began)),
        }
        self.due = Some(Moment::ZERO);
        true
    }

    /// Blocks and releases parts by what is known at `now`. Returns none if nothing was due.
    pub fn evaluate(&mut self, now: Moment) -> Option<Changes> {
        self.due.filter(|due| *due <= now)?;
        self.expire(now);
        let mut explained = vec![false; self.events.len()];
        let mut blocked = self.block(false, &mut explained, now);
        blocked.extend(self.block(true, &mut explained, now));
        blocked.sort_unstable();
        let missing = |list: &[(Id, Moment)], id: Id| {
            list.binary_search_by_key(&id, |(part, _)| *part).is_err()
        };
        let ids = |list: &[(Id, Moment)], other: &[(Id, Moment)]| {
            let list = list.iter().map(|(id, _)| *id);
            list.filter(|id| missing(other, *id)).collect()
        };
        let crashes = self.events.iter().zip(&explained);
        let changes = Changes {
            blocked: ids(&blocked, &self.blocked),
            released: ids(&self.blocked, &blocked),
            explained: crashes
                .filter_map(|(event, explained)| explained.then_some(event.crash))
                .collect(),
        };
        let ended = self.blocked.iter().filter(|(_, until)| *until <= now);
        self.served.extend(ended);
        self.blocked = blocked;
        self.due = self.next_due(now);
        Some(changes)
    }

    fn expire(&mut self, now: Moment) {
        let ttl = self.config.crash_ttl;
        self.events.retain(|event| now.since(event.at) < ttl);
        let window = self.config.relapse_window;
        self.served.retain(|(_, ended)| now.since(*ended) < window);
        let excess = self.served.len().saturating_sub(self.config.max_crashes);
        self.served.drain(..excess);
        let events = &self.events;
        self.sound
            .retain(|(id, _)| events.iter().any(|event| event.find(*id).is_some()));
    }

    /// The next moment at which a crash begins to count or is forgotten.
    fn next_due(&self, now: Moment) -> Option<Moment> {
        let Config {
            settle_time,
            lead_settle_time,
            crash_ttl,
            ..
        } = self.config;
        let after = [settle_time, lead_settle_time, crash_ttl];
        let moments = self
            .events
            .iter()
            .flat_map(|event| after.map(|d| event.at + d));
        moments.filter(|moment| *moment > now).min()
    }

    /// The parts that explain most of the crashes that are not `explained` yet, one after the other, with
    /// the ends of their blocks. Marks the crashes that they explain.
    fn block(&self, leads: bool, explained: &mut [bool], now: Moment) -> Vec<(Id, Moment)> {
        let mut blocked = Vec::new();
        loop {
            let settle_time = if leads {
                self.config.lead_settle_time
            } else {
                self.config.settle_time
            };
            let mut scores = self.scores(leads, explained, now.before(settle_time));
            scores.retain(|(id, score)| *score >= self.threshold(*id));
            let Some(best) = scores.iter().map(|(_, score)| *score).max() else {
                return blocked;
            };
            // Parts that always come together are equally suspect. To block one alone would take further
            // crashes to learn which, and those that have other prompts are excused by their answers.
            for (id, _) in scores.iter().filter(|(_, score)| *score == best) {
                blocked.push((*id, self.block_end(*id)));
                for (event, explained) in self.events.iter().zip(explained.iter_mut()) {
                    *explained |= event.find(*id).is_some();
                }
            }
        }
    }

    /// The weight of crashes from which a part is blocked.
    fn threshold(&self, id: Id) -> u32 {
        if self.served.iter().any(|(served, _)| *served == id) {
            BEGUN_WEIGHT
        } else {
            self.config.block_threshold * BEGUN_WEIGHT
        }
    }

    fn block_end(&self, id: Id) -> Moment {
        let newest = self.events.iter().rfind(|event| event.find(id).is_some());
        newest.map_or(Moment::ZERO, |event| event.at + self.config.crash_ttl)
    }

    /// The scores of all parts by the crashes up to `until` that count, sorted by part.
    fn scores(&self, leads: bool, explained: &[bool], until: Moment) -> Vec<(Id, u32)> {
        let mut scores: Vec<Score> = Vec::new();
        for (event, explained) in self.events.iter().zip(explained) {
            if *explained || event.at > until {
                continue;
            }
            for suspect in event.suspects.iter().filter(|s| s.leads == leads) {
                if self.is_excused(suspect.id, event.at) {
                    continue;
                }
                match scores.binary_search_by_key(&suspect.id, |score| score.id) {
                    Ok(place) => scores[place].count(suspect, event.at),
                    Err(place) => scores.insert(place, Score::first(suspect, event.at)),
                }
            }
        }
        scores
            .iter()
            .map(|score| (score.id, score.weight))
            .collect()
    }

    /// Whether a complete answer to a prompt with the part began after a crash.
    fn is_excused(&self, id: Id, crashed: Moment) -> bool {
        let known = self.sound.binary_search_by_key(&id, |(part, _)| *part);
        known.is_ok_and(|place| self.sound[place].1 > crashed)
            || self.answers.began_after(id, crashed)
    }

    /// How long a part is still blocked, as of the last evaluation; none if it is not.
    #[must_use]
    pub fn blocked_for(&self, id: Id, now: Moment) -> Option<Duration> {
        let place = self
            .blocked
            .binary_search_by_key(&id, |(part, _)| *part)
            .ok()?;
        let left = self.blocked[place].1.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a part is the one that most likely causes crashes, although it is not blocked yet: two crashes
    /// in a row count against it, and against no other part do more.
    #[must_use]
    pub fn is_prime_suspect(&self, id: Id, now: Moment) -> bool {
        let scores = self.scores(false, &vec![false; self.events.len()], now);
        let most = scores.iter().map(|(_, score)| *score).max();
        let own = scores.iter().find(|(part, _)| *part == id);
        own.is_some_and(|(_, own)| *own >= 2 * BEGUN_WEIGHT && Some(*own) == most)
    }

    /// Whether this VM knows of crashes under the part, and that it caused none of them.
    #[must_use]
    pub fn is_acquitted(&self, id: Id) -> bool {
        let mut crashes = self.events.iter().filter(|event| event.find(id).is_some());
        let newest = crashes.next_back();
        newest.is_some_and(|event| self.is_excused(id, event.at))
    }

    /// The blocked parts with the rest of their blocks, sorted by part.
    pub fn blocked(&self, now: Moment) -> impl Iterator<Item = (Id, Duration)> {
        self.blocked
            .iter()
            .map(move |(id, until)| (*id, until.since(now)))
    }

    /// The number of blocked parts.
    #[must_use]
    pub const fn blocked_count(&self) -> usize {
        self.blocked.len()
    }
}

impl Default for Table {
    fn default() -> Self {
        Self::new(Config::default())
    }
}

/// The crashes that count against a part.
struct Score {
    id: Id,
    weight: u32,
    /// The last crash that counts.
    last: Moment,
}

impl Score {
    const fn first(suspect: &Suspect, crashed: Moment) -> Self {
        Self {
            id: suspect.id,
            weight: suspect.weight(),
            last: crashed,
        }
    }

    /// Counts a crash if the part was tried again after the last one.
    fn count(&mut self, suspect: &Suspect, crashed: Moment) {
        if suspect.since > self.last {
            self.weight += suspect.weight();
            self.last = crashed;
        }
    }
}
