//! What the clones of a wallet share: balances, and grants asked for on the log.

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

/// Characters of a life's mark in the name that a wallet's grants are written under.
const MARK: usize = 8;

#[derive(Debug)]
pub(super) struct Shared {
    /// The node's name and a mark of this life: a node that comes back under its old name must not
    /// take the grants of its earlier life, part of which is spent, for its own.
    pub(super) holder: id::Node,
    pub(super) config: Config,
    pub(super) appender: Appender,
    pub(super) follower: Follower<View>,
    pub(super) start: Instant,
    pub(super) balances: Mutex<Vec<Balance>>,
    /// Held by the call that borrows: others wait and find what it got.
    pub(super) borrowing: tokio::sync::Mutex<()>,
    pub(super) tasks: TaskTracker,
}

/// One customer's grants in one period. Sorted by customer and period.
#[derive(Debug)]
pub(super) struct Balance {
    pub(super) customer: id::Customer,
    pub(super) period: u64,
    pub(super) grants: budget::Grants,
    /// Given back here and not yet read on the log.
    pub(super) returning: Money,
    /// Of what the log granted to this node, lent to peers for good.
    pub(super) lent: Money,
    /// Of what the log granted to peers, lent to this node for good.
    pub(super) borrowed: Money,
}

impl Shared {
    pub(super) fn balances(&self) -> MutexGuard<'_, Vec<Balance>> {
        self.balances.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Moment {
        Moment::ZERO + self.start.elapsed()
    }

    /// A customer's balance, with all that the log has granted by now.
    pub(super) fn balance<'a>(
        &self,
        balances: &'a mut Vec<Balance>,
        customer: &id::Customer,
        period: u64,
    ) -> &'a mut Balance {
        let place = balances.binary_search_by(|p| (&p.customer, p.period).cmp(&(customer, period)));
        let place = place.unwrap_or_else(|place| {
            balances.insert(place, Balance::new(customer, period, self.config.budget));
            place
        });
        let balance = &mut balances[place];
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

    /// The grant to ask for now, if any.
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

    /// Writes a grant and waits until it was read. Returns whether it was.
    pub(super) async fn obtain(&self, grant: Grant, deadline: Instant) -> bool {
        let customer = grant.customer.clone();
        let period = grant.period;
        let record = grant.id;
        let allowance = GrantRecord::Grant(grant);
        let write = self.write(&allowance, deadline);
        let look = |view: &View| {
            view.fold()
                .has_read(&customer, period, record)
                .then_some(())
        };
        tokio::pin!(write);
        let read = tokio::select! {
            // A grant may be read before its append is answered, or though the answer was lost.
            read = self.follower.wait(deadline, look) => read,
            written = &mut write => self.pass(written, deadline, look).await,
        };
        let mut balances = self.balances();
        let balance = self.balance(&mut balances, &customer, period);
        // Also where the answer is not known: a grant that is accepted later is found by reading.
        balance.grants.request_done();
        read.is_some()
    }

    /// Waits until the record at `written` was read, or found by `look`.
    async fn pass(
        &self,
        written: Option<Offset>,
        deadline: Instant,
        look: impl Fn(&View) -> Option<()>,
    ) -> Option<()> {
        let passed = |view: &View| written.is_some_and(|offset| view.passed(offset));
        self.follower
            .wait(deadline, |view| look(view).or(passed(view).then_some(())))
            .await
    }

    pub(super) async fn write(&self, allowance: &GrantRecord, deadline: Instant) -> Option<Offset> {
        let record = serde_json::to_string(allowance).ok()?;
        let appended = self.appender.append(Stream::Grants, record, deadline).await;
        appended
            .inspect_err(|error| log::warn!("grants: record not written: {error}"))
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
            lent: Money::ZERO,
            borrowed: Money::ZERO,
        }
    }

    /// Takes what the log has granted to this holder in all, less what it returned there.
    pub(super) fn update(&mut self, granted: Money) {
        let total = granted + self.borrowed;
        let known = self.grants.granted() + self.returning + self.lent;
        match total.checked_sub(known) {
            Some(Money::ZERO) => {}
            Some(more) => self.grants.add(more),
            // A return was read.
            None => {
                let kept = self.grants.granted() + self.lent;
                self.returning = total.saturating_sub(kept);
            }
        }
    }
}

pub(super) fn holder(node: &id::Node) -> id::Node {
    // The last bytes of a version 7 UUID are random.
    let life = Uuid::now_v7().simple().to_string();
    let longest = id::MAX_NAME - MARK - 1;
    let name: String = node.as_str().chars().take(longest).collect();
    let marked = format!("{name}.{}", &life[life.len() - MARK..]);
    marked.parse().unwrap_or_else(|_| node.clone())
}
