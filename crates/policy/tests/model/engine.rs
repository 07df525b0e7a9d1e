//! A fake engine with continuous batching. All calls of the batch advance at the same speed, which
//! falls as the batch fills; other calls wait by priority. A cached prefix needs no prefill.

use std::collections::VecDeque;

use super::float;
use super::scenario::Fault;
use super::scenario::Kind;

/// Calls in a full batch.
pub const BATCH: usize = 16;
/// Tokens per second of a call that runs alone.
pub const SINGLE_RATE: f64 = 60.0;
/// Slowdown by each further call. In a full batch each call runs at a third of its speed, with 50
/// ms between tokens.
pub const SLOWDOWN: f64 = 2.0 / 15.0;
/// Tokens per second of a full batch.
pub const BATCH_RATE: f64 = 16.0 * SINGLE_RATE / (1.0 + SLOWDOWN * 15.0);
/// Prompt tokens prefilled in the time of one generated token.
pub const PREFILL_RATIO: f64 = 10.0;
/// Prefixes that the cache holds.
const CACHE_SIZE: usize = 8;
/// Share of a prompt that is its prefix.
const PREFIX_SHARE: f64 = 0.8;

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
    first_reported: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    First(usize),
    End(usize),
}

#[derive(Debug, Clone, Default)]
pub struct Engine {
    pub faults: Vec<Fault>,
    /// Number of times that the engine was advanced. An event of an earlier generation is outdated.
    pub generation: u64,
    /// Work done, in tokens.
    pub served: f64,
    /// Work on calls that were cancelled.
    pub wasted: f64,
    /// Work on prefixes that were not in the cache.
    pub cache_misses: f64,
    /// Tokens that a call would have got if it had run all the time.
    progress: f64,
    /// Time that the engine was advanced to.
    now: f64,
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
        let slowdown = match self.fault(at) {
            Some(Kind::Slow(times)) => times,
            Some(Kind::Hang) => return 0.0,
            _ => 1.0,
        };
        let others = self.running.len().saturating_sub(1) as u64;
        SINGLE_RATE / (1.0 + SLOWDOWN * float(others)) / slowdown
    }

    /// Advances to `now`, through the times at which the speed changes.
    fn advance(&mut self, now: f64) {
        let mut marks: Vec<f64> = self.faults.iter().flat_map(|f| [f.from, f.to]).collect();
        marks.retain(|mark| *mark > self.now && *mark < now);
        marks.push(now);
        marks.sort_by(f64::total_cmp);
        for mark in marks {
            let step = (mark - self.now) * self.speed(self.now);
            self.progress += step;
            self.served += step * float(self.running.len() as u64);
            self.now = mark;
        }
        self.generation += 1;
    }

    /// Adds a call.
    pub fn push(&mut self, now: f64, work: Work) {
        self.advance(now);
        self.waiting.push(work);
        self.fill();
    }

    /// Cancels a call.
    pub fn cancel(&mut self, now: f64, attempt: usize) {
        self.advance(now);
        let cancelled = self.running.iter().filter(|run| run.attempt == attempt);
        self.wasted += cancelled.map(|run| self.progress - run.start).sum::<f64>();
        self.running.retain(|run| run.attempt != attempt);
        self.waiting.retain(|work| work.attempt != attempt);
        self.fill();
    }

    /// Drops all calls, as if the machine was lost, and returns their attempts.
    pub fn lose(&mut self, now: f64) -> Vec<usize> {
        self.advance(now);
        let running = self.running.drain(..).map(|run| run.attempt);
        running
            .chain(self.waiting.drain(..).map(|work| work.attempt))
            .collect()
    }

    fn fill(&mut self) {
        while self.running.len() < BATCH && !self.waiting.is_empty() {
            let next = (0..self.waiting.len()).min_by_key(|index| self.waiting[*index].priority);
            let work = self.waiting.remove(next.unwrap_or(0));
            let cached = self.cache.iter().position(|prefix| *prefix == work.prefix);
            if let Some(index) = cached {
                self.cache.remove(index);
            }
            self.cache.push_back(work.prefix);
            if self.cache.len() > CACHE_SIZE {
                self.cache.pop_front();
            }
            let uncached = if cached.is_some() {
                1.0 - PREFIX_SHARE
            } else {
                1.0
            };
            if cached.is_none() {
                self.cache_misses += float(work.input) * PREFIX_SHARE / PREFILL_RATIO;
            }
            let first = self.progress + float(work.input) * uncached / PREFILL_RATIO + 1.0;
            self.running.push(Run {
                attempt: work.attempt,
                start: self.progress,
                first,
                end: first + float(work.output),
                first_reported: false,
            });
        }
    }

    /// When the next call makes progress.
    pub fn next(&self) -> Option<f64> {
        let target = |run: &Run| {
            if run.first_reported {
                run.end
            } else {
                run.first
            }
        };
        let next = self.running.iter().map(target).min_by(f64::total_cmp)?;
        let fastest = self.speed(self.now);
        let change = self.faults.iter().flat_map(|f| [f.from, f.to]);
        let change = change
            .filter(|mark| *mark > self.now)
            .min_by(f64::total_cmp);
        let expected = self.now + (next - self.progress).max(0.0) / fastest + 1e-6;
        let bound = change.unwrap_or(f64::INFINITY);
        Some(expected.min(bound)).filter(|at| at.is_finite())
    }

    /// Advances to `now` and returns the progress made.
    pub fn step(&mut self, now: f64) -> Vec<Progress> {
        self.advance(now);
        let mut reached = Vec::new();
        for run in &mut self.running {
            if !run.first_reported && run.first <= self.progress {
                run.first_reported = true;
                reached.push(Progress::First(run.attempt));
            }
            if run.end <= self.progress {
                reached.push(Progress::End(run.attempt));
            }
        }
        let progress = self.progress;
        self.running.retain(|run| run.end > progress);
        self.fill();
        reached
    }

    /// Numbers of running and waiting calls.
    pub fn load(&self) -> (u32, u32) {
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        (count(self.running.len()), count(self.waiting.len()))
    }
}
