//! Distribution of a customer's spend limit among nodes.
//!
//! A grant is accepted only while the sum of the accepted grants of its period, less returns, stays
//! within the limit. Nodes spend only from accepted grants. The limit therefore holds during any
//! network partition, and no node needs to know what others spend.

use pimento_units::Money;
use pimento_units::Revision;
use pimento_units::id;

use crate::record::Grant;
use crate::record::GrantRecord;
use crate::record::Return;

/// Periods retained for each customer. Records of a period may still arrive after its end.
const PERIODS: usize = 2;

/// The fold of the grants stream. Sorted by customer and period.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    accounts: Vec<Account>,
}

/// A customer's limit in one period.
#[derive(Debug, Clone)]
pub struct Account {
    customer: id::Customer,
    period: u64,
    limit: Money,
    revision: Revision,
    granted: Money,
    by_node: Vec<NodeGrants>,
    records: Vec<id::Record>,
}

/// One node's part of an account.
#[derive(Debug, Clone)]
struct NodeGrants {
    node: id::Node,
    granted: Money,
}

/// How a record was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The record is in effect.
    Accepted,
    /// The amount exceeds what is available.
    Refused {
        /// For a grant, what remains of the limit; for a return, what the node holds.
        left: Money,
    },
    /// A record with this id was applied before.
    Repeated,
    /// The period is older than those retained.
    Late,
}

impl Fold {
    /// Applies the next record.
    pub fn apply(&mut self, record: &GrantRecord) -> Verdict {
        match record {
            GrantRecord::Grant(grant) => self.grant(grant),
            GrantRecord::Return(returned) => self.apply_return(returned),
        }
    }

    /// The sum granted to a node in a period, less what it returned.
    #[must_use]
    pub fn granted(&self, customer: &id::Customer, period: u64, node: &id::Node) -> Money {
        let Some(account) = self.account(customer, period) else {
            return Money::ZERO;
        };
        let position = account.by_node.binary_search_by(|s| s.node.cmp(node));
        position.map_or(Money::ZERO, |position| account.by_node[position].granted)
    }

    /// What remains of the limit in a period; `None` if no record of that period was read.
    #[must_use]
    pub fn remaining(&self, customer: &id::Customer, period: u64) -> Option<Money> {
        let account = self.account(customer, period)?;
        Some(account.remaining())
    }

    /// Whether a record was read, accepted or not.
    #[must_use]
    pub fn has_read(&self, customer: &id::Customer, period: u64, record: id::Record) -> bool {
        self.account(customer, period)
            .is_some_and(|account| account.records.binary_search(&record).is_ok())
    }

    /// Bytes allocated for the accounts.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let inner: usize = self.accounts.iter().map(Account::bytes).sum();
        inner + self.accounts.capacity() * size_of::<Account>()
    }

    fn grant(&mut self, grant: &Grant) -> Verdict {
        let Some(account) = self.account_mut(&grant.customer, grant.period) else {
            return Verdict::Late;
        };
        if !account.insert_record(grant.id) {
            return Verdict::Repeated;
        }
        account.update_limit(grant.limit, grant.revision);
        let left = account.remaining();
        if grant.amount > left {
            return Verdict::Refused { left };
        }
        account.granted += grant.amount;
        account.node_grants(&grant.node).granted += grant.amount;
        Verdict::Accepted
    }

    fn apply_return(&mut self, returned: &Return) -> Verdict {
        let Some(account) = self.account_mut(&returned.customer, returned.period) else {
            return Verdict::Late;
        };
        if !account.insert_record(returned.id) {
            return Verdict::Repeated;
        }
        let grants = account.node_grants(&returned.node);
        let Some(remaining) = grants.granted.checked_sub(returned.amount) else {
            return Verdict::Refused {
                left: grants.granted,
            };
        };
        grants.granted = remaining;
        account.granted = account.granted - returned.amount;
        Verdict::Accepted
    }

    fn account(&self, customer: &id::Customer, period: u64) -> Option<&Account> {
        let position = self.position(customer, period).ok()?;
        self.accounts.get(position)
    }

    fn position(&self, customer: &id::Customer, period: u64) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| (&a.customer, a.period).cmp(&(customer, period)))
    }

    /// The account of a period, created if needed; `None` if the period is older than those retained.
    fn account_mut(&mut self, customer: &id::Customer, period: u64) -> Option<&mut Account> {
        let position = match self.position(customer, period) {
            Ok(position) => position,
            Err(position) => self.insert_account(customer, period, position)?,
        };
        self.accounts.get_mut(position)
    }

    fn insert_account(
        &mut self,
        customer: &id::Customer,
        period: u64,
        position: usize,
    ) -> Option<usize> {
        let first = self.accounts.partition_point(|a| &a.customer < customer);
        let last = self.accounts.partition_point(|a| &a.customer <= customer);
        let full = last - first >= PERIODS;
        // With a new, empty account for a removed period, the whole limit could be granted a second
        // time.
        if full && position == first {
            return None;
        }
        self.accounts
            .insert(position, Account::new(customer, period));
        if !full {
            return Some(position);
        }
        self.accounts.remove(first);
        Some(position - 1)
    }
}

impl Account {
    fn new(customer: &id::Customer, period: u64) -> Self {
        Self {
            customer: customer.clone(),
            period,
            limit: Money::ZERO,
            revision: Revision(0),
            granted: Money::ZERO,
            by_node: Vec::new(),
            records: Vec::new(),
        }
    }

    fn bytes(&self) -> usize {
        self.by_node.capacity() * size_of::<NodeGrants>()
            + self.records.capacity() * size_of::<id::Record>()
    }

    /// What may still be granted. Zero if the limit was lowered below the sum already granted.
    fn remaining(&self) -> Money {
        self.limit.saturating_sub(self.granted)
    }

    /// Adopts the limit of the newest contract that a writer has read. A writer with an older
    /// contract can't restore an older limit.
    fn update_limit(&mut self, limit: Money, revision: Revision) {
        if revision >= self.revision {
            self.limit = limit;
            self.revision = revision;
        }
    }

    fn insert_record(&mut self, record: id::Record) -> bool {
        let Err(position) = self.records.binary_search(&record) else {
            return false;
        };
        self.records.insert(position, record);
        true
    }

    fn node_grants(&mut self, node: &id::Node) -> &mut NodeGrants {
        let position = self.by_node.binary_search_by(|s| s.node.cmp(node));
        let position = position.unwrap_or_else(|position| {
            let grants = NodeGrants {
                node: node.clone(),
                granted: Money::ZERO,
            };
            self.by_node.insert(position, grants);
            position
        });
        &mut self.by_node[position]
    }
}
