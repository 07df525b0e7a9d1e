//! Where a prompt is read: the load of batching engines as one node knows it.
//!
//! **Load:** prompts of hundreds to tens of thousands of tokens, models whose speed of reading differs
//! tenfold, long beginnings that several requests share. **Without it:** counting calls in flight
//! takes an engine that reads one prompt of 30,000 tokens for less busy than one that generates five
//! short answers, and the next caller's first token waits for seconds; and each engine reads each
//! shared beginning anew. **How:** engines read prompts in turn, between the tokens of running
//! answers, so that the wait for a first token is the unread work sent there before, plus the
//! prompt's own unread parts. Both are known for the node's own calls: a prompt counts as unread
//! until its first token has come. Peers tell theirs. What an engine keeps is followed as it works:
//! the parts least recently used yield once the memory is full.
//!
//! **Grounds:** join the shortest queue, with the work known (Harchol-Balter, Crovella and Murta,
//! 1999, for sizes as unlike as these); prefix-aware placing weighs a hit against the wait for it, as
//! in Preble (2024). The speeds are learnt from prompts that found their engine idle.

mod paces;

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Tokens;

pub use self::paces::Paces;
use crate::number;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash of its text.
    pub hash: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// A prompt for one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the model, as parts are kept for each model by itself.
    pub model: u64,
    /// Its parts in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Tokens in all parts.
    #[must_use]
    pub fn tokens(&self) -> Tokens {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Each part's key, which depends on the model and all parts before it.
    fn keys(&self) -> impl Iterator<Item = (u64, Tokens)> {
        self.parts.iter().scan(self.model, |key, part| {
            *key = number::mix(*key, part.hash);
            Some((*key, part.tokens))
        })
    }
}

/// A call at an engine. Given by the caller, unlike those of all other calls there.
pub type Ticket = u64;

/// A prompt that was sent and whose first token has not come.
#[derive(Debug, Clone)]
struct Pending {
    ticket: Ticket,
    model: u64,
    /// Its parts, which the engine keeps once it has read them.
    parts: Vec<(u64, Tokens)>,
    unread: Tokens,
    total: Tokens,
    work: Duration,
    sent: Moment,
    /// Whether nothing was ahead of it when it was sent.
    alone: bool,
}

/// What a peer said of its calls at the engine.
#[derive(Debug, Clone, Copy)]
struct Peer {
    node: u64,
    wait: Duration,
    at: Moment,
}

/// A part that the engine is thought to keep.
#[derive(Debug, Clone, Copy)]
struct Kept {
    key: u64,
    tokens: Tokens,
    used: Moment,
}

/// What a node knows of one engine.
#[derive(Debug, Clone)]
pub struct Engine {
    memory: Tokens,
    pending: Vec<Pending>,
    /// Sorted by node.
    peers: Vec<Peer>,
    /// Sorted by key.
    kept: Vec<Kept>,
    held: Tokens,
    /// When the first of the pending became first.
    head: Moment,
}

/// The most that a prompt is late and still counts as about to be read; what is later by far sits at
/// an engine that hangs.
const OVERDUE: Duration = Duration::from_secs(3);

/// A peer that said nothing for this long has no calls there any more, or is gone.
const FORGOTTEN: Duration = Duration::from_secs(10);

/// Waits up to this long count as none: an engine that is between two steps.
const IDLE: Duration = Duration::from_millis(5);

impl Engine {
    /// An engine that has read nothing yet, with memory for running requests and kept parts.
    #[must_use]
    pub const fn new(memory: Tokens) -> Self {
        Self {
            memory,
            pending: Vec::new(),
            peers: Vec::new(),
            kept: Vec::new(),
            held: Tokens::ZERO,
            head: Moment::ZERO,
        }
    }

    /// Tokens of a prompt that the engine would have to read: all from the first part on that it
    /// neither keeps nor is to read before.
    #[must_use]
    pub fn unread(&self, prompt: &Prompt) -> Tokens {
        let kept = |key: u64| self.find(key).is_ok() || self.awaits(key);
        let missing = prompt.keys().skip_while(|(key, _)| kept(*key));
        missing.map(|(_, tokens)| tokens).sum()
    }

    /// Whether a prompt that was sent and is not yet read has a part.
    fn awaits(&self, part: u64) -> bool {
        let mut parts = self.pending.iter().flat_map(|pending| &pending.parts);
        parts.any(|(key, _)| *key == part)
    }

