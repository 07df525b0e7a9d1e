//! Choice of an endpoint for one attempt.
//!
//! Load reports are seconds old, many nodes choose at once, prefixes may be hot, and zones are
//! apart. With reports alone, all nodes send to the endpoint that was idle when it last reported
//! and fill it before the next report (herding). With strict affinity, one hot prefix drives its
//! endpoint over its limit; without affinity, every engine computes every prefix anew. The choice
//! is made in this order:
//! - A prefix goes to the endpoint that is first in its rendezvous order among those whose load is
//!   at most a multiple of the mean. A hot prefix spreads to the next endpoints and returns later.
//! - Otherwise two endpoints are drawn, and the one with less expected work gets the attempt. Its
//!   work is this node's own calls in flight, which are known exactly, and those of other nodes,
//!   discounted by the age of the report.
//! - Endpoints are drawn from the local zone first. Another zone is used if the wait saved
//!   outweighs the delay and cost of the link.
//!
//! The methods are two random choices (Mitzenmacher, 2001; with stale information, 2000),
//! rendezvous hashing (Thaler and Ravishankar, 1998), consistent hashing with bounded loads
//! (Mirrokni, Thorup and Zadimoghaddam, 2018), and requests in flight as the load signal (Prequal,
//! Google, NSDI 2024).

use std::time::Duration;

use crate::number;

/// Settings of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Multiple of the mean load up to which an endpoint takes the prefixes that belong to it. An
    /// uncached prefill costs more than waiting behind half as many calls again.
    pub load_factor: f64,
    /// Age at which a load report has half its weight.
    pub half_weight_age: Duration,
    /// Share of a local call's run time that another zone must save beyond the link's delay,
    /// because a link between zones costs more than its delay.
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
    /// [`hash`] of the endpoint's name, which is the same at every node.
    pub name_hash: u64,
    /// Whether it may be chosen: it holds the version and was not tried before, ejected or leaving.
    pub usable: bool,
    /// Round-trip time to its zone beyond that within the local zone; zero for the local zone.
    pub extra_delay: Duration,
    /// Calls in flight from this node.
    pub own: u32,
    /// This node's limit of calls in flight to it.
    pub limit: u32,
    /// Calls of other nodes that were running or waiting in its last report.
    pub others: u32,
    /// Age of that report.
    pub report_age: Duration,
    /// How long a call of typical size takes there.
    pub run_time: Duration,
}

/// A hash of a name that is the same at every node, such as for [`Candidate::name_hash`].
#[must_use]
pub fn hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

impl Candidate {
    /// Whether it may be chosen and has a free slot.
    fn has_free_slot(&self) -> bool {
        self.usable && self.own < self.limit
    }

    /// Estimated number of calls at the endpoint. The weight of a report falls to a half at the age
    /// `half_weight_age`, to a third at twice that age, and so on. An exponential decay would take
    /// most of the time of a choice among hundreds of endpoints.
    fn load(&self, half_weight_age: Duration) -> f64 {
        let own = f64::from(self.own);
        if self.others == 0 {
            return own;
        }
        let half = seconds(half_weight_age);
        own + f64::from(self.others) * half / (half + seconds(self.report_age))
    }

    /// Expected work before and during a call, in seconds.
    fn score(&self, half_weight_age: Duration) -> f64 {
        let utilization = self.load(half_weight_age) / f64::from(self.limit.max(1));
        self.run_time.as_secs_f64() * (1.0 + utilization)
    }
}

/// The index of the endpoint for an attempt; none if no usable endpoint has a free slot. It makes a
/// few passes over the candidates and does not allocate.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    prefix: Option<u64>,
    random: u64,
    config: &Config,
) -> Option<usize> {
    if let Some(found) = prefix.and_then(|prefix| by_affinity(candidates, prefix, config)) {
        return Some(found);
    }
    let local = two_choices(candidates, random, config.half_weight_age, |c| {
        c.extra_delay.is_zero()
    });
    let remote = two_choices(
        candidates,
        number::mix(random, 1),
        config.half_weight_age,
        |c| !c.extra_delay.is_zero(),
    );
    match (local, remote) {
        (Some(local), Some(remote))
            if should_spill(&candidates[local], &candidates[remote], config) =>
        {
            Some(remote)
        }
        (Some(local), _) => Some(local),
        (None, remote) => remote,
    }
}

