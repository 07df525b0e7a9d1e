//! Choice of an endpoint for one attempt.
//!
//! **Load:** load reports that are seconds old, many nodes that choose at once, a hot prefix, zones
//! apart. **Without it:** all nodes send to the endpoint that was idle when it last reported, and
//! fill it before the next report (herd); one hot prefix drives its one endpoint over its limit;
//! or, without affinity, every engine computes every prefix anew. **How:** in this order.
//! - A prefix goes to the endpoint that is first in its rendezvous order among those whose load is
//!   at most a bound over the mean, so that a hot prefix spreads to the next ones and back.
//! - Otherwise two endpoints are drawn, and the one with less expected work gets the attempt: its
//!   own calls in flight, which are known, and those of others, discounted by the report's age.
//! - The drawing is in the own zone first; another zone is used when the wait saved is worth more
//!   than the link's delay and cost.
//!
//! **Grounds:** two random choices (Mitzenmacher, 2001, with stale information 2000); rendezvous
//! hashing (Thaler and Ravishankar, 1998); consistent hashing with bounded loads (Mirrokni, Thorup
//! and Zadimoghaddam, 2018); Prequal (Google, NSDI 2024) for requests in flight as the signal.

use std::time::Duration;

use crate::number;

/// Figures of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Times the mean load that an endpoint may have and still take a prefix that belongs to it. A
    /// prompt read anew costs more than the wait behind half as many calls again.
    pub load_factor: f64,
    /// Age at which a load report counts half.
    pub half_weight_age: Duration,
    /// Share of an endpoint's expected wait that must be saved in another zone beyond the link's
    /// own delay: a link between zones costs more than the wait alone shows.
    pub spill_margin: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            load_factor: 1.5,
            half_weight_age: Duration::from_millis(500),
            spill_margin: 0.2,
        }
    }
}

/// An endpoint that might take the attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Hash of the endpoint's name, the same at every node ([`hash`]).
    pub key: u64,
    /// Whether it may be chosen: not tried before, not ejected, not leaving, holds the version.
    pub usable: bool,
    /// Round-trip time to its zone beyond that within the own one; zero for the own zone.
    pub distance: Duration,
    /// Calls in flight from this node.
    pub own: u32,
    /// The limit of this node for it.
    pub limit: u32,
    /// Calls of other nodes, running or waiting, by its last report.
    pub others: u32,
    /// Age of that report.
    pub report_age: Duration,
    /// How long a call of ordinary size takes there.
    pub run_time: Duration,
}

/// The hash of an endpoint's name, for [`Candidate::key`].
#[must_use]
pub fn hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

impl Candidate {
    fn open(&self) -> bool {
        self.usable && self.own < self.limit
    }

    /// Calls that the endpoint is thought to hold. The trust in a report falls to a half at the
    /// age `trust`, a third at twice that, and so on: a division, where an exponential would be most
    /// of the cost of a choice among hundreds.
    fn load(&self, trust: Duration) -> f64 {
        let own = f64::from(self.own);
        if self.others == 0 {
            return own;
        }
        let trust = seconds(trust);
        own + f64::from(self.others) * trust / (trust + seconds(self.report_age))
    }

    /// Expected work before and during a call, in seconds.
    fn score(&self, trust: Duration) -> f64 {
        let full = self.load(trust) / f64::from(self.limit.max(1));
        self.run_time.as_secs_f64() * (1.0 + full)
    }
}

/// The endpoint for an attempt, as an index; none if no usable endpoint has a free slot. Makes one
/// pass or two and no allocation.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    prefix: Option<u64>,
    random: u64,
    config: &Config,
) -> Option<usize> {
    if let Some(found) = prefix.and_then(|prefix| affine(candidates, prefix, config)) {
        return Some(found);
    }
    let near = two(candidates, random, config.half_weight_age, |c| {
        c.distance.is_zero()
    });
    let far = two(
        candidates,
        number::mix(random, 1),
        config.half_weight_age,
        |c| !c.distance.is_zero(),
    );
    match (near, far) {
        (Some(near), Some(far)) if spills(&candidates[near], &candidates[far], config) => Some(far),
        (Some(near), _) => Some(near),
        (None, far) => far,
    }
}

