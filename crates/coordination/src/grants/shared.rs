//! The state that the clones of a wallet share: balances, and grants requested through the log.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pimento_ledger::Grant;
use pimento_ledger::Stream;
use pimento_ledger::record::GrantRecord;
use pimento_policy::budget;
use pimento_units::Moment;
use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::id;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use super::Account;
use super::Config;
use super::View;
use crate::appender::Appender;
use crate::follower::Follower;

/// Length of the incarnation suffix in the name under which a wallet's grants are recorded.
const SUFFIX_LENGTH: usize = 8;

#[derive(Debug)]
pub(super) struct Shared {
    /// The node's name with a suffix for this incarnation. A node that restarts under its old name
    /// must not spend the grants of its earlier incarnation, part of which is spent already.
    pub(super) holder: id::Node,
    pub(super) config: Config,
    pub(super) appender: Appender,
    pub(super) follower: Follower<View>,
    pub(super) start: Instant,
    pub(super) balances: Mutex<Vec<Balance>>,
    /// Locked by the call that requests transfers. Others wait, and then use what it received.
    pub(super) requesting: tokio::sync::Mutex<()>,
    pub(super) tasks: TaskTracker,
}

/// One customer's grants in one period.
#[derive(Debug)]
pub(super) struct Balance {
    pub(super) customer: id::Customer,
    pub(super) period: u64,
    pub(super) grants: budget::Grants,
    /// The amount of this node's returns that it has not yet read back from the log.
    pub(super) returning: Money,
    /// The part of this node's grants that it has transferred to peers, for good.
    pub(super) transferred_out: Money,
    /// The part of peers' grants that they have transferred to this node, for good.
    pub(super) transferred_in: Money,
}

impl Shared {
    pub(super) fn balances(&self) -> MutexGuard<'_, Vec<Balance>> {
        self.balances.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Moment {
        Moment::ZERO + self.start.elapsed()
    }

    /// A customer's balance, updated with all grants read so far.
    pub(super) fn balance<'a>(
        &self,
        balances: &'a mut Vec<Balance>,
        customer: &id::Customer,
        period: u64,
    ) -> &'a mut Balance {
        let position =
            balances.binary_search_by(|p| (&p.customer, p.period).cmp(&(customer, period)));
        let position = position.unwrap_or_else(|position| {
            balances.insert(position, Balance::new(customer, period, self.config.budget));
            position
        });
        let balance = &mut balances[position];
        balance.update(self.granted(customer, period));
        balance
    }

    pub(super) fn granted(&self, customer: &id::Customer, period: u64) -> Money {
        self.follower
            .view(|view| view.fold().granted(customer, period, &self.holder))
    }

    pub(super) fn left(&self, customer: &id::Customer, period: u64, limit: Money) -> Money {
        self.follower
            .view(|view| view.fold().remaining(customer, period))
            .unwrap_or(limit)
    }

    /// The grant to request now, if any.
    pub(super) fn next_grant(&self, account: Account<'_>, nodes: u32) -> Option<Grant> {
        let customer = &account.contract.customer;
        let period = account.contract.spend.period(account.now).0;
        let limit = account.contract.spend.limit;
        let left = self.left(customer, period, limit);
        let mut balances = self.balances();
        let balance = self.balance(&mut balances, customer, period);
        let amount = balance.grants.request(left, nodes, self.now())?;
        Some(Grant {
            id: id::Record(Uuid::now_v7()),
            customer: customer.clone(),
            node: self.holder.clone(),
            period,
            amount,
            limit,
            revision: account.revision,
        })
    }

    /// Appends a grant and waits until it is read, or the log is read past it. Returns false if
    /// neither happens by `deadline`.
    pub(super) async fn obtain(&self, grant: Grant, deadline: Instant) -> bool {
        let customer = grant.customer.clone();
        let period = grant.period;
        let id = grant.id;
        let record = GrantRecord::Grant(grant);
        let write = self.write(&record, deadline);
        let find = |view: &View| view.fold().has_read(&customer, period, id).then_some(());
        tokio::pin!(write);
        let read = tokio::select! {
            // A grant may be read before its append returns, or although its response was lost.
            read = self.follower.wait(deadline, find) => read,
            written = &mut write => self.wait_passed(written, deadline, find).await,
        };
        let mut balances = self.balances();
        let balance = self.balance(&mut balances, &customer, period);
        // The request also ends if its result is unknown: a grant accepted later is found by
        // reading.
        balance.grants.clear_request();
        read.is_some()
    }

    /// Waits for grants that were requested ahead. Nobody could spend one that came after the returns, until
    /// the period ends.
    pub(super) async fn finish_requests(&self, deadline: Instant) {
        let tasks = &self.tasks;
        tasks.close();
        if tokio::time::timeout_at(deadline, tasks.wait())
            .await
            .is_err()
        {
            log::warn!("grants: {} requests have not ended.", tasks.len());
        }
    }

    /// Waits until the follower has read past `written`, or until `find` finds the record.
    async fn wait_passed(
        &self,
        written: Option<Offset>,
        deadline: Instant,
        find: impl Fn(&View) -> Option<()>,
    ) -> Option<()> {
        let passed = |view: &View| written.is_some_and(|offset| view.has_read(offset));
        self.follower
            .wait(deadline, |view| find(view).or(passed(view).then_some(())))
            .await
    }

    pub(super) async fn write(&self, record: &GrantRecord, deadline: Instant) -> Option<Offset> {
        let text = serde_json::to_string(record).ok()?;
        let appended = self.appender.append(Stream::Grants, text, deadline).await;
        appended
            .inspect_err(|error| log::warn!("grants: record not appended: {error}"))
            .ok()
    }
}

impl Balance {
    pub(super) fn new(customer: &id::Customer, period: u64, config: budget::Config) -> Self {
        Self {
            customer: customer.clone(),
            period,
            grants: budget::Grants::new(config),
            returning: Money::ZERO,
            transferred_out: Money::ZERO,
            transferred_in: Money::ZERO,
        }
    }

    /// Updates the balance from `granted`: all that the log has granted to this holder, less what
    /// the holder has returned.
    pub(super) fn update(&mut self, granted: Money) {
        let total = granted + self.transferred_in;
        let known = self.grants.granted() + self.returning + self.transferred_out;
        match total.checked_sub(known) {
            Some(Money::ZERO) => {}
            Some(more) => self.grants.add(more),
            // A return was read, so that much is no longer pending.
            None => {
                let accounted = self.grants.granted() + self.transferred_out;
                self.returning = total.saturating_sub(accounted);
            }
        }
    }
}

pub(super) fn holder(node: &id::Node) -> id::Node {
    // The last bytes of a version 7 UUID are random.
    let incarnation = Uuid::now_v7().simple().to_string();
    let max_name = id::MAX_NAME - SUFFIX_LENGTH - 1;
    let name: String = node.as_str().chars().take(max_name).collect();
    let holder = format!(
        "{name}.{}",
        &incarnation[incarnation.len() - SUFFIX_LENGTH..]
    );
    holder.parse().unwrap_or_else(|_| node.clone())
}