fn should_spill(local: &Candidate, remote: &Candidate, config: &Config) -> bool {
    let saved = local.score(config.half_weight_age) - remote.score(config.half_weight_age);
    let cost =
        remote.extra_delay.as_secs_f64() + config.spill_margin * local.run_time.as_secs_f64();
    saved > cost
}

/// Seconds with a precision of a millisecond, which is that of load reports; never zero.
fn seconds(span: Duration) -> f64 {
    let millis = span.as_secs().saturating_mul(1_000) + u64::from(span.subsec_millis());
    (number::float(millis) / 1_000.0).max(f64::MIN_POSITIVE)
}

/// The first endpoint in rendezvous order whose load is within the bound, in any zone. Separate
/// orders for the zones would cache each prefix in each zone, and caches are small.
fn by_affinity(candidates: &[Candidate], prefix: u64, config: &Config) -> Option<usize> {
    let max_load = (config.load_factor * mean(candidates, config.half_weight_age)).ceil();
    let mut best = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let rank = number::mix(candidate.name_hash, prefix);
        let ranks_higher = best.is_none_or(|(highest, _)| rank > highest);
        // The load is checked last, because few candidates rank higher than all before them.
        if ranks_higher
            && candidate.has_free_slot()
            && candidate.load(config.half_weight_age) <= max_load
        {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Maximum number of candidates that a mean is taken over. Of hundreds, a sample spread over all of
/// them is enough.
const SAMPLE: usize = 64;

/// The mean load of the usable candidates, counting the call that is placed.
fn mean(candidates: &[Candidate], half_weight_age: Duration) -> f64 {
    let step = candidates.len().div_ceil(SAMPLE).max(1);
    let mut load = 1.0;
    let mut count = 0_u32;
    for candidate in candidates.iter().step_by(step).filter(|c| c.usable) {
        load += candidate.load(half_weight_age);
        count += 1;
    }
    load / f64::from(count.max(1))
}

/// Random draws before [`draw_pair_exhaustively`] is used instead.
const MAX_DRAWS: u64 = 32;

/// The better of two different candidates with a free slot, drawn among those that match `filter`.
fn two_choices(
    candidates: &[Candidate],
    random: u64,
    half_weight_age: Duration,
    filter: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let open = |index: usize| candidates[index].has_free_slot() && filter(&candidates[index]);
    let (one, other) = draw_pair(candidates.len(), random, &open)
        .or_else(|| draw_pair_exhaustively(candidates.len(), random, &open))?;
    let better = candidates[other].score(half_weight_age) < candidates[one].score(half_weight_age);
    Some(if better { other } else { one })
}

/// Two different indices with `open`, by repeated draws, which takes a few draws if most candidates
/// are open. None if [`MAX_DRAWS`] did not find two.
fn draw_pair(count: usize, random: u64, open: &impl Fn(usize) -> bool) -> Option<(usize, usize)> {
    let draws = (0..MAX_DRAWS).map(|turn| below(number::mix(random, turn), count));
    let mut found = draws.filter(|index| *index < count && open(*index));
    let one = found.next()?;
    let other = found.find(|index| *index != one)?;
    Some((one, other))
}

/// Two different indices with `open`, drawn among all of them after a count, or the only one twice;
/// none if there is none.
fn draw_pair_exhaustively(
    count: usize,
    random: u64,
    open: &impl Fn(usize) -> bool,
) -> Option<(usize, usize)> {
    let indices = || (0..count).filter(|index| open(*index));
    let total = indices().count();
    if total == 0 {
        return None;
    }
    let first = below(random, total);
    let one = indices().nth(first)?;
    if total == 1 {
        return Some((one, one));
    }
    let second = below(number::mix(random, MAX_DRAWS), total - 1);
    let other = indices().nth(second + usize::from(second >= first))?;
    Some((one, other))
}

/// A random number below `count`; zero if `count` is zero.
fn below(bits: u64, count: usize) -> usize {
    let wide = u128::from(bits) * (count as u128);
    usize::try_from(wide >> 64).unwrap_or(0)
}
