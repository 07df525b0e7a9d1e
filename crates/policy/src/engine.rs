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

mod prefill;

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Tokens;

pub use self::prefill::PrefillEstimator;
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
pub type CallId = u64;

/// A prompt that was sent and whose first token has not come.
#[derive(Debug, Clone)]
struct Pending {
    call: CallId,
    model: u64,
    /// Its parts, which the engine keeps once it has read them.
    parts: Vec<(u64, Tokens)>,
    prefill_tokens: Tokens,
    total: Tokens,
    prefill_time: Duration,
    sent: Moment,
    /// Whether nothing was ahead of it when it was sent.
    engine_was_idle: bool,
}

/// What a peer said of its calls at the engine.
#[derive(Debug, Clone, Copy)]
struct Peer {
    node: u64,
    wait: Duration,
    received: Moment,
}

/// A part that the engine is thought to keep.
#[derive(Debug, Clone, Copy)]
struct CachedPart {
    key: u64,
    tokens: Tokens,
    last_used: Moment,
}

/// What a node knows of one engine.
#[derive(Debug, Clone)]
pub struct Engine {
    memory: Tokens,
    pending: Vec<Pending>,
    /// Sorted by node.
    peers: Vec<Peer>,
    /// Sorted by key.
    cached: Vec<CachedPart>,
    cached_tokens: Tokens,
    /// When the first of the pending became first.
    head_since: Moment,
}

/// The most that a prompt is late and still counts as about to be read; what is later by far sits at
/// an engine that hangs.
const MAX_OVERDUE: Duration = Duration::from_secs(3);

/// A peer that said nothing for this long has no calls there any more, or is gone.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits up to this long count as none: an engine that is between two steps.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(5);

impl Engine {
    /// An engine that has read nothing yet, with memory for running requests and kept parts.
    #[must_use]
    pub const fn new(memory: Tokens) -> Self {
        Self {
            memory,
            pending: Vec::new(),
            peers: Vec::new(),
            cached: Vec::new(),
            cached_tokens: Tokens::ZERO,
            head_since: Moment::ZERO,
        }
    }

    /// Tokens of a prompt that the engine would have to read: all from the first part on that it
    /// neither keeps nor is to read before.
    #[must_use]
    pub fn prefill_tokens(&self, prompt: &Prompt) -> Tokens {
        let cached = |key: u64| self.find(key).is_ok() || self.is_pending(key);
        let missing = prompt.keys().skip_while(|(key, _)| cached(*key));
        missing.map(|(_, tokens)| tokens).sum()
    }

    /// Whether a prompt that was sent and is not yet read has a part.
    fn is_pending(&self, part: u64) -> bool {
        let mut parts = self.pending.iter().flat_map(|pending| &pending.parts);
        parts.any(|(key, _)| *key == part)
    }