fn spills(near: &Candidate, far: &Candidate, config: &Config) -> bool {
    let saved = near.score(config.half_weight_age) - far.score(config.half_weight_age);
    let price = far.distance.as_secs_f64() + config.spill_margin * near.run_time.as_secs_f64();
    saved > price
}

/// Seconds to the millisecond, which is as fine as reports are.
fn seconds(span: Duration) -> f64 {
    let millis = span.as_secs().saturating_mul(1_000) + u64::from(span.subsec_millis());
    (number::float(millis) / 1_000.0).max(f64::MIN_POSITIVE)
}

/// The first in rendezvous order whose load is within the bound, in whatever zone: each zone with
/// an order of its own would hold each prefix once more, and caches are small.
fn affine(candidates: &[Candidate], prefix: u64, config: &Config) -> Option<usize> {
    let most = (config.load_factor * mean(candidates, config.half_weight_age)).ceil();
    let mut best = None;
    for (place, candidate) in candidates.iter().enumerate() {
        let rank = number::mix(candidate.key, prefix);
        let higher = best.is_none_or(|(highest, _)| rank > highest);
        // The load is looked at last, since few candidates rank higher than all before them.
        if higher && candidate.open() && candidate.load(config.half_weight_age) <= most {
            best = Some((rank, place));
        }
    }
    best.map(|(_, place)| place)
}

/// Candidates that a mean is taken over. Among hundreds, as many spread over all of them do.
const SAMPLE: usize = 64;

/// The mean load of the usable candidates once this call is there, too.
fn mean(candidates: &[Candidate], trust: Duration) -> f64 {
    let step = candidates.len().div_ceil(SAMPLE).max(1);
    let mut load = 1.0;
    let mut count = 0_u32;
    for candidate in candidates.iter().step_by(step).filter(|c| c.usable) {
        load += candidate.load(trust);
        count += 1;
    }
    load / f64::from(count.max(1))
}

/// Draws before all open candidates are counted instead.
const DRAWS: u64 = 32;

/// The better of two different ones drawn among the open candidates that `fits` lets through.
fn two(
    candidates: &[Candidate],
    random: u64,
    trust: Duration,
    fits: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let open = |place: usize| candidates[place].open() && fits(&candidates[place]);
    let (one, other) = drawn(candidates.len(), random, &open)
        .or_else(|| counted(candidates.len(), random, &open))?;
    let better = candidates[other].score(trust) < candidates[one].score(trust);
    Some(if better { other } else { one })
}

/// Two open places by drawing until two were met: a few draws where most are open.
fn drawn(count: usize, random: u64, open: &impl Fn(usize) -> bool) -> Option<(usize, usize)> {
    let draws = (0..DRAWS).map(|turn| below(number::mix(random, turn), count));
    let mut met = draws.filter(|place| *place < count && open(*place));
    let one = met.next()?;
    let other = met.find(|place| *place != one)?;
    Some((one, other))
}

/// Two open places by counting them, or twice the only one; exact, where few are open.
fn counted(count: usize, random: u64, open: &impl Fn(usize) -> bool) -> Option<(usize, usize)> {
    let places = || (0..count).filter(|place| open(*place));
    let total = places().count();
    if total == 0 {
        return None;
    }
    let first = below(random, total);
    let one = places().nth(first)?;
    if total == 1 {
        return Some((one, one));
    }
    let second = below(number::mix(random, DRAWS), total - 1);
    let other = places().nth(second + usize::from(second >= first))?;
    Some((one, other))
}

/// A number below `count`; zero if there is none.
fn below(bits: u64, count: usize) -> usize {
    let wide = u128::from(bits) * (count as u128);
    usize::try_from(wide >> 64).unwrap_or(0)
}
