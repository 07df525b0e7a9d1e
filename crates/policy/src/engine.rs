//! Placement of prompts: the load of batching engines as one node knows it.
//!
//! Prompts have hundreds to tens of thousands of tokens, the prefill speed of models differs tenfold, and
//! several requests share long prefixes. A count of calls in flight would rate an engine that prefills one
//! prompt of 30,000 tokens as less busy than one that generates five short answers, and the next caller
//! would wait seconds for a first token. Each engine would also prefill each shared prefix again.
//!
//! Engines prefill prompts in turn, between the decode steps of running answers. The wait for a first token is
//! therefore the pending prefill work that was sent to the engine before, plus the prompt's own parts that are
//! not cached there. A node knows both for its own calls: a prompt is pending until its first token has
//! arrived. Peers report theirs. The module also tracks each engine's prefix cache: when its KV cache is full,
//! the least recently used parts are evicted.
//!
//! This is join the shortest queue with known work (Harchol-Balter, Crovella and Murta, 1999, for sizes
//! that differ this much), and prefix-aware placement that weighs a cache hit against the wait for it, as
//! in Preble (2024). Prefill speeds are learned from prompts that found their engine idle.

mod memory;
mod placement;
mod prefill;

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Tokens;

use self::memory::Memory;
pub use self::placement::Candidate;
pub use self::placement::Config;
pub use self::placement::choose;
pub use self::prefill::PrefillEstimator;
pub use self::prefill::Timing;
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
    /// Hash of the model. Engines cache parts per model.
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

    /// Returns each part's cache key, which depends on the model and on all parts before it.
    fn keys(&self) -> impl Iterator<Item = (u64, Tokens)> {
        self.parts.iter().scan(self.model, |key, part| {
            *key = number::mix(*key, part.hash);
            Some((*key, part.tokens))
        })
    }
}

/// Identifies a call at an engine. The caller assigns it, unique among the calls at that engine.
pub type CallId = u64;

/// A prompt that was sent and whose first token has not arrived.
#[derive(Debug, Clone)]
struct Pending {
    call: CallId,
    model: u64,
    /// Keys and lengths of its parts, which the engine caches once they are prefilled.
    parts: Vec<(u64, Tokens)>,
    prefill_tokens: Tokens,
    total: Tokens,
    prefill_time: Duration,
    sent: Moment,
    /// Whether no other prompt was ahead of it when it was sent.
    engine_was_idle: bool,
}

/// The wait that a peer last reported for its calls at the engine.
#[derive(Debug, Clone, Copy)]
struct Peer {
    node: u64,
    wait: Duration,
    received: Moment,
}

/// A part that the engine is assumed to have in its prefix cache.
#[derive(Debug, Clone, Copy)]
struct CachedPart {
    key: u64,
    tokens: Tokens,
    last_used: Moment,
}

/// What a node knows of one engine's prefill queue and prefix cache.
#[derive(Debug, Clone)]
pub struct Engine {
    kv_capacity: Tokens,
    memory: Memory,
    pending: Vec<Pending>,
    /// Sorted by node.
    peers: Vec<Peer>,
    /// Sorted by key.
    cached: Vec<CachedPart>,
    cached_tokens: Tokens,
    /// When the first pending prompt became the first.
    head_since: Moment,
    /// The factor by which it takes longer than the pool's median engine.
    factor: f64,
}

/// Maximum overdue time of a prompt that is added to the wait. A prompt that is later than this is most
/// likely at an engine that hangs.
const MAX_OVERDUE: Duration = Duration::from_secs(3);

/// Time without a report after which a peer is assumed to be gone, or to have no calls at the engine.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum wait at which an engine counts as idle; it may be between two steps.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(5);

impl Engine {
    /// Creates an engine with an empty prefix cache. `kv_capacity` is the size of its KV cache, which holds
    /// running requests and cached parts.
    #[must_use]
    pub fn new(kv_capacity: Tokens) -> Self {
        Self {
            kv_capacity,
            memory: Memory::default(),
            pending: Vec::new(),
            peers: Vec::new(),
            cached: Vec::new(),
            cached_tokens: Tokens::ZERO,
            head_since: Moment::ZERO,
            factor: 1.0,
        }
    }

    /// Sets the factor by which the engine takes longer than the pool's median engine.
    pub const fn set_factor(&mut self, factor: f64) {
        self.factor = factor;
    }

    /// Returns the factor by which the engine takes longer than the pool's median engine.
    #[must_use]
    pub const fn factor(&self) -> f64 {
        self.factor
    }

    /// Returns whether no memory is left for a prompt whose answer has up to `output` tokens, as far as this node
    /// knows. An engine of unknown capacity, zero, is never full.
    #[must_use]
    pub fn is_full_for(&self, prompt: &Prompt, output: Tokens, now: Moment) -> bool {
        let known = self.kv_capacity > Tokens::ZERO;
        known && !self.memory.has_room(prompt, output, self.kv_capacity, now)
    }

    /// Returns whether a prompt exceeds the whole memory. A capacity of zero is unknown.
    #[must_use]
    pub fn is_too_small_for(&self, prompt: &Prompt, output: Tokens) -> bool {
        self.kv_capacity > Tokens::ZERO && prompt.tokens() + output > self.kv_capacity
    }