    /// How long the prompts sent before take until they are read: those known of, and what prompts
    /// lately took beyond that.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Duration {
        self.own_wait(now) + self.peer_wait(now)
    }

    /// The wait that this node's own calls cause.
    #[must_use]
    pub fn own_wait(&self, now: Moment) -> Duration {
        let total: Duration = self.pending.iter().map(|p| p.prefill_time).sum();
        let Some(first) = self.pending.first() else {
            return Duration::ZERO;
        };
        let elapsed = now.since(self.head_since);
        // One that is late is as likely late for as long again.
        let overdue = elapsed.saturating_sub(first.prefill_time).min(MAX_OVERDUE);
        total.saturating_sub(elapsed.min(first.prefill_time)) + overdue
    }

    /// The part of the wait that peers' calls cause.
    fn peer_wait(&self, now: Moment) -> Duration {
        let left = |peer: &Peer| peer.wait.saturating_sub(now.since(peer.received));
        self.peers.iter().map(left).sum()
    }

    /// A prompt is sent that takes `work` to read.
    pub fn record_sent(
        &mut self,
        call: CallId,
        prompt: &Prompt,
        prefill_time: Duration,
        now: Moment,
    ) {
        let prefill_tokens = self.prefill_tokens(prompt);
        let wait = self.wait(now);
        if self.pending.is_empty() {
            self.head_since = now;
        }
        self.pending.push(Pending {
            call,
            model: prompt.model,
            parts: prompt.keys().collect(),
            prefill_tokens,
            total: prompt.tokens(),
            prefill_time,
            sent: now,
            engine_was_idle: wait <= MAX_IDLE_WAIT,
        });
    }

    /// Notes that the engine has read a prompt, sent by whomever.
    pub fn record_cached(&mut self, prompt: &Prompt, now: Moment) {
        let parts: Vec<(u64, Tokens)> = prompt.keys().collect();
        self.cache_parts(&parts, now);
    }

    fn cache_parts(&mut self, parts: &[(u64, Tokens)], now: Moment) {
        for (key, tokens) in parts.iter().copied() {
            match self.find(key) {
                Ok(place) => self.cached[place].last_used = now,
                Err(place) => {
                    let cached = CachedPart {
                        key,
                        tokens,
                        last_used: now,
                    };
                    self.cached.insert(place, cached);
                    self.cached_tokens += tokens;
                }
            }
        }
        while self.cached_tokens > self.memory {
            self.evict();
        }
    }

    /// The first token of a call has come: its prompt is read, and only now its parts are kept. Of a
    /// call that was given up before, they may not be: taken for kept, they drew the next attempt to
    /// an engine that was too full to read the first.
    pub fn record_first_token(
        &mut self,
        call: CallId,
        prefill: &mut PrefillEstimator,
        now: Moment,
    ) {
        let Some(pending) = self.remove(call, now) else {
            return;
        };
        self.cache_parts(&pending.parts, now);
        let took = now.since(pending.sent);
        if pending.engine_was_idle {
            prefill.record(&pending, took);
        }
    }

    /// A call has ended, read or not.
    pub fn record_end(&mut self, call: CallId, now: Moment) {
        self.remove(call, now);
    }

    /// A peer says how long the engine takes for its calls; one that takes no time has none there.
    pub fn record_peer_wait(&mut self, node: u64, wait: Duration, now: Moment) {
        self.peers
            .retain(|peer| now.since(peer.received) < PEER_TIMEOUT);
        if wait.is_zero() {
            self.peers.retain(|peer| peer.node != node);
            return;
        }
        let peer = Peer {
            node,
            wait,
            received: now,
        };
        match self.peers.binary_search_by_key(&node, |p| p.node) {
            Ok(place) => self.peers[place] = peer,
            Err(place) => self.peers.insert(place, peer),
        }
    }

    fn remove(&mut self, call: CallId, now: Moment) -> Option<Pending> {
        let place = self.pending.iter().position(|p| p.call == call)?;
        if place == 0 {
            self.head_since = now;
        }
        Some(self.pending.remove(place))
    }

    fn find(&self, key: u64) -> Result<usize, usize> {
        self.cached.binary_search_by_key(&key, |part| part.key)
    }

    /// Gives up the part that was not used for longest.
    fn evict(&mut self) {
        let oldest = self
            .cached
            .iter()
            .enumerate()
            .min_by_key(|(_, k)| k.last_used);
        let Some((place, _)) = oldest else {
            self.cached_tokens = Tokens::ZERO;
            return;
        };
        let part = self.cached.remove(place);
        self.cached_tokens = Tokens(self.cached_tokens.0.saturating_sub(part.tokens.0));
    }
}

/// Figures of a choice among engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Times that a prompt's own reading counts against the wait for it: what one call reads anew,
    /// all calls behind it wait for.
    pub prefill_weight: f64,
    /// What another zone must save. A prompt's bytes between zones cost a twentieth to a tenth of
    /// what its answer is worth.
    pub remote_penalty: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            prefill_weight: 1.5,
            remote_penalty: Duration::from_millis(400),
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
    pub remote: bool,
    /// Wait for what was sent there before.
    pub wait: Duration,
    /// Time to read what the engine does not keep.
    pub prefill_time: Duration,
}

impl Candidate {
    /// Time to the first token.
    #[must_use]
    pub fn time_to_first_token(&self) -> Duration {
        self.wait + self.prefill_time
    }

    fn cost(&self, config: &Config) -> f64 {
        let penalty = if self.remote {
            config.remote_penalty
        } else {
            Duration::ZERO
        };
        let prefill = self.prefill_time.as_secs_f64() * config.prefill_weight;
        self.wait.as_secs_f64() + prefill + penalty.as_secs_f64()
    }
}

/// Costs this close count as equal, and the prompt's own order of the engines decides, so that nodes
/// that know nothing of each other send the same beginning to the same place.
const COST_TOLERANCE: f64 = 0.01;

/// The engine for a prompt, as an index; none if no usable one is there. `prefix` is the hash of its
/// shared beginning.
#[must_use]
pub fn choose(candidates: &[Candidate], prefix: u64, config: &Config) -> Option<usize> {
    let usable = || candidates.iter().enumerate().filter(|(_, c)| c.usable);
    let least = usable()
        .map(|(_, c)| c.cost(config))
        .min_by(f64::total_cmp)?;
    let cheapest = usable().filter(|(_, c)| c.cost(config) <= least + COST_TOLERANCE);
    cheapest
        .max_by_key(|(_, c)| number::mix(c.key, prefix))
        .map(|(place, _)| place)
}
