//! Spend out of grants that the platform's log accepted.
//!
//! The wallet reserves the most that a call can cost before the call is sent, and settles what it
//! did cost after. How much to ask for and when is decided by [`pimento_policy::budget`]; the fold
//! of the grants stream decides what is granted. Cut off from the log, a node spends what it was
//! granted, then what peers lend it of theirs, and then refuses.

mod lenders;
mod shared;

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pimento_contract::Contract;
use pimento_ledger::Stream;
use pimento_ledger::grants;
use pimento_ledger::record::GrantRecord;
use pimento_ledger::record::Return;
use pimento_policy::budget;
use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Wall;
use pimento_units::id;
use snafu::Snafu;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use self::shared::Shared;
use self::shared::holder;
use crate::appender::Appender;
use crate::follower::Follower;
use crate::log::Log;
use crate::view;
use crate::view::Records;

/// Calls of the size at hand that are borrowed at a time.
const BORROW: u64 = 16;

/// Settings of a [`Wallet`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// When and how much to ask for.
    pub budget: budget::Config,
    /// How long one grant may take to be written and read back.
    pub patience: Duration,
    /// Age of the view from which on the log counts as out and is not waited for.
    pub outage: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            budget: budget::Config::default(),
            patience: Duration::from_secs(3),
            outage: Duration::from_secs(4),
        }
    }
}

/// What this node has read of the grants stream.
pub type View = view::View<grants::Fold>;

impl Records for grants::Fold {
    type Record = GrantRecord;

    const PREFIX: &'static str = "grants";

    fn take(&mut self, _offset: Offset, _at: Wall, allowance: GrantRecord) {
        self.apply(&allowance);
    }
}

/// Entry VMs that can lend a part of their grants.
pub trait Lenders: Sync {
    /// Live peers, those of the own zone first.
    fn peers(&self) -> Vec<id::Node>;

    /// Asks a peer for a part of its grants and gives what it lent. An answer that is lost leaves
    /// the part with nobody, which wastes it and breaks no limit.
    fn lend(
        &self,
        peer: &id::Node,
        customer: &id::Customer,
        period: u64,
        amount: Money,
    ) -> impl Future<Output = Money> + Send;
}

/// Whose money is to be spent.
#[derive(Debug, Clone, Copy)]
pub struct Account<'a> {
    /// The contract in force.
    pub contract: &'a Contract,
    /// Its revision.
    pub revision: Revision,
    /// This node's wall clock, which decides on the spend period.
    pub now: Wall,
}

/// Why nothing could be reserved. The call was not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The limit is spent or granted elsewhere.
    #[snafu(display("the spend limit of this period is reached"))]
    Exhausted {
        /// When the next period begins.
        after: Duration,
    },
    /// This node's grants are spent, and the log can't be asked for more.
    #[snafu(display("the platform's log is out, and what was granted before is spent"))]
    Out {
        /// When to come back.
        after: Duration,
    },
}

/// The grants of one entry VM. Clones share everything.
#[derive(Debug, Clone)]
pub struct Wallet {
    shared: Arc<Shared>,
}

/// Money set aside for one call. Dropped unsettled, it is freed.
#[derive(Debug)]
pub struct Hold {
    wallet: Wallet,
    customer: id::Customer,
    period: u64,
    reservation: Option<budget::Reservation>,
}

impl Hold {
    /// The spend period that the call is charged to.
    #[must_use]
    pub const fn period(&self) -> u64 {
        self.period
    }

    /// Charges what the call did cost, never more than was reserved, and gives the charge.
    #[must_use = "the charge goes on the bill"]
    pub fn settle(mut self, cost: Money) -> Money {
        self.finish(cost)
    }

    fn finish(&mut self, cost: Money) -> Money {
        let Some(reservation) = self.reservation.take() else {
            return Money::ZERO;
        };
        let now = self.wallet.shared.now();
        let mut balances = self.wallet.shared.balances();
        balances
            .iter_mut()
            .find(|balance| balance.customer == self.customer && balance.period == self.period)
            .map_or(Money::ZERO, |balance| {
                balance.grants.settle(reservation, cost, now)
            })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.finish(Money::ZERO);
    }
}

