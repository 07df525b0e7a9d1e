//! One bill for each request, and totals for each customer.

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

/// What one customer's bills come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Total {
    /// Who pays.
    pub customer: id::Customer,
    /// Bills that count.
    pub bills: u64,
    /// Bills of requests that had one already.
    pub repeated: u64,
    /// What the customer is charged.
    pub charge: Money,
    /// What the requests cost us.
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
        let place = self.totals.binary_search_by(|t| t.customer.cmp(customer));
        let place = place.unwrap_or_else(|place| {
            let total = Total {
                customer: customer.clone(),
                bills: 0,
                repeated: 0,
                charge: Money::ZERO,
                cost: Money::ZERO,
                input: Tokens::ZERO,
                output: Tokens::ZERO,
            };
            self.totals.insert(place, total);
            place
        });
        &mut self.totals[place]
    }
}

type Item = (id::Request, id::Customer);

/// Insertions between merges. Ids come in no order, and inserting each into one long sorted vector
/// would move half of it every time.
const MERGE: usize = 4_096;

/// A set as one long sorted vector and a short one that is merged into it now and then.
#[derive(Debug, Clone, Default)]
struct Set {
    long: Vec<Item>,
    short: Vec<Item>,
}

impl Set {
    fn contains(&self, item: &Item) -> bool {
        self.long.binary_search(item).is_ok() || self.short.binary_search(item).is_ok()
    }

    fn insert(&mut self, item: Item) -> bool {
        if self.long.binary_search(&item).is_ok() {
            return false;
        }
        let Err(place) = self.short.binary_search(&item) else {
            return false;
        };
        self.short.insert(place, item);
        if self.short.len() >= MERGE {
            self.long.append(&mut self.short);
            // Two sorted runs: the standard sort merges them in one pass.
            self.long.sort();
        }
        true
    }
}
