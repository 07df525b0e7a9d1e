//! Placement of prompts at engines, and what this and other VMs learn from them.

use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::eject;
use pimento_policy::engine;
use pimento_policy::engine::Engine;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Tokens;

use super::PoolState;
use crate::endpoint_state::EndpointState;
use crate::permit::Slot;
use crate::pool::Estimate;
use crate::pool::Job;

/// Maximum number of prefilled prompts that wait to be reported to other VMs. Reports are sent several
/// times a second; a VM that sends none must not collect prompts without bound.
const MAX_PREFILLED: usize = 128;

/// The choice of an engine for a prompt.
#[derive(Debug)]
pub struct Placement {
    /// Index of the chosen engine.
    pub chosen: usize,
    /// The wait and the prefill time at each engine.
    candidates: Vec<engine::Candidate>,
}

impl Placement {
    /// Returns the chosen engine's wait and prefill time.
    pub fn candidate(&self) -> engine::Candidate {
        self.candidates[self.chosen]
    }
}

impl PoolState {
    /// Chooses the engine for a prompt.
    pub(super) fn place_prompt(
        &self,
        prompt: &Prompt,
        job: &Job,
        now: Moment,
    ) -> Option<Placement> {
        let prefix = job.prefix.unwrap_or(prompt.model);
        let candidates = self.engine_candidates(prompt, job, now);
        let mut untried = candidates.clone();
        for (index, candidate) in untried.iter_mut().enumerate() {
            candidate.usable &= self.untried(index, job);
        }
        let choose =
            |engines: &[engine::Candidate]| engine::choose(engines, prefix, &self.engine_choice);
        let warm = || {
            let mut warm = untried.clone();
            for (index, candidate) in warm.iter_mut().enumerate() {
                candidate.usable &= self.is_warm(index, now);
            }
            choose(&warm)
        };
        let ejected = || {
            let mut ejected = candidates.clone();
            for (index, candidate) in ejected.iter_mut().enumerate() {
                candidate.usable = self.is_fallback(index, job, now);
            }
            choose(&ejected)
        };
        let has_room = |index: &usize| !candidates[*index].full;
        let chosen = self
            .probe(job, now, |index| untried[index].usable)
            .or_else(|| warm().filter(has_room))
            .or_else(|| choose(&untried).filter(has_room))
            .or_else(warm)
            .or_else(|| choose(&untried))
            .or_else(ejected)
            .or_else(|| choose(&candidates))?;
        Some(Placement { chosen, candidates })
    }

    fn engine_candidates(&self, prompt: &Prompt, job: &Job, now: Moment) -> Vec<engine::Candidate> {
        let total = prompt.tokens();
        let output = admission::output(job.tokens, total);
        let last_resort = self.is_last_resort(&job.requirement, now);
        let candidate = |state: &EndpointState| {
            let engine = state.engine.as_ref();
            let prefill_tokens =
                engine.map_or(Tokens::ZERO, |engine| engine.prefill_tokens(prompt));
            let factor = engine.map_or(1.0, Engine::factor);
            let prefill_time = self
                .prefill
                .prefill_time(prompt.model, prefill_tokens, total)
                .mul_f64(factor);
            let wait = engine.map_or(Duration::ZERO, |engine| engine.wait(now));
            engine::Candidate {
                name_hash: state.name_hash,
                usable: (last_resort || !self.is_ejected(state, now))
                    && Self::is_free(state, job, now),
                remote: !state.member.extra_delay.is_zero(),
                full: engine.is_some_and(|engine| engine.is_full_for(prompt, output, now)),
                wait,
                prefill_time,
            }
        };
        self.endpoints.iter().map(candidate).collect()
    }

    /// Returns whether a job's prompt and its longest answer exceed the whole memory of each engine that could take
    /// it. No wait would help, and the engine would refuse it or crash.
    pub fn is_too_large(&self, job: &Job) -> bool {
        let Some(prompt) = &job.prompt else {
            return false;
        };
        let output = admission::output(job.tokens, prompt.tokens());
        let too_small = |state: &EndpointState| {
            let engine = state.engine.as_ref();
            engine.is_some_and(|engine| engine.is_too_small_for(prompt, output))
        };
        let mut usable = self.usable(&job.requirement).peekable();
        usable.peek().is_some() && usable.all(too_small)
    }

    /// Returns whether a call may be sent to an endpoint now, ejected or not.
    fn is_free(state: &EndpointState, job: &Job, now: Moment) -> bool {
        state.accepts(job, now) && state.limiter.free() > 0
    }

