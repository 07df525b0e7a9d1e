//! Deduplication of bills, and totals for each customer.

use pimento_units::Money;
use pimento_units::Tokens;
use pimento_units::id;

use crate::record::Bill;

/// The fold of the usage stream: the first bill of a customer's request counts.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    billed: Set,
    totals: Vec<Total>,
}

/// Totals of one customer's bills.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Total {
    /// The customer who pays.
    pub customer: id::Customer,
    /// Number of bills that count.
    pub bills: u64,
    /// Number of bills for requests that had been billed before.
    pub repeated: u64,
    /// The amount charged to the customer.
    pub charge: Money,
    /// The operator's cost of the requests.
    pub cost: Money,
    /// Prompt tokens.
    pub input: Tokens,
    /// Generated tokens.
    pub output: Tokens,
}

impl Fold {
    /// Applies the next record. Returns whether the bill counts.
    pub fn apply(&mut self, bill: &Bill) -> bool {
        let counts = self.billed.insert((bill.request, bill.customer.clone()));
        let total = self.total(&bill.customer);
        if !counts {
            total.repeated += 1;
            return false;
        }
        total.bills += 1;
        total.charge += bill.charge;
        total.cost += bill.cost;
        total.input += bill.input;
        total.output += bill.output;
        true
    }

    /// Totals, sorted by customer.
    #[must_use]
    pub fn totals(&self) -> &[Total] {
        &self.totals
    }

    /// Whether a bill of this customer's request was read.
    #[must_use]
    pub fn billed(&self, request: id::Request, customer: &id::Customer) -> bool {
        self.billed.contains(&(request, customer.clone()))
    }

    fn total(&mut self, customer: &id::Customer) -> &mut Total {
        let position = self.totals.binary_search_by(|t| t.customer.cmp(customer));
        let position = position.unwrap_or_else(|position| {
            let total = Total {
                customer: customer.clone(),
                bills: 0,
                repeated: 0,
                charge: Money::ZERO,
                cost: Money::ZERO,
                input: Tokens::ZERO,
                output: Tokens::ZERO,
            };
            self.totals.insert(position, total);
            position
        });
        &mut self.totals[position]
    }
}

type Key = (id::Request, id::Customer);

/// Size of `recent` at which it is merged. Ids arrive in no particular order; inserting each directly
/// into the large vector would move half of it every time.
const MERGE_AT: usize = 4_096;

/// A set of two sorted vectors: a large one, and a small one of recent keys that is merged into it
/// periodically.
#[derive(Debug, Clone, Default)]
struct Set {
    merged: Vec<Key>,
    recent: Vec<Key>,
}

impl Set {
    fn contains(&self, key: &Key) -> bool {
        self.merged.binary_search(key).is_ok() || self.recent.binary_search(key).is_ok()
    }

    fn insert(&mut self, key: Key) -> bool {
        if self.merged.binary_search(&key).is_ok() {
            return false;
        }
        let Err(position) = self.recent.binary_search(&key) else {
            return false;
        };
        self.recent.insert(position, key);
        if self.recent.len() >= MERGE_AT {
            self.merged.append(&mut self.recent);
            // The standard sort merges two sorted runs in one pass.
            self.merged.sort();
        }
        true
    }
}
