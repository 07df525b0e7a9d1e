//! Prompts at engines: where one goes, what it would meet, and what this and other VMs learnt.

use std::time::Duration;

use pimento_policy::eject;
use pimento_policy::engine;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Tokens;

use super::Inner;
use crate::endpoint_state::EndpointState;
use crate::permit::Slot;
use crate::pool::Estimate;
use crate::pool::Job;

/// Prompts that are kept to be told to other VMs. They are told several times a second; a VM that
/// tells nobody keeps no more than these.
const MAX_PREFILLED: usize = 128;

/// Where a prompt goes.
#[derive(Debug)]
pub struct Placement {
    /// The engine's place.
    pub chosen: usize,
    /// What the prompt would meet at each engine.
    candidates: Vec<engine::Candidate>,
}

impl Placement {
    /// What the prompt meets where it goes.
    pub fn candidate(&self) -> engine::Candidate {
        self.candidates[self.chosen]
    }
}

impl Inner {
    /// The engine for a prompt.
    pub(super) fn place_prompt(
        &self,
        prompt: &Prompt,
        job: &Job,
        now: Moment,
    ) -> Option<Placement> {
        let prefix = job.prefix.unwrap_or(prompt.model);
        let candidates = self.engine_candidates(prompt, job, now);
        let mut untried = candidates.clone();
        for (place, candidate) in untried.iter_mut().enumerate() {
            candidate.usable &= self.untried(place, job);
        }
        let choose =
            |engines: &[engine::Candidate]| engine::choose(engines, prefix, &self.engine_choice);
        let ejected = || {
            let mut ejected = candidates.clone();
            for (place, candidate) in ejected.iter_mut().enumerate() {
                candidate.usable = self.is_fallback(place, job, now);
            }
            choose(&ejected)
        };
        let chosen = self
            .probe(job, now, |place| untried[place].usable)
            .or_else(|| choose(&untried))
            .or_else(ejected)
            .or_else(|| choose(&candidates))?;
        Some(Placement { chosen, candidates })
    }

    fn engine_candidates(&self, prompt: &Prompt, job: &Job, now: Moment) -> Vec<engine::Candidate> {
        let total = prompt.tokens();
        let candidate = |state: &EndpointState| {
            let engine = state.engine.as_ref();
            let prefill_tokens =
                engine.map_or(Tokens::ZERO, |engine| engine.prefill_tokens(prompt));
            let prefill_time = self
                .prefill
                .prefill_time(prompt.model, prefill_tokens, total);
            let wait = engine.map_or(Duration::ZERO, |engine| engine.wait(now));
            engine::Candidate {
                key: state.key,
                usable: self.is_free(state, job, now),
                remote: !state.member.distance.is_zero(),
                wait,
                prefill_time,
            }
        };
        self.endpoints.iter().map(candidate).collect()
    }

    /// Whether a call may be sent to an endpoint now.
    fn is_free(&self, state: &EndpointState, job: &Job, now: Moment) -> bool {
        state.accepts(job, now)
            && state.limiter.free() > 0
            && self.health.state(&state.member.endpoint, now) != eject::State::Ejected
    }

    /// What a job with a prompt would meet.
    pub fn estimate(&self, job: &Job, now: Moment) -> Option<Estimate> {
        let prompt = job.prompt.as_ref()?;
        let placement = self.place_prompt(prompt, job, now)?;
        let placed = placement.candidate();
        let engines = placement.candidates.iter().enumerate();
        let near = engines.filter(|(_, e)| e.usable && !e.remote);
        let wait = |(place, e): (usize, &engine::Candidate)| {
            if place == placement.chosen {
                e.time_to_first_token()
            } else {
                e.wait
            }
        };
        let mut waits: Vec<Duration> = near.map(wait).collect();
        waits.sort_unstable();
        let half = waits.len().div_ceil(2);
        let sum: Duration = waits.iter().take(half).sum();
        let next_wait = sum / u32::try_from(half.max(1)).unwrap_or(u32::MAX);
        Some(Estimate {
            wait: placed.wait,
            prefill: placed.prefill_time,
            full_prefill: self
                .prefill
                .prefill_time(prompt.model, prompt.tokens(), prompt.tokens()),
            next_wait,
        })
    }

    pub fn take_prefilled(&mut self) -> Vec<(u64, Prompt)> {
        std::mem::take(&mut self.prefilled)
    }

    pub fn engine_waits(&self, now: Moment) -> Vec<(u64, Duration)> {
        let engines = self.endpoints.iter();
        let waits =
            engines.filter_map(|state| Some((state.key, state.engine.as_ref()?.own_wait(now))));
        waits.filter(|(_, wait)| !wait.is_zero()).collect()
    }

    pub const fn prefill(&self) -> &engine::PrefillEstimator {
        &self.prefill
    }

    pub fn seed_prefill(&mut self, seconds_per_token: &[(u64, f64)]) {
        self.prefill.seed(seconds_per_token.iter().copied());
    }

    /// Another VM says how long engines take for its calls; all that it does not name take none. Of
    /// thousands of engines it names a few, so that only these and those it named before are looked at.
    pub fn merge_waits(&mut self, node: u64, waits: &[(u64, Duration)], now: Moment) {
        let named: Vec<u64> = waits.iter().map(|(key, _)| *key).collect();
        let known = self
            .peer_engines
            .binary_search_by_key(&node, |(node, _)| *node);
        let before = known.map_or_else(|_| Vec::new(), |place| self.peer_engines.remove(place).1);
        let dropped = before.iter().filter(|key| !named.contains(key));
        let dropped = dropped.map(|key| (*key, Duration::ZERO));
        for (key, wait) in waits.iter().copied().chain(dropped) {
            let state = self.endpoints.iter_mut().find(|state| state.key == key);
            if let Some(engine) = state.and_then(|state| state.engine.as_mut()) {
                engine.record_peer_wait(node, wait, now);
            }
        }
        if !named.is_empty() {
            let (Ok(place) | Err(place)) = known;
            self.peer_engines.insert(place, (node, named));
        }
    }

    pub fn merge_prefilled(&mut self, key: u64, prompt: &Prompt, now: Moment) {
        let Some(state) = self.endpoints.iter_mut().find(|state| state.key == key) else {
            return;
        };
        let Some(engine) = state.engine.as_mut() else {
            return;
        };
        engine.record_cached(prompt, now);
    }

    /// The first token of a call has come.
    pub fn first_token(&mut self, slot: &Slot, now: Moment) {
        let Some(call) = slot.call else { return };
        let Some(place) = self.index_of(&slot.endpoint) else {
            return;
        };
        let state = &mut self.endpoints[place];
        let Some(engine) = state.engine.as_mut() else {
            return;
        };
        engine.record_first_token(call, &mut self.prefill, now);
        if let Some(prompt) = &slot.prompt
            && self.prefilled.len() < MAX_PREFILLED
        {
            self.prefilled.push((state.key, prompt.clone()));
        }
    }
}
