//! Spending from grants that are recorded on the platform's log.
//!
//! The wallet reserves the maximum cost of a call before the call is sent, and settles the actual
//! cost afterwards. [`pimento_policy::budget`] decides when to request a grant and how much; the
//! fold of the grants stream decides what is granted. Without the log, a node spends its own
//! grants, then what peers transfer to it of theirs, and then refuses calls.

mod peers;
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
use crate::view::TypedFold;

/// Size of a transfer, as a multiple of the cost of the call that needs it.
const TRANSFER_CALLS: u64 = 16;

/// Settings of a [`Wallet`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// When to request a grant, and how much.
    pub budget: budget::Config,
    /// Timeout for appending one grant and reading it back.
    pub timeout: Duration,
    /// The age of the view beyond which the log counts as unavailable and is not waited for.
    pub max_view_age: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            budget: budget::Config::default(),
            timeout: Duration::from_secs(3),
            max_view_age: Duration::from_secs(4),
        }
    }
}

/// This node's view of the grants stream.
pub type View = view::View<grants::Fold>;

impl TypedFold for grants::Fold {
    type Record = GrantRecord;

    const PREFIX: &'static str = "grants";

    fn apply(&mut self, _offset: Offset, _at: Wall, record: GrantRecord) {
        self.apply(&record);
    }
}

/// Entry VMs that can transfer part of their grants.
pub trait Peers: Sync {
    /// Live peers, those of the local zone first.
    fn peers(&self) -> Vec<id::Node>;

    /// Requests part of a peer's grants and returns the amount transferred. If the response is lost,
    /// neither node can spend that amount: it is wasted, and no limit is exceeded.
    fn request_transfer(
        &self,
        peer: &id::Node,
        customer: &id::Customer,
        period: u64,
        amount: Money,
    ) -> impl Future<Output = Money> + Send;
}

/// The account that a call is charged to.
#[derive(Debug, Clone, Copy)]
pub struct Account<'a> {
    /// The contract in force.
    pub contract: &'a Contract,
    /// The contract's revision.
    pub revision: Revision,
    /// This node's wall clock, which determines the spend period.
    pub now: Wall,
}

/// Why no money could be reserved. The call was not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The limit is spent, or granted to other nodes.
    #[snafu(display("the spend limit of this period is reached"))]
    Exhausted {
        /// Time until the next period begins.
        retry_after: Duration,
    },
    /// This node's grants are spent, and the log is unavailable for another one.
    #[snafu(display("the platform's log is unavailable, and the earlier grants are spent"))]
    Unavailable {
        /// Delay before the next attempt.
        retry_after: Duration,
    },
}

/// The grants of one entry VM. Clones share all state.
#[derive(Debug, Clone)]
pub struct Wallet {
    shared: Arc<Shared>,
}