    /// How long the prompts sent before take until they are read: those known of, and what prompts
    /// lately took beyond that.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Duration {
        self.own(now) + self.others(now)
    }

    /// The wait that this node's own calls cause.
    #[must_use]
    pub fn own(&self, now: Moment) -> Duration {
        let works: Duration = self.pending.iter().map(|p| p.work).sum();
        let Some(first) = self.pending.first() else {
            return Duration::ZERO;
        };
        let reading = now.since(self.head);
        // One that is late is as likely late for as long again.
        let overdue = reading.saturating_sub(first.work).min(OVERDUE);
        works.saturating_sub(reading.min(first.work)) + overdue
    }

    /// The part of the wait that peers' calls cause.
    fn others(&self, now: Moment) -> Duration {
        let left = |peer: &Peer| peer.wait.saturating_sub(now.since(peer.at));
        self.peers.iter().map(left).sum()
    }

    /// A prompt is sent that takes `work` to read.
    pub fn begin(&mut self, ticket: Ticket, prompt: &Prompt, work: Duration, now: Moment) {
        let unread = self.unread(prompt);
        let wait = self.wait(now);
        if self.pending.is_empty() {
            self.head = now;
        }
        self.pending.push(Pending {
            ticket,
            model: prompt.model,
            parts: prompt.keys().collect(),
            unread,
            total: prompt.tokens(),
            work,
            sent: now,
            alone: wait <= IDLE,
        });
    }

    /// Notes that the engine has read a prompt, sent by whomever.
    pub fn keep(&mut self, prompt: &Prompt, now: Moment) {
        let parts: Vec<(u64, Tokens)> = prompt.keys().collect();
        self.keep_parts(&parts, now);
    }

    fn keep_parts(&mut self, parts: &[(u64, Tokens)], now: Moment) {
        for (key, tokens) in parts.iter().copied() {
            match self.find(key) {
                Ok(place) => self.kept[place].used = now,
                Err(place) => {
                    let kept = Kept {
                        key,
                        tokens,
                        used: now,
                    };
                    self.kept.insert(place, kept);
                    self.held += tokens;
                }
            }
        }
        while self.held > self.memory {
            self.evict();
        }
    }

    /// The first token of a call has come: its prompt is read, and only now its parts are kept. Of a
    /// call that was given up before, they may not be: taken for kept, they drew the next attempt to
    /// an engine that was too full to read the first.
    pub fn read(&mut self, ticket: Ticket, paces: &mut Paces, now: Moment) {
        let Some(pending) = self.remove(ticket, now) else {
            return;
        };
        self.keep_parts(&pending.parts, now);
        let took = now.since(pending.sent);
        if pending.alone {
            paces.learn(&pending, took);
        }
    }

    /// A call has ended, read or not.
    pub fn end(&mut self, ticket: Ticket, now: Moment) {
        self.remove(ticket, now);
    }

    /// A peer says how long the engine takes for its calls; one that takes no time has none there.
    pub fn hear(&mut self, node: u64, wait: Duration, now: Moment) {
        self.peers.retain(|peer| now.since(peer.at) < FORGOTTEN);
        if wait.is_zero() {
            self.peers.retain(|peer| peer.node != node);
            return;
        }
        let peer = Peer {
            node,
            wait,
            at: now,
        };
        match self.peers.binary_search_by_key(&node, |p| p.node) {
            Ok(place) => self.peers[place] = peer,
            Err(place) => self.peers.insert(place, peer),
        }
    }

    fn remove(&mut self, ticket: Ticket, now: Moment) -> Option<Pending> {
        let place = self.pending.iter().position(|p| p.ticket == ticket)?;
        if place == 0 {
            self.head = now;
        }
        Some(self.pending.remove(place))
    }

    fn find(&self, key: u64) -> Result<usize, usize> {
        self.kept.binary_search_by_key(&key, |kept| kept.key)
    }

    /// Gives up the part that was not used for longest.
    fn evict(&mut self) {
        let oldest = self.kept.iter().enumerate().min_by_key(|(_, k)| k.used);
        let Some((place, _)) = oldest else {
            self.held = Tokens::ZERO;
            return;
        };
        let kept = self.kept.remove(place);
        self.held = Tokens(self.held.0.saturating_sub(kept.tokens.0));
    }
}

/// Figures of a choice among engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Times that a prompt's own reading counts against the wait for it: what one call reads anew,
    /// all calls behind it wait for.
    pub reading: f64,
    /// What another zone must save. A prompt's bytes between zones cost a twentieth to a tenth of
    /// what its answer is worth.
    pub far: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            reading: 1.5,
            far: Duration::from_millis(400),
        }
    }
}

/// An engine that might read a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Candidate {
    /// Hash of the engine's name, the same at every node.
    pub key: u64,
    /// Whether it may be chosen.
    pub usable: bool,
    /// Whether it is in another zone.
    pub far: bool,
    /// Wait for what was sent there before.
    pub wait: Duration,
    /// Time to read what the engine does not keep.
    pub work: Duration,
}

impl Candidate {
    /// Time to the first token.
    #[must_use]
    pub fn first(&self) -> Duration {
        self.wait + self.work
    }

    fn cost(&self, config: &Config) -> f64 {
        let far = if self.far { config.far } else { Duration::ZERO };
        let reading = self.work.as_secs_f64() * config.reading;
        self.wait.as_secs_f64() + reading + far.as_secs_f64()
    }
}

/// Costs this close count as equal, and the prompt's own order of the engines decides, so that nodes
/// that know nothing of each other send the same beginning to the same place.
const EQUAL: f64 = 0.01;

/// The engine for a prompt, as an index; none if no usable one is there. `prefix` is the hash of its
/// shared beginning.
#[must_use]
pub fn choose(candidates: &[Candidate], prefix: u64, config: &Config) -> Option<usize> {
    let usable = || candidates.iter().enumerate().filter(|(_, c)| c.usable);
    let least = usable()
        .map(|(_, c)| c.cost(config))
        .min_by(f64::total_cmp)?;
    let near = usable().filter(|(_, c)| c.cost(config) <= least + EQUAL);
    near.max_by_key(|(_, c)| number::mix(c.key, prefix))
        .map(|(place, _)| place)
}
