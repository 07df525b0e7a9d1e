//! A fake engine with continuous batching: all calls of the batch advance at one speed, which falls
//! as the batch fills; the others wait by priority. A prefix in its cache needs no prefill.

use std::collections::VecDeque;

use super::float;
use super::scenario::Fault;
use super::scenario::Kind;

/// Calls in a full batch.
pub const BATCH: usize = 16;
/// Tokens a second of a call that is alone.
pub const ALONE: f64 = 60.0;
/// Slowing by each further call: a full batch gives each a third, 50 ms between tokens.
pub const DRAG: f64 = 2.0 / 15.0;
/// Tokens a second of a full batch.
pub const FULL: f64 = 16.0 * ALONE / (1.0 + DRAG * 15.0);
/// Prompt tokens prefilled in the time of one generated one.
pub const PREFILL: f64 = 10.0;
/// Prefixes that the cache holds.
const CACHE: usize = 8;
/// Share of a prompt that is its prefix.
const PREFIX: f64 = 0.8;

#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub attempt: usize,
    pub priority: u8,
    pub input: u64,
    pub output: u64,
    pub prefix: u64,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    attempt: usize,
    start: f64,
    first: f64,
    end: f64,
    told: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    First(usize),
    End(usize),
}

#[derive(Debug, Clone, Default)]
pub struct Engine {
    pub faults: Vec<Fault>,
    pub generation: u64,
    pub served: f64,
    /// Work on calls that were cancelled, and on prompts whose prefix was not in the cache.
    pub wasted: f64,
    pub missed: f64,
    clock: f64,
    at: f64,
    running: Vec<Run>,
    waiting: Vec<Work>,
    cache: VecDeque<u64>,
}

impl Engine {
    pub fn fault(&self, now: f64) -> Option<Kind> {
        let active = |fault: &&Fault| fault.from <= now && now < fault.to;
        self.faults.iter().find(active).map(|fault| fault.kind)
    }

    fn speed(&self, at: f64) -> f64 {
        let slowing = match self.fault(at) {
            Some(Kind::Slow(times)) => times,
            Some(Kind::Hang) => return 0.0,
            _ => 1.0,
        };
        let others = self.running.len().saturating_sub(1) as u64;
        ALONE / (1.0 + DRAG * float(others)) / slowing
    }

    /// Moves on to `now`, over the moments at which its speed changes.
    fn advance(&mut self, now: f64) {
        let mut marks: Vec<f64> = self.faults.iter().flat_map(|f| [f.from, f.to]).collect();
        marks.retain(|mark| *mark > self.at && *mark < now);
        marks.push(now);
        marks.sort_by(f64::total_cmp);
        for mark in marks {
            let step = (mark - self.at) * self.speed(self.at);
            self.clock += step;
            self.served += step * float(self.running.len() as u64);
            self.at = mark;
        }
        self.generation += 1;
    }

    /// Takes a call.
    pub fn push(&mut self, now: f64, work: Work) {
        self.advance(now);
        self.waiting.push(work);
        self.fill();
    }

    /// Drops a call.
    pub fn cancel(&mut self, now: f64, attempt: usize) {
        self.advance(now);
        let gone = self.running.iter().filter(|run| run.attempt == attempt);
        self.wasted += gone.map(|run| self.clock - run.start).sum::<f64>();
        self.running.retain(|run| run.attempt != attempt);
        self.waiting.retain(|work| work.attempt != attempt);
        self.fill();
    }

    /// Drops all calls, as when the machine is lost, and names them.
    pub fn lose(&mut self, now: f64) -> Vec<usize> {
        self.advance(now);
        let running = self.running.drain(..).map(|run| run.attempt);
        running
            .chain(self.waiting.drain(..).map(|work| work.attempt))
            .collect()
    }

    fn fill(&mut self) {
        while self.running.len() < BATCH && !self.waiting.is_empty() {
            let next = (0..self.waiting.len()).min_by_key(|place| self.waiting[*place].priority);
            let work = self.waiting.remove(next.unwrap_or(0));
            let cached = self.cache.iter().position(|known| *known == work.prefix);
            if let Some(place) = cached {
                self.cache.remove(place);
            }
            self.cache.push_back(work.prefix);
            if self.cache.len() > CACHE {
                self.cache.pop_front();
            }
            let fresh = if cached.is_some() { 1.0 - PREFIX } else { 1.0 };
            if cached.is_none() {
                self.missed += float(work.input) * PREFIX / PREFILL;
            }
            let first = self.clock + float(work.input) * fresh / PREFILL + 1.0;
            self.running.push(Run {
                attempt: work.attempt,
                start: self.clock,
                first,
                end: first + float(work.output),
                told: false,
            });
        }
    }

    /// When the next call makes progress.
    pub fn next(&self) -> Option<f64> {
        let tag = |run: &Run| if run.told { run.end } else { run.first };
        let next = self.running.iter().map(tag).min_by(f64::total_cmp)?;
        let fastest = self.speed(self.at);
        let change = self.faults.iter().flat_map(|f| [f.from, f.to]);
        let change = change.filter(|mark| *mark > self.at).min_by(f64::total_cmp);
        let reached = self.at + (next - self.clock).max(0.0) / fastest + 1e-6;
        let bound = change.unwrap_or(f64::INFINITY);
        Some(reached.min(bound)).filter(|at| at.is_finite())
    }

    /// The progress made up to `now`.
    pub fn step(&mut self, now: f64) -> Vec<Progress> {
        self.advance(now);
        let mut made = Vec::new();
        for run in &mut self.running {
            if !run.told && run.first <= self.clock {
                run.told = true;
                made.push(Progress::First(run.attempt));
            }
            if run.end <= self.clock {
                made.push(Progress::End(run.attempt));
            }
        }
        let clock = self.clock;
        self.running.retain(|run| run.end > clock);
        self.fill();
        made
    }

    /// Running and waiting calls.
    pub fn load(&self) -> (u32, u32) {
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        (count(self.running.len()), count(self.waiting.len()))
    }
}