impl Wallet {
    /// Starts to follow the grants stream.
    pub fn start(
        node: &id::Node,
        config: Config,
        log: impl Log,
        appender: Appender,
        token: CancellationToken,
    ) -> Self {
        let view = View::default();
        let follower = Follower::start(log, Stream::Grants, Offset(0), view, token);
        let shared = Shared {
            holder: holder(node),
            config,
            appender,
            follower,
            start: Instant::now(),
            balances: Mutex::new(Vec::new()),
            borrowing: tokio::sync::Mutex::new(()),
            tasks: TaskTracker::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The view of the grants stream.
    #[must_use]
    pub fn follower(&self) -> &Follower<View> {
        &self.shared.follower
    }

    /// The name that this wallet's grants are written under.
    #[must_use]
    pub fn holder(&self) -> &id::Node {
        &self.shared.holder
    }

    /// Sets aside the most that a call can cost, asking the log for more if needed. `nodes` is the
    /// number of live entry VMs.
    ///
    /// # Errors
    ///
    /// [`Error::Exhausted`] or [`Error::Out`].
    pub async fn reserve(
        &self,
        account: Account<'_>,
        most: Money,
        nodes: u32,
        deadline: Instant,
    ) -> Result<Hold, Error> {
        let deadline = deadline.min(Instant::now() + self.shared.config.patience);
        loop {
            if let Some(hold) = self.take(account, most) {
                self.ask_ahead(account, nodes);
                return Ok(hold);
            }
            if self.left(account) < most {
                return Err(exhausted(account));
            }
            if self.shared.follower.age() > self.shared.config.outage {
                return Err(self.out());
            }
            if !self.ask(account, nodes, deadline).await {
                return self.take(account, most).ok_or_else(|| self.out());
            }
        }
    }

    /// Borrows of peers' grants after [`Error::Out`]: a node that starts while the log is out has
    /// none of its own, and one that is cut off for long has spent them. Returns whether there is
    /// enough now.
    pub async fn borrow(&self, account: Account<'_>, most: Money, lenders: &impl Lenders) -> bool {
        let _turn = self.shared.borrowing.lock().await;
        let customer = &account.contract.customer;
        let period = account.contract.spend.period(account.now).0;
        for peer in lenders.peers() {
            if self.free(customer, period) >= most {
                return true;
            }
            let amount = most.scale(BORROW, 1);
            let lent = lenders.lend(&peer, customer, period, amount).await;
            let mut balances = self.shared.balances();
            let balance = self.shared.balance(&mut balances, customer, period);
            balance.borrowed += lent;
            balance.grants.add(lent);
        }
        self.free(customer, period) >= most
    }

    /// Lends a peer up to `amount`, at most half of what is free here. What is lent can't be spent
    /// here any more, so that the sum of all nodes' grants stays the same.
    #[must_use]
    pub fn lend(&self, customer: &id::Customer, period: u64, amount: Money) -> Money {
        let mut balances = self.shared.balances();
        let balance = self.shared.balance(&mut balances, customer, period);
        let half = Money::from_micros(balance.grants.available().micros() / 2);
        let lent = balance.grants.release(amount.min(half));
        balance.lent += lent;
        lent
    }

    fn free(&self, customer: &id::Customer, period: u64) -> Money {
        let mut balances = self.shared.balances();
        let balance = self.shared.balance(&mut balances, customer, period);
        balance.grants.available()
    }

    /// Gives back what is not set aside, and waits until that is written or `deadline`.
    pub async fn close(&self, deadline: Instant) {
        let returns: Vec<(id::Customer, u64, Money)> = {
            let mut balances = self.shared.balances();
            let returns = balances.iter_mut().map(|balance| {
                // What peers lent can't be returned under this name; the fold would refuse it all.
                let granted = self.shared.granted(&balance.customer, balance.period);
                let amount = balance.grants.available().min(granted);
                let amount = balance.grants.release(amount);
                balance.returning += amount;
                (balance.customer.clone(), balance.period, amount)
            });
            returns
                .filter(|(_, _, amount)| *amount > Money::ZERO)
                .collect()
        };
        for (customer, period, amount) in returns {
            let back = GrantRecord::Return(Return {
                id: id::Record(Uuid::now_v7()),
                customer,
                node: self.shared.holder.clone(),
                period,
                amount,
            });
            self.shared.write(&back, deadline).await;
        }
    }

    fn take(&self, account: Account<'_>, most: Money) -> Option<Hold> {
        let customer = &account.contract.customer;
        let period = account.contract.spend.period(account.now).0;
        let mut balances = self.shared.balances();
        let balance = self.shared.balance(&mut balances, customer, period);
        let reservation = balance.grants.reserve(most)?;
        Some(Hold {
            wallet: self.clone(),
            customer: customer.clone(),
            period,
            reservation: Some(reservation),
        })
    }

    /// What is left of the limit, with what this node still has.
    fn left(&self, account: Account<'_>) -> Money {
        let customer = &account.contract.customer;
        let period = account.contract.spend.period(account.now).0;
        let limit = account.contract.spend.limit;
        let left = self.shared.left(customer, period, limit);
        let mut balances = self.shared.balances();
        left + self
            .shared
            .balance(&mut balances, customer, period)
            .grants
            .available()
    }

    fn ask_ahead(&self, account: Account<'_>, nodes: u32) {
        let Some(grant) = self.shared.next_grant(account, nodes) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        self.shared.tasks.spawn(async move {
            let deadline = Instant::now() + shared.config.patience;
            shared.obtain(grant, deadline).await;
        });
    }

    /// Asks for a grant, or waits for the one that is asked for already. Returns whether anything
    /// was decided by `deadline`.
    async fn ask(&self, account: Account<'_>, nodes: u32, deadline: Instant) -> bool {
        if let Some(grant) = self.shared.next_grant(account, nodes) {
            return self.shared.obtain(grant, deadline).await;
        }
        let mut changed = self.shared.follower.changed();
        changed.mark_unchanged();
        let retry = (Instant::now() + RETRY).min(deadline);
        // Another call's ask is out; its answer may come with any batch, or its failure without.
        let _ = tokio::time::timeout_at(retry, changed.changed()).await;
        Instant::now() < deadline
    }

    fn out(&self) -> Error {
        let closed = self.shared.appender.closed_until();
        let after = closed.saturating_duration_since(Instant::now());
        Error::Out {
            after: after.max(Duration::from_secs(1)),
        }
    }
}

/// How long to wait for the answer to another call's ask before looking again.
const RETRY: Duration = Duration::from_millis(50);

fn exhausted(account: Account<'_>) -> Error {
    let length = account.contract.spend.period.millis().max(1);
    let spent = account.now.millis() % length;
    Error::Exhausted {
        after: Duration::from_millis(length - spent),
    }
}
