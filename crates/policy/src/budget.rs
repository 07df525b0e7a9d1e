//! Spend of one customer at one node: escrow out of accepted grants.
//!
//! **Load:** several nodes spend the same customer's money, some cut off, some dead. **Without
//! it:** each node checks against a sum that it read a moment ago, and together they overrun the
//! limit by what is in flight everywhere; or one shared counter stops all spending when it can't be
//! reached. **How:** a node spends only out of grants that the fold of the log accepted, which
//! together never exceed the limit. Before a call is sent the most it can cost is reserved; what it
//! did cost is settled after. Grants are asked for ahead of need, as a share of what is left, so
//! that they shrink near the limit. What a node does not need it may give back.
//!
//! **Grounds:** escrow transactions (O'Neil, 1986) and demarcation (Barbará and Garcia-Molina,
//! 1992): a bound on a sum holds without coordination at each update if each site holds its part.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Money;

use crate::number;

/// Figures of [`Grants`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Parts that each node's share of what is left is cut into: two halves it with each grant, so
    /// that the last money is granted in small pieces to those who spend it.
    pub grant_divisor: u32,
    /// Spending that is asked for ahead. A node that is cut off from the log lives on this, and
    /// the log is out for long stretches.
    pub lookahead: Duration,
    /// Calls of the largest size seen that are asked for ahead, whatever the rate of spending: a
    /// quiet node must be able to serve its zone alone from one moment to the next.
    pub min_calls: u32,
    /// The smallest grant worth a record on the log, while that much is left.
    pub min_grant: Money,
    /// Half-life of the measured rate of spending.
    pub half_life: Duration,
    /// Times the spending ahead that is kept before the rest counts as surplus.
    pub surplus_factor: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            grant_divisor: 2,
            lookahead: Duration::from_mins(15),
            min_calls: 64,
            min_grant: Money::from_micros(10_000),
            half_life: Duration::from_secs(30),
            surplus_factor: 4,
        }
    }
}

/// Money set aside for one call. Must be given to [`Grants::settle`], or it stays set aside until
/// the period ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is not settled stays set aside"]
pub struct Reservation {
    amount: Money,
}

impl Reservation {
    /// The most that may be charged.
    #[must_use]
    pub const fn amount(&self) -> Money {
        self.amount
    }
}

/// One customer's grants at one node in one spend period.
#[derive(Debug, Clone)]
pub struct Grants {
    config: Config,
    granted: Money,
    spent: Money,
    reserved: Money,
    requested: Option<Money>,
    unmet: Money,
    largest: Money,
    rate: f64,
    at: Moment,
}

impl Grants {
    /// No grants yet.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            granted: Money::ZERO,
            spent: Money::ZERO,
            reserved: Money::ZERO,
            requested: None,
            unmet: Money::ZERO,
            largest: Money::ZERO,
            rate: 0.0,
            at: Moment::ZERO,
        }
    }

    /// The fold accepted a grant to this node, whether or not this life of it asked.
    pub fn add(&mut self, amount: Money) {
        self.granted += amount;
        self.requested = None;
        self.unmet = Money::ZERO;
    }

    /// The fold refused the grant asked for, or it can't have been written.
    pub const fn request_done(&mut self) {
        self.requested = None;
    }

    /// What may still be reserved.
    #[must_use]
    pub fn available(&self) -> Money {
        self.granted - self.spent - self.reserved
    }

    /// What was charged.
    #[must_use]
    pub const fn spent(&self) -> Money {
        self.spent
    }

    /// All that was granted, less returns.
    #[must_use]
    pub const fn granted(&self) -> Money {
        self.granted
    }

    /// Sets aside the most that a call can cost; none if the grants don't cover it.
    pub fn reserve(&mut self, most: Money) -> Option<Reservation> {
        self.largest = self.largest.max(most);
        if most > self.available() {
            self.unmet = self.unmet.max(most);
            return None;
        }
        self.reserved += most;
        Some(Reservation { amount: most })
    }

    /// Charges what a call did cost and frees the rest; gives what was charged, which is never more
    /// than was reserved.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "taking it makes settling twice a compile error"
    )]
    pub fn settle(&mut self, reservation: Reservation, cost: Money, now: Moment) -> Money {
        let amount = reservation.amount;
        let charge = cost.min(amount);
        self.reserved = self.reserved - amount;
        self.spent += charge;
        let kept = number::decay(now.since(self.at), self.config.half_life);
        self.at = self.at.max(now);
        self.rate = self.rate * kept + number::float(charge.micros()) / self.mean_age();
        charge
    }

    /// How much to ask for now, if anything; `left` is the limit less all accepted grants, `nodes`
    /// the number of live nodes. At most one ask is out at a time: after its answer, or once it
    /// can't have been written ([`request_done`](Self::request_done)), the next may follow.
    pub fn request(&mut self, left: Money, nodes: u32, now: Moment) -> Option<Money> {
        let pieces = u64::from(self.config.grant_divisor.max(1)) * u64::from(nodes.max(1));
        let share = left.scale(1, pieces);
        // A node that holds its share of what is left asks for no more, however long that would
        // last: what it holds is lost to the others if it dies, and near the limit they need it.
        let wanted = self.needed(now).min(share.max(self.floor()));
        if self.requested.is_some() || left == Money::ZERO || self.available() >= wanted {
            return None;
        }
        let missing = wanted - self.available();
        let amount = share.min(missing + missing).max(self.floor()).min(left);
        self.requested = Some(amount);
        Some(amount)
    }

    /// What this node will hardly need and may give back, so that others can spend it.
    #[must_use]
    pub fn surplus(&self, now: Moment) -> Money {
        let keep = self
            .needed(now)
            .scale(u64::from(self.config.surplus_factor), 1);
        self.available() - keep
    }

    /// Gives back up to `amount`; what is given back can't be reserved any more. Gives the amount
    /// for the record, to be called before that is written.
    pub fn release(&mut self, amount: Money) -> Money {
        let returned = amount.min(self.available());
        self.granted = self.granted - returned;
        returned
    }

    /// What should be free: spending ahead, and the largest call that could not be reserved.
    fn needed(&self, now: Moment) -> Money {
        let rate = self.rate * number::decay(now.since(self.at), self.config.half_life);
        let ahead = number::floor(rate * self.config.lookahead.as_secs_f64());
        let calls = self.largest.scale(u64::from(self.config.min_calls), 1);
        self.floor().max(Money::from_micros(ahead)).max(calls)
    }

    fn floor(&self) -> Money {
        self.config.min_grant.max(self.unmet)
    }

    /// Seconds that a decaying sum with this half-life spans.
    fn mean_age(&self) -> f64 {
        self.config.half_life.as_secs_f64().max(f64::MIN_POSITIVE) / std::f64::consts::LN_2
    }
}
