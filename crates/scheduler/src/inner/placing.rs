//! Prompts at engines: where one goes, what it would meet, and what this and other VMs learnt.

use std::time::Duration;

use pimento_policy::eject;
use pimento_policy::engine;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Tokens;

use super::Inner;
use crate::permit::Slot;
use crate::pool::Estimate;
use crate::pool::Job;
use crate::seat::Seat;

/// Prompts that are kept to be told to other VMs. They are told several times a second; a VM that
/// tells nobody keeps no more than these.
const TOLD: usize = 128;

/// Where a prompt goes.
#[derive(Debug)]
pub struct Placement {
    /// The engine's place.
    pub chosen: usize,
    /// What the prompt would meet at each engine.
    engines: Vec<engine::Candidate>,
}

impl Placement {
    /// What the prompt meets where it goes.
    pub fn meets(&self) -> engine::Candidate {
        self.engines[self.chosen]
    }
}

impl Inner {
    /// The engine for a prompt.
    pub(super) fn place(&self, prompt: &Prompt, job: &Job, now: Moment) -> Option<Placement> {
        let prefix = job.prefix.unwrap_or(prompt.model);
        let engines = self.engines(prompt, job, now);
        let mut untried = engines.clone();
        for (place, candidate) in untried.iter_mut().enumerate() {
            candidate.usable &= self.untried(place, job);
        }
        let choose = |engines: &[engine::Candidate]| engine::choose(engines, prefix, &self.placing);
        let ejected = || {
            let mut ejected = engines.clone();
            for (place, candidate) in ejected.iter_mut().enumerate() {
                candidate.usable = self.spare(place, job, now);
            }
            choose(&ejected)
        };
        let chosen = self
            .probe(job, now, |place| untried[place].usable)
            .or_else(|| choose(&untried))
            .or_else(ejected)
            .or_else(|| choose(&engines))?;
        Some(Placement { chosen, engines })
    }

    fn engines(&self, prompt: &Prompt, job: &Job, now: Moment) -> Vec<engine::Candidate> {
        let total = prompt.tokens();
        let candidate = |seat: &Seat| {
            let engine = seat.engine.as_ref();
            let unread = engine.map_or(Tokens::ZERO, |engine| engine.unread(prompt));
            let work = self.paces.work(prompt.model, unread, total);
            let wait = engine.map_or(Duration::ZERO, |engine| engine.wait(now));
            engine::Candidate {
                key: seat.key,
                usable: self.free(seat, job, now),
                far: !seat.member.distance.is_zero(),
                wait,
                work,
            }
        };
        self.seats.iter().map(candidate).collect()
    }

    /// Whether a call may be sent to an endpoint now.
    fn free(&self, seat: &Seat, job: &Job, now: Moment) -> bool {
        seat.takes(job, now)
            && seat.limiter.room() > 0
            && self.health.state(&seat.member.endpoint, now) != eject::State::Ejected
    }

    /// What a job with a prompt would meet.
    pub fn estimate(&self, job: &Job, now: Moment) -> Option<Estimate> {
        let prompt = job.prompt.as_ref()?;
        let placement = self.place(prompt, job, now)?;
        let placed = placement.meets();
        let engines = placement.engines.iter().enumerate();
        let near = engines.filter(|(_, e)| e.usable && !e.far);
        let wait = |(place, e): (usize, &engine::Candidate)| {
            if place == placement.chosen {
                e.first()
            } else {
                e.wait
            }
        };
        let mut waits: Vec<Duration> = near.map(wait).collect();
        waits.sort_unstable();
        let half = waits.len().div_ceil(2);
        let sum: Duration = waits.iter().take(half).sum();
        let next = sum / u32::try_from(half.max(1)).unwrap_or(u32::MAX);
        Some(Estimate {
            wait: placed.wait,
            work: placed.work,
            full: self
                .paces
                .work(prompt.model, prompt.tokens(), prompt.tokens()),
            next,
        })
    }

    pub fn read(&mut self) -> Vec<(u64, Prompt)> {
        std::mem::take(&mut self.read)
    }

    pub fn waits(&self, now: Moment) -> Vec<(u64, Duration)> {
        let engines = self.seats.iter();
        let waits = engines.filter_map(|seat| Some((seat.key, seat.engine.as_ref()?.own(now))));
        waits.filter(|(_, wait)| !wait.is_zero()).collect()
    }

    pub const fn paces(&self) -> &engine::Paces {
        &self.paces
    }

    pub fn seed(&mut self, paces: &[(u64, f64)]) {
        self.paces.seed(paces.iter().copied());
    }

    /// Another VM says how long engines take for its calls; all that it does not name take none. Of
    /// thousands of engines it names a few, so that only these and those it named before are looked at.
    pub fn hear(&mut self, node: u64, waits: &[(u64, Duration)], now: Moment) {
        let named: Vec<u64> = waits.iter().map(|(key, _)| *key).collect();
        let known = self.named.binary_search_by_key(&node, |(node, _)| *node);
        let before = known.map_or_else(|_| Vec::new(), |place| self.named.remove(place).1);
        let dropped = before.iter().filter(|key| !named.contains(key));
        let dropped = dropped.map(|key| (*key, Duration::ZERO));
        for (key, wait) in waits.iter().copied().chain(dropped) {
            let seat = self.seats.iter_mut().find(|seat| seat.key == key);
            if let Some(engine) = seat.and_then(|seat| seat.engine.as_mut()) {
                engine.hear(node, wait, now);
            }
        }
        if !named.is_empty() {
            let (Ok(place) | Err(place)) = known;
            self.named.insert(place, (node, named));
        }
    }

    pub fn learn(&mut self, key: u64, prompt: &Prompt, now: Moment) {
        let Some(seat) = self.seats.iter_mut().find(|seat| seat.key == key) else {
            return;
        };
        let Some(engine) = seat.engine.as_mut() else {
            return;
        };
        engine.keep(prompt, now);
    }

    /// The first token of a call has come.
    pub fn begun(&mut self, slot: &Slot, now: Moment) {
        let Some(ticket) = slot.ticket else { return };
        let Some(place) = self.place_of(&slot.endpoint) else {
            return;
        };
        let seat = &mut self.seats[place];
        let Some(engine) = seat.engine.as_mut() else {
            return;
        };
        engine.read(ticket, &mut self.paces, now);
        if let Some(prompt) = &slot.prompt
            && self.read.len() < TOLD
        {
            self.read.push((seat.key, prompt.clone()));
        }
    }
}
