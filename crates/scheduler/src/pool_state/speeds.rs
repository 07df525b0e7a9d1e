//! Speeds of engines, as this VM and others measure them.

use std::time::Duration;

use pimento_policy::engine::Engine;
use pimento_policy::engine::Timing;
use pimento_policy::speed::Pace;
use pimento_policy::speed::Sum;
use pimento_units::Moment;
use pimento_units::id;

use super::PoolState;
use crate::endpoint_state::EndpointState;
use crate::permit::Slot;

/// Time between updates of the factors. Samples of seconds determine them, and sorting those of hundreds of
/// engines at each sample would cost more than the choices that they serve.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Samples of an engine's speed, for other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Hash of the engine's name.
    pub engine: u64,
    /// The last bits of the engine's incarnation, which tell it from the one before.
    pub incarnation: u16,
    /// The samples.
    pub sum: Sum,
}

/// Time between reports of whether the engines differ. A pool whose engines barely do must not fill the log.
const CHANGE_INTERVAL: Duration = Duration::from_mins(1);

/// By how much the speeds of the pool's engines differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// Whether they are known to differ.
    pub uneven: bool,
    /// Engines whose speeds are known.
    pub known: usize,
    /// The time that the slowest engine takes in percent of that of the fastest.
    pub percent: u32,
}

/// How the speeds of the pool's engines compare.
#[derive(Debug, Default)]
pub struct Speeds {
    pace: Pace,
    updated: Moment,
    /// Engines whose speeds are known.
    known: usize,
    /// The smallest and the largest factor.
    range: Option<(f64, f64)>,
    /// Where the next report starts in the list of endpoints.
    next_reported: usize,
    /// Whether the engines differed when that was last reported, and when.
    change_reported: (bool, Moment),
}

impl Speeds {
    /// Returns by how much the engines differ.
    pub fn spread(&self) -> Spread {
        let percent = self.range.map_or(100.0, |(low, high)| 100.0 * high / low);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float to integer cast saturates"
        )]
        let percent = percent.round() as u32;
        Spread {
            uneven: self.pace.is_uneven(),
            known: self.known,
            percent,
        }
    }

    fn take_change(&mut self, now: Moment) -> Option<Spread> {
        let (uneven, at) = self.change_reported;
        let spread = self.spread();
        if spread.uneven == uneven || now.since(at) < CHANGE_INTERVAL && at != Moment::ZERO {
            return None;
        }
        self.change_reported = (spread.uneven, now);
        Some(spread)
    }
}

/// The part of an incarnation that is sent. Two successive endpoints of a name agree in it once in 65,536 times,
/// and the samples that are taken for the other's decay.
const fn short(incarnation: u64) -> u16 {
    let [low, high, ..] = incarnation.to_le_bytes();
    u16::from_le_bytes([low, high])
}

impl PoolState {
    /// Records the time that a prompt took at the idle engine at `index`. An endpoint that is ejected, fails,
    /// refuses calls or is cold says nothing of its speed, nor does a call that took a detour.
    pub(super) fn record_speed(&mut self, index: usize, timing: Timing, slot: &Slot, now: Moment) {
        let state = &mut self.endpoints[index];
        let same = state.member.incarnation == slot.incarnation;
        let warm = !slot.cold && state.cold(now).is_none();
        let sound = self.health.is_sound(&state.member.endpoint) && state.consecutive_refusals == 0;
        if !(same && warm && sound && slot.timed) {
            return;
        }
        let took = timing.took.saturating_sub(state.member.extra_delay);
        let Some(sample) = Sum::sample(Timing { took, ..timing }) else {
            return;
        };
        state.speed.record(sample, now);
        state.unsent_samples.merge(sample);
        self.update_factors(now);
    }

    /// Returns the samples of up to `most` engines that were not reported yet.
    pub fn take_speeds(&mut self, most: usize, now: Moment) -> Vec<Report> {
        // Without samples, of a VM that was cut off, the factors still approach 1.
        self.update_factors(now);
        let count = self.endpoints.len();
        let mut reports = Vec::new();
        let start = self.speeds.next_reported;
        for index in (start..start + count).map(|index| index % count) {
            if reports.len() == most {
                self.speeds.next_reported = index;
                break;
            }
            let state = &mut self.endpoints[index];
            let sum = std::mem::take(&mut state.unsent_samples);
            if !sum.is_empty() {
                reports.push(Report {
                    engine: state.name_hash,
                    incarnation: short(state.member.incarnation),
                    sum,
                });
            }
        }
        reports
    }

    /// Merges another VM's samples. Those of an endpoint that fails here may tell of its failure.
    pub fn merge_speed(&mut self, report: Report, now: Moment) {
        let Some(place) = self.place_of(report.engine) else {
            return;
        };
        let state = &mut self.endpoints[place];
        let same = short(state.member.incarnation) == report.incarnation;
        if same && state.engine.is_some() && self.health.is_sound(&state.member.endpoint) {
            state.speed.record(report.sum, now);
            self.update_factors(now);
        }
    }

    /// Returns by how much the engines differ if they began to, or no longer do, since the last call; seldom.
    pub fn take_speed_change(&mut self, now: Moment) -> Option<Spread> {
        self.speeds.take_change(now)
    }

    pub fn speed_factor(&self, endpoint: &id::Endpoint) -> f64 {
        let state = self.index_of(endpoint).map(|index| &self.endpoints[index]);
        let engine = state.and_then(|state| state.engine.as_ref());
        engine.map_or(1.0, Engine::factor)
    }

    /// Compares the engines and sets their factors, if it is due.
    fn update_factors(&mut self, now: Moment) {
        if now.since(self.speeds.updated) < UPDATE_INTERVAL {
            return;
        }
        self.speeds.updated = now;
        let estimate = |state: &EndpointState| state.speed.estimate(now);
        let estimates: Vec<_> = self.endpoints.iter().map(estimate).collect();
        let known: Vec<_> = estimates.iter().copied().flatten().collect();
        let speeds = &mut self.speeds;
        speeds.pace.update(&known);
        speeds.known = known.len();
        speeds.range = None;
        for (state, estimate) in self.endpoints.iter_mut().zip(estimates) {
            let factor = speeds.pace.factor(estimate);
            if let Some(engine) = &mut state.engine {
                engine.set_factor(factor);
            }
            let (low, high) = speeds.range.unwrap_or((factor, factor));
            speeds.range = Some((low.min(factor), high.max(factor)));
        }
    }
}
