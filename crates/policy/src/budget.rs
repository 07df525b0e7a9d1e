//! Spend of one customer at one node, in escrow out of accepted grants.
//!
//! Several nodes spend the same customer's money, and some of them may be cut off or crash. If each
//! checked against a sum that it read a moment ago, they would together overrun the limit by
//! whatever is in flight everywhere; a single shared counter would stop all spending while it can't
//! be reached. So a node spends only out of grants that the log has accepted, which together never
//! exceed the limit. It reserves the maximum cost of a call before sending it and settles the
//! actual cost afterwards. It requests grants ahead of need, as a share of what is left, so that
//! they shrink near the limit, and may release what it does not need.
//!
//! The scheme is escrow transactions (O'Neil, 1986) and demarcation (Barbará and Garcia-Molina,
//! 1992): a bound on a sum holds without coordination at each update if each site stays within its
//! part.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Money;

use crate::number;

/// Settings of [`Grants`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// What is left of the limit is divided by the number of nodes and by this for the size of a
    /// grant. With the value 2, each grant is half of what is left of the node's share, so that the
    /// last money is granted in small pieces to the nodes that spend it.
    pub grant_divisor: u32,
    /// How far ahead spending is covered by requested grants. A node that is cut off from the log
    /// spends only these, and the log may be unavailable for long stretches.
    pub lookahead: Duration,
    /// Calls of the largest size seen that are covered whatever the spend rate, because an idle
    /// node may have to serve its zone alone from one moment to the next.
    pub min_calls: u32,
    /// The smallest grant that is worth a record on the log, while that much is left.
    pub min_grant: Money,
    /// Half-life of the measured spend rate.
    pub half_life: Duration,
    /// Multiple of the needed amount that a node retains; what exceeds it is surplus.
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

/// Money set aside for one call. It must be passed to [`Grants::settle`], or it stays set aside
/// until the period ends.
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
    /// The amount requested from the log, until the request is answered.
    requested: Option<Money>,
    /// The largest call since the last grant that could not be reserved.
    unmet: Money,
    /// The largest call that a reservation was requested for.
    largest: Money,
    /// Spend rate in millionths of the currency unit per second.
    rate: f64,
    /// When the rate was last updated.
    updated: Moment,
}

impl Grants {
    /// Starts without grants.
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
            updated: Moment::ZERO,
        }
    }

    /// Adds a grant to this node, whether or not this incarnation of the node requested it.
    pub fn add(&mut self, amount: Money) {
        self.granted += amount;
        self.requested = None;
        self.unmet = Money::ZERO;
    }

    /// Ends the pending request, so that the next one may be made. To be called when the request
    /// was refused, can't have been written, or its outcome is unknown; a grant that is accepted
    /// all the same is added by [`add`](Self::add) once it is read.
    pub const fn clear_request(&mut self) {
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

    /// All that was granted, less what was released.
    #[must_use]
    pub const fn granted(&self) -> Money {
        self.granted
    }

    /// Sets aside the maximum cost of a call; none if the grants don't cover it.
    pub fn reserve(&mut self, most: Money) -> Option<Reservation> {
        self.largest = self.largest.max(most);
        if most > self.available() {
            self.unmet = self.unmet.max(most);
            return None;
        }
        self.reserved += most;
        Some(Reservation { amount: most })
    }

    /// Charges the actual cost of a call and frees the rest of its reservation. Returns the charge,
    /// which never exceeds the reservation.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "taking it makes settling twice a compile error"
    )]
    pub fn settle(&mut self, reservation: Reservation, cost: Money, now: Moment) -> Money {
        let amount = reservation.amount;
        let charge = cost.min(amount);
        self.reserved = self.reserved - amount;
        self.spent += charge;
        let decay = number::decay(now.since(self.updated), self.config.half_life);
        self.updated = self.updated.max(now);
        self.rate = self.rate * decay + number::float(charge.micros()) / self.mean_age();
        charge
    }

    /// The amount to request now, if any. `left` is the limit less all accepted grants, `nodes` the
    /// number of live nodes. Only one request is pending at a time: the next may follow a grant
    /// ([`add`](Self::add)) or [`clear_request`](Self::clear_request).
    pub fn request(&mut self, left: Money, nodes: u32, now: Moment) -> Option<Money> {
        let pieces = u64::from(self.config.grant_divisor.max(1)) * u64::from(nodes.max(1));
        let share = left.scale(1, pieces);
        // A node that holds its share of what is left requests no more, however long that share
        // would last: if the node crashes the others can't use it, and near the limit they need it.
        let wanted = self.needed(now).min(share.max(self.min_request()));
        if self.requested.is_some() || left == Money::ZERO || self.available() >= wanted {
            return None;
        }
        let missing = wanted - self.available();
        let amount = share
            .min(missing + missing)
            .max(self.min_request())
            .min(left);
        self.requested = Some(amount);
        Some(amount)
    }

    /// What this node is unlikely to need and may release for other nodes to spend.
    #[must_use]
    pub fn surplus(&self, now: Moment) -> Money {
        let retained = self
            .needed(now)
            .scale(u64::from(self.config.surplus_factor), 1);
        self.available() - retained
    }

    /// Releases up to `amount`, which can't be reserved any more, and returns the amount for the
    /// record. To be called before that record is written.
    pub fn release(&mut self, amount: Money) -> Money {
        let released = amount.min(self.available());
        self.granted = self.granted - released;
        released
    }

    /// What should be available: the spending expected within the lookahead, the calls covered
    /// whatever the rate, and the largest call that could not be reserved.
    fn needed(&self, now: Moment) -> Money {
        let rate = self.rate * number::decay(now.since(self.updated), self.config.half_life);
        let expected = number::floor(rate * self.config.lookahead.as_secs_f64());
        let calls = self.largest.scale(u64::from(self.config.min_calls), 1);
        self.min_request()
            .max(Money::from_micros(expected))
            .max(calls)
    }

    fn min_request(&self) -> Money {
        self.config.min_grant.max(self.unmet)
    }

    /// Mean age in seconds of what a decaying sum with this half-life holds.
    fn mean_age(&self) -> f64 {
        self.config.half_life.as_secs_f64().max(f64::MIN_POSITIVE) / std::f64::consts::LN_2
    }
}