/// Money reserved for one call. It is released if the hold is dropped unsettled.
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

    /// Charges the actual cost of the call, at most the reserved amount, and returns the charge.
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
    /// Starts a follower of the grants stream.
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
            requesting: tokio::sync::Mutex::new(()),
            tasks: TaskTracker::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The follower of the grants stream.
    #[must_use]
    pub fn follower(&self) -> &Follower<View> {
        &self.shared.follower
    }

    /// The name under which this wallet's grants are recorded.
    #[must_use]
    pub fn holder(&self) -> &id::Node {
        &self.shared.holder
    }

    /// Reserves the maximum cost of a call, requesting another grant if needed. `nodes` is the
    /// number of live entry VMs.
    ///
    /// # Errors
    ///
    /// [`Error::Exhausted`] or [`Error::Unavailable`].
    pub async fn reserve(
        &self,
        account: Account<'_>,
        max_cost: Money,
        nodes: u32,
        deadline: Instant,
    ) -> Result<Hold, Error> {
        let deadline = deadline.min(Instant::now() + self.shared.config.timeout);
        loop {
            if let Some(hold) = self.try_reserve(account, max_cost) {
                self.request_ahead(account, nodes);
                return Ok(hold);
            }
            if self.remaining(account) < max_cost {
                return Err(exhausted(account));
            }
            if self.shared.follower.age() > self.shared.config.max_view_age {
                return Err(self.unavailable());
            }
            if !self.request(account, nodes, deadline).await {
                return self
                    .try_reserve(account, max_cost)
                    .ok_or_else(|| self.unavailable());
            }
        }
    }

    /// Requests transfers of peers' grants after [`Error::Unavailable`]: a node that starts while the log is
    /// unavailable has no grants of its own, and after a long outage they are spent. Returns
    /// whether `max_cost` is available now.
    pub async fn request_transfers(
        &self,
        account: Account<'_>,
        max_cost: Money,
        peers: &impl Peers,
    ) -> bool {
        let _guard = self.shared.requesting.lock().await;
        let customer = &account.contract.customer;
        let period = account.contract.spend.period(account.now).0;
        for peer in peers.peers() {
            if self.available(customer, period) >= max_cost {
                return true;
            }
            let amount = max_cost.scale(TRANSFER_CALLS, 1);
            let received = peers
                .request_transfer(&peer, customer, period, amount)
                .await;
            let mut balances = self.shared.balances();
            let balance = self.shared.balance(&mut balances, customer, period);
            balance.transferred_in += received;
            balance.grants.add(received);
        }
        self.available(customer, period) >= max_cost
    }

    /// Transfers to a peer up to `amount`, at most half of what is available here. This node can no longer
    /// spend the transferred amount, so the sum of all nodes' grants stays the same.
    #[must_use]
    pub fn transfer(&self, customer: &id::Customer, period: u64, amount: Money) -> Money {
        let mut balances = self.shared.balances();
        let balance = self.shared.balance(&mut balances, customer, period);
        let half = Money::from_micros(balance.grants.available().micros() / 2);
        let transferred = balance.grants.release(amount.min(half));
        balance.transferred_out += transferred;
        transferred
    }

    fn available(&self, customer: &id::Customer, period: u64) -> Money {
        let mut balances = self.shared.balances();
        let balance = self.shared.balance(&mut balances, customer, period);
        balance.grants.available()
    }

    /// Returns all money that is not reserved, and waits until the returns are appended or until
    /// `deadline`. No call may be reserved for after this.
    pub async fn close(&self, deadline: Instant) {
        self.shared.finish_requests(deadline).await;
        let returns: Vec<(id::Customer, u64, Money)> = {
            let mut balances = self.shared.balances();
            let returns = balances.iter_mut().map(|balance| {
                // Transferred money cannot be returned under this name: the fold would refuse the
                // return.
                let granted = self.shared.granted(&balance.customer, balance.period);
                balance.update(granted);
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
            let record = GrantRecord::Return(Return {
                id: id::Record(Uuid::now_v7()),
                customer,
                node: self.shared.holder.clone(),
                period,
                amount,
            });
            self.shared.write(&record, deadline).await;
        }
    }

    fn try_reserve(&self, account: Account<'_>, max_cost: Money) -> Option<Hold> {
        let customer = &account.contract.customer;
        let period = account.contract.spend.period(account.now).0;
        let mut balances = self.shared.balances();
        let balance = self.shared.balance(&mut balances, customer, period);
        let reservation = balance.grants.reserve(max_cost)?;
        Some(Hold {
            wallet: self.clone(),
            customer: customer.clone(),
            period,
            reservation: Some(reservation),
        })
    }

    /// What is left of the limit, including what this node still has available.
    fn remaining(&self, account: Account<'_>) -> Money {
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

    fn request_ahead(&self, account: Account<'_>, nodes: u32) {
        let Some(grant) = self.shared.next_grant(account, nodes) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        self.shared.tasks.spawn(async move {
            let deadline = Instant::now() + shared.config.timeout;
            shared.obtain(grant, deadline).await;
        });
    }

    /// Requests a grant, or waits for a change of the view if one is in flight. Returns false if
    /// `deadline` passes without a result.
    async fn request(&self, account: Account<'_>, nodes: u32, deadline: Instant) -> bool {
        if let Some(grant) = self.shared.next_grant(account, nodes) {
            return self.shared.obtain(grant, deadline).await;
        }
        let mut changed = self.shared.follower.subscribe();
        changed.mark_unchanged();
        let retry = (Instant::now() + RECHECK_INTERVAL).min(deadline);
        // Another call's request is in flight. Any batch may bring its result, but its failure
        // brings no batch.
        let _ = tokio::time::timeout_at(retry, changed.changed()).await;
        Instant::now() < deadline
    }

    fn unavailable(&self) -> Error {
        let unavailable_until = self.shared.appender.log_unavailable_until();
        let retry_after = unavailable_until.saturating_duration_since(Instant::now());
        Error::Unavailable {
            retry_after: retry_after.max(Duration::from_secs(1)),
        }
    }
}

/// How long to wait for the result of another call's request before checking again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

fn exhausted(account: Account<'_>) -> Error {
    let length = account.contract.spend.period.millis().max(1);
    let spent = account.now.millis() % length;
    Error::Exhausted {
        retry_after: Duration::from_millis(length - spent),
    }
}
