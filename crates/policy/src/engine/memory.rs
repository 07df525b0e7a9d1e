//! What the requests at an engine take of its KV cache, as one node knows it.
//!
//! An engine crashes if the requests that it holds exceed its memory. A running answer holds its prompt and all
//! that was generated until it ends, long after its prefill. The wait for prompts shows none of that: an engine
//! that is full of running answers looks idle, and even the best choice for a prompt whose prefix it has cached.
//!
//! A node knows its own calls from the send to the end, with the tokens that their answers may have. Of peers'
//! calls it knows the prompts that they report as prefilled, and counts those for a while.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Tokens;

use super::CallId;
use super::Prompt;

/// Time for which a prompt that a peer reported counts. Its end is not reported, and a longer time would count
/// answers that have ended.
const PEER_HOLD_TIME: Duration = Duration::from_secs(3);

/// Maximum number of peers' prompts that are counted.
const MAX_PEER_PROMPTS: usize = 256;

/// A request at the engine.
#[derive(Debug, Clone)]
struct Held {
    /// This node's call; none for a peer's.
    call: Option<CallId>,
    /// Keys and lengths of its prompt's parts. Requests share the memory of equal ones.
    parts: Vec<(u64, Tokens)>,
    /// Tokens that its answer may have.
    output: Tokens,
    since: Moment,
}

impl Held {
    fn tokens(&self) -> u64 {
        total(&self.parts).saturating_add(self.output.0)
    }

    fn counts(&self, now: Moment) -> bool {
        self.call.is_some() || now.since(self.since) < PEER_HOLD_TIME
    }
}

fn total(parts: &[(u64, Tokens)]) -> u64 {
    let tokens = parts.iter().map(|(_, tokens)| tokens.0);
    tokens.fold(0, u64::saturating_add)
}

/// The requests that an engine holds.
#[derive(Debug, Clone, Default)]
pub(super) struct Memory {
    held: Vec<Held>,
    /// Tokens of all of them, without regard to what they share. Peers' prompts that have expired count until the
    /// next one is added, so that this is an upper bound.
    upper: u64,
}

impl Memory {
    /// Adds a call of this node.
    pub fn add(&mut self, call: CallId, prompt: &Prompt, output: Tokens, now: Moment) {
        self.push(Held {
            call: Some(call),
            parts: prompt.keys().collect(),
            output,
            since: now,
        });
    }

    /// Adds a prompt that a peer reported, which runs there now.
    pub fn add_peer(&mut self, prompt: &Prompt, now: Moment) {
        self.held.retain(|held| held.counts(now));
        self.upper = self.held.iter().map(Held::tokens).sum();
        let peers = self.held.iter().filter(|held| held.call.is_none()).count();
        if peers < MAX_PEER_PROMPTS {
            self.push(Held {
                call: None,
                parts: prompt.keys().collect(),
                output: Tokens::ZERO,
                since: now,
            });
        }
    }

    fn push(&mut self, held: Held) {
        self.upper = self.upper.saturating_add(held.tokens());
        self.held.push(held);
    }

    /// Removes a call of this node that has ended.
    pub fn remove(&mut self, call: CallId) {
        let index = self.held.iter().position(|held| held.call == Some(call));
        if let Some(index) = index {
            let held = self.held.swap_remove(index);
            self.upper = self.upper.saturating_sub(held.tokens());
        }
    }

    /// Returns the tokens held once a prompt with such an answer is added.
    pub fn tokens_with(&self, prompt: &Prompt, output: Tokens, now: Moment) -> Tokens {
        let counted = || self.held.iter().filter(|held| held.counts(now));
        let mut parts: Vec<(u64, Tokens)> = prompt.keys().collect();
        parts.extend(counted().flat_map(|held| held.parts.iter().copied()));
        parts.sort_unstable();
        parts.dedup_by_key(|(key, _)| *key);
        let outputs: u64 = counted().map(|held| held.output.0).sum();
        Tokens(
            total(&parts)
                .saturating_add(outputs)
                .saturating_add(output.0),
        )
    }

    /// Returns whether a prompt with such an answer fits into `capacity`.
    pub fn has_room(&self, prompt: &Prompt, output: Tokens, capacity: Tokens, now: Moment) -> bool {
        // Most engines are far from full, and this is asked for each of thousands for each prompt.
        let upper = self.upper.saturating_add(prompt.tokens().0);
        upper.saturating_add(output.0) <= capacity.0
            || self.tokens_with(prompt, output, now) <= capacity
    }
}
