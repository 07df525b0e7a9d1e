//! Who may spend how much of a customer's limit.
//!
//! A grant is accepted only while the sum of accepted grants of its period, less what was returned,
//! stays within the limit. Nodes spend only out of accepted grants, so that the limit holds
//! whatever zones are cut off from each other, and no node needs to know what others spend.

use pimento_units::Money;
use pimento_units::Revision;
use pimento_units::id;

use crate::record::Grant;
use crate::record::GrantRecord;
use crate::record::Return;

/// Periods kept for each customer. Records of the last period may still come in after its end.
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
    shares: Vec<Share>,
    seen: Vec<id::Record>,
}

/// What one node holds of an account.
#[derive(Debug, Clone)]
struct Share {
    node: id::Node,
    granted: Money,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It counts.
    Accepted,
    /// It would go over; this much is left.
    Refused {
        /// What is left of the limit.
        left: Money,
    },
    /// The record was read before.
    Repeated,
    /// The period is over and forgotten.
    Late,
}

impl Fold {
    /// Applies the next record.
    pub fn apply(&mut self, allowance: &GrantRecord) -> Verdict {
        match allowance {
            GrantRecord::Grant(grant) => self.grant(grant),
            GrantRecord::Return(back) => self.give_back(back),
        }
    }

    /// What a node was granted in a period, less what it returned.
    #[must_use]
    pub fn granted(&self, customer: &id::Customer, period: u64, node: &id::Node) -> Money {
        let Some(account) = self.account(customer, period) else {
            return Money::ZERO;
        };
        let share = account.shares.binary_search_by(|s| s.node.cmp(node));
        share.map_or(Money::ZERO, |place| account.shares[place].granted)
    }

    /// What is left of the limit in a period; none if no grant of that period was read.
    #[must_use]
    pub fn remaining(&self, customer: &id::Customer, period: u64) -> Option<Money> {
        let account = self.account(customer, period)?;
        Some(account.remaining())
    }

    /// Whether a record was read, whatever became of it.
    #[must_use]
    pub fn has_read(&self, customer: &id::Customer, period: u64, record: id::Record) -> bool {
        self.account(customer, period)
            .is_some_and(|account| account.seen.binary_search(&record).is_ok())
    }

    /// Bytes that the accounts hold.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let inner: usize = self.accounts.iter().map(Account::bytes).sum();
        inner + self.accounts.capacity() * size_of::<Account>()
    }

    fn grant(&mut self, grant: &Grant) -> Verdict {
        let Some(account) = self.open(&grant.customer, grant.period) else {
            return Verdict::Late;
        };
        if !account.first(grant.id) {
            return Verdict::Repeated;
        }
        account.amend(grant.limit, grant.revision);
        let left = account.remaining();
        if grant.amount > left {
            return Verdict::Refused { left };
        }
        account.granted += grant.amount;
        account.share(&grant.node).granted += grant.amount;
        Verdict::Accepted
    }

    fn give_back(&mut self, back: &Return) -> Verdict {
        let Some(account) = self.open(&back.customer, back.period) else {
            return Verdict::Late;
        };
        if !account.first(back.id) {
            return Verdict::Repeated;
        }
        let share = account.share(&back.node);
        let Some(kept) = share.granted.checked_sub(back.amount) else {
            return Verdict::Refused {
                left: share.granted,
            };
        };
        share.granted = kept;
        account.granted = account.granted - back.amount;
        Verdict::Accepted
    }

    fn account(&self, customer: &id::Customer, period: u64) -> Option<&Account> {
        let place = self.place(customer, period).ok()?;
        self.accounts.get(place)
    }

    fn place(&self, customer: &id::Customer, period: u64) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| (&a.customer, a.period).cmp(&(customer, period)))
    }

    /// The account of a period, made if it is new; none if the period was forgotten already.
    fn open(&mut self, customer: &id::Customer, period: u64) -> Option<&mut Account> {
        let place = match self.place(customer, period) {
            Ok(place) => place,
            Err(place) => self.begin(customer, period, place)?,
        };
        self.accounts.get_mut(place)
    }

    fn begin(&mut self, customer: &id::Customer, period: u64, place: usize) -> Option<usize> {
        let first = self.accounts.partition_point(|a| &a.customer < customer);
        let last = self.accounts.partition_point(|a| &a.customer <= customer);
        let full = last - first >= PERIODS;
        // A record of a forgotten period would find an empty account there, and the whole limit
        // could be granted a second time.
        if full && place == first {
            return None;
        }
        self.accounts.insert(place, Account::new(customer, period));
        if !full {
            return Some(place);
        }
        self.accounts.remove(first);
        Some(place - 1)
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
            shares: Vec::new(),
            seen: Vec::new(),
        }
    }

    fn bytes(&self) -> usize {
        self.shares.capacity() * size_of::<Share>() + self.seen.capacity() * size_of::<id::Record>()
    }

    /// What may still be granted. Zero if the contract was narrowed below what is granted already.
    fn remaining(&self) -> Money {
        self.limit.saturating_sub(self.granted)
    }

    /// Takes the limit of the newest contract that a writer has seen. A writer behind the others
    /// can't bring an older limit back.
    fn amend(&mut self, limit: Money, revision: Revision) {
        if revision >= self.revision {
            self.limit = limit;
            self.revision = revision;
        }
    }

    fn first(&mut self, record: id::Record) -> bool {
        let Err(place) = self.seen.binary_search(&record) else {
            return false;
        };
        self.seen.insert(place, record);
        true
    }

    fn share(&mut self, node: &id::Node) -> &mut Share {
        let place = self.shares.binary_search_by(|s| s.node.cmp(node));
        let place = place.unwrap_or_else(|place| {
            let share = Share {
                node: node.clone(),
                granted: Money::ZERO,
            };
            self.shares.insert(place, share);
            place
        });
        &mut self.shares[place]
    }
}