    /// Returns the number of tokens of a prompt that the engine would have to prefill: all tokens from the
    /// first part on that is neither cached nor part of a pending prompt.
    #[must_use]
    pub fn prefill_tokens(&self, prompt: &Prompt) -> Tokens {
        let cached = |key: u64| self.cached_index(key).is_ok() || self.is_pending(key);
        let missing = prompt.keys().skip_while(|(key, _)| cached(*key));
        missing.map(|(_, tokens)| tokens).sum()
    }

    /// Returns whether a pending prompt contains a part.
    fn is_pending(&self, part: u64) -> bool {
        let mut parts = self.pending.iter().flat_map(|pending| &pending.parts);
        parts.any(|(key, _)| *key == part)
    }

    /// Returns the time until all prompts sent before are prefilled, including those that peers reported.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Duration {
        self.own_wait(now) + self.peer_wait(now)
    }

    /// Returns the part of the wait that this node's own calls cause.
    #[must_use]
    pub fn own_wait(&self, now: Moment) -> Duration {
        let total: Duration = self.pending.iter().map(|p| p.prefill_time).sum();
        let Some(first) = self.pending.first() else {
            return Duration::ZERO;
        };
        let elapsed = now.since(self.head_since);
        // A prompt that is overdue is expected to take as long again as it is overdue.
        let overdue = elapsed.saturating_sub(first.prefill_time).min(MAX_OVERDUE);
        total.saturating_sub(elapsed.min(first.prefill_time)) + overdue
    }

    /// Returns the part of the wait that peers' calls cause.
    fn peer_wait(&self, now: Moment) -> Duration {
        let left = |peer: &Peer| peer.wait.saturating_sub(now.since(peer.received));
        self.peers.iter().map(left).sum()
    }

    /// Records that a call with a prompt takes memory from now on, for an answer of up to `output` tokens.
    pub fn record_held(&mut self, call: CallId, prompt: &Prompt, output: Tokens, now: Moment) {
        self.memory.add(call, prompt, output, now);
    }

    /// Records that a prompt was sent whose prefill is expected to take `prefill_time`.
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

    /// Records that the engine has prefilled a prompt that a peer sent. It also counts as held there for a while.
    pub fn record_cached(&mut self, prompt: &Prompt, now: Moment) {
        self.memory.add_peer(prompt, now);
        let parts: Vec<(u64, Tokens)> = prompt.keys().collect();
        self.cache_parts(&parts, now);
    }

    fn cache_parts(&mut self, parts: &[(u64, Tokens)], now: Moment) {
        for (key, tokens) in parts.iter().copied() {
            match self.cached_index(key) {
                Ok(index) => self.cached[index].last_used = now,
                Err(index) => {
                    let cached = CachedPart {
                        key,
                        tokens,
                        last_used: now,
                    };
                    self.cached.insert(index, cached);
                    self.cached_tokens += tokens;
                }
            }
        }
        while self.cached_tokens > self.kv_capacity {
            self.evict();
        }
    }

    /// Records that the first token of a call has arrived: the prompt is prefilled, and its parts are
    /// cached from now on. The parts of a call that was cancelled before may not be cached. If they counted
    /// as cached, the next attempt would be placed at an engine that was too full to prefill the first one.
    /// Returns what the call tells of the engine's speed, if it tells anything.
    pub fn record_first_token(
        &mut self,
        call: CallId,
        prefill: &mut PrefillEstimator,
        now: Moment,
    ) -> Option<Timing> {
        let pending = self.remove(call, now)?;
        self.cache_parts(&pending.parts, now);
        let took = now.since(pending.sent);
        if !pending.engine_was_idle {
            return None;
        }
        let timing = prefill.timing(&pending, took);
        // With engines of unequal speeds, the model's speed would else become that of the fastest ones.
        let took = number::seconds(took.as_secs_f64() / self.factor);
        prefill.record(&pending, took);
        timing
    }

    /// Records that a call has ended, prefilled or not.
    pub fn record_end(&mut self, call: CallId, now: Moment) {
        self.memory.remove(call);
        self.remove(call, now);
    }

    /// Records the wait that a peer reports for its own calls. A wait of zero means that it has none here.
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
            Ok(index) => self.peers[index] = peer,
            Err(index) => self.peers.insert(index, peer),
        }
    }

    fn remove(&mut self, call: CallId, now: Moment) -> Option<Pending> {
        let index = self.pending.iter().position(|p| p.call == call)?;
        if index == 0 {
            self.head_since = now;
        }
        Some(self.pending.remove(index))
    }

    fn cached_index(&self, key: u64) -> Result<usize, usize> {
        self.cached.binary_search_by_key(&key, |part| part.key)
    }

    /// Evicts the least recently used part.
    fn evict(&mut self) {
        let oldest = self
            .cached
            .iter()
            .enumerate()
            .min_by_key(|(_, k)| k.last_used);
        let Some((index, _)) = oldest else {
            self.cached_tokens = Tokens::ZERO;
            return;
        };
        let part = self.cached.remove(index);
        self.cached_tokens = Tokens(self.cached_tokens.0.saturating_sub(part.tokens.0));
    }
}