    /// Estimates the wait and the prefill time of a job with a prompt.
    pub fn estimate(&self, job: &Job, now: Moment) -> Option<Estimate> {
        let prompt = job.prompt.as_ref()?;
        let placement = self.place_prompt(prompt, job, now)?;
        let chosen = placement.candidate();
        let engines = placement.candidates.iter().enumerate();
        let local = engines.filter(|(_, e)| e.usable && !e.remote);
        let wait = |(index, e): (usize, &engine::Candidate)| {
            if index == placement.chosen {
                e.time_to_first_token()
            } else {
                e.wait
            }
        };
        let mut waits: Vec<Duration> = local.map(wait).collect();
        waits.sort_unstable();
        let half = waits.len().div_ceil(2);
        let sum: Duration = waits.iter().take(half).sum();
        let next_wait = sum / u32::try_from(half.max(1)).unwrap_or(u32::MAX);
        let full_prefill =
            self.prefill
                .prefill_time(prompt.model, prompt.tokens(), prompt.tokens());
        Some(Estimate {
            wait: chosen.wait,
            prefill: chosen.prefill_time,
            engine_time: self.prefill.engine_time(chosen.prefill_time),
            full_engine_time: self.prefill.engine_time(full_prefill),
            next_wait,
        })
    }

    pub fn take_prefilled(&mut self) -> Vec<(u64, Prompt)> {
        std::mem::take(&mut self.prefilled)
    }

    pub fn engine_waits(&self, now: Moment) -> Vec<(u64, Duration)> {
        let engines = self.endpoints.iter();
        let waits = engines
            .filter_map(|state| Some((state.name_hash, state.engine.as_ref()?.own_wait(now))));
        waits.filter(|(_, wait)| !wait.is_zero()).collect()
    }

    pub const fn prefill(&self) -> &engine::PrefillEstimator {
        &self.prefill
    }

    pub fn merge_prefill_speeds(&mut self, seconds_per_token: &[(u64, f64)]) {
        self.prefill
            .merge_estimates(seconds_per_token.iter().copied());
    }

    /// Merges another VM's report of how long engines take for its calls; its calls take no time at engines
    /// that it does not name. It names a few of thousands of engines, so only these and those of its last
    /// report are updated.
    pub fn merge_waits(&mut self, node: u64, waits: &[(u64, Duration)], now: Moment) {
        let named: Vec<u64> = waits.iter().map(|(key, _)| *key).collect();
        let known = self
            .peer_engines
            .binary_search_by_key(&node, |(node, _)| *node);
        let before = known.map_or_else(|_| Vec::new(), |index| self.peer_engines.remove(index).1);
        let dropped = before.iter().filter(|key| !named.contains(key));
        let dropped = dropped.map(|key| (*key, Duration::ZERO));
        for (key, wait) in waits.iter().copied().chain(dropped) {
            let state = self.place_of(key).map(|place| &mut self.endpoints[place]);
            if let Some(engine) = state.and_then(|state| state.engine.as_mut()) {
                engine.record_peer_wait(node, wait, now);
            }
        }
        if !named.is_empty() {
            let (Ok(index) | Err(index)) = known;
            self.peer_engines.insert(index, (node, named));
        }
    }

    pub fn merge_prefilled(&mut self, key: u64, prompt: &Prompt, now: Moment) {
        let Some(place) = self.place_of(key) else {
            return;
        };
        let state = &mut self.endpoints[place];
        let Some(engine) = state.engine.as_mut() else {
            return;
        };
        engine.record_cached(prompt, now);
    }

    /// Counts a call that goes on as silent.
    pub fn record_silence(&mut self, slot: &Slot, now: Moment) {
        let silent = eject::Outcome::Silent;
        self.health.record(&slot.endpoint, silent, now);
    }

    /// Records that the first token of a call has arrived.
    pub fn record_first_token(&mut self, slot: &Slot, now: Moment) {
        let Some(call) = slot.call else { return };
        let Some(index) = self.index_of(&slot.endpoint) else {
            return;
        };
        let state = &mut self.endpoints[index];
        let Some(engine) = state.engine.as_mut() else {
            return;
        };
        let timing = engine.record_first_token(call, &mut self.prefill, now);
        if let Some(prompt) = &slot.prompt
            && self.prefilled.len() < MAX_PREFILLED
        {
            self.prefilled.push((state.name_hash, prompt.clone()));
        }
        if let Some(timing) = timing {
            self.record_speed(index, timing, slot, now);
        }
    }
}
