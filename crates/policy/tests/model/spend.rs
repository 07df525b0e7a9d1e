//! Six nodes spend one customer's money out of grants; at a second one is cut off from the log and
//! one dies.

use pimento_policy::budget::Config;
use pimento_policy::budget::Grants;
use pimento_units::Moment;
use pimento_units::Money;

/// The fold of the grants stream, cut down to its rule.
struct Fold {
    limit: Money,
    granted: Money,
}

impl Fold {
    fn left(&self) -> Money {
        self.limit - self.granted
    }

    fn grant(&mut self, amount: Money) -> bool {
        let accepted = amount <= self.left();
        if accepted {
            self.granted += amount;
        }
        accepted
    }
}

pub const NODES: u32 = 6;

/// What one call can cost at most, and what it does cost.
const MOST: u64 = 900;
const COST: u64 = 500;

pub fn money(micros: u64) -> Money {
    Money::from_micros(micros)
}

/// Nodes 0 and 1 may stop reaching the log at a second; node 1 dies then.
pub struct Run {
    pub spent: Money,
    pub stranded: Money,
    pub served: u32,
    pub refused: u32,
}

pub fn spend(limit: u64, cut_at: u64, seconds: u64) -> Run {
    let mut fold = Fold {
        limit: money(limit),
        granted: Money::ZERO,
    };
    let mut nodes = vec![Grants::new(Config::default()); NODES as usize];
    let (mut served, mut refused) = (0, 0);
    for tick in 0..seconds * 10 {
        let now = Moment::from_millis(tick * 100);
        let cut = tick >= cut_at * 10;
        for (number, node) in nodes.iter_mut().enumerate() {
            if cut && number == 1 {
                continue;
            }
            if let Some(reservation) = node.reserve(money(MOST)) {
                node.settle(reservation, money(COST), now);
                served += 1;
            } else {
                refused += 1;
            }
            let reaches = !(cut && number == 0);
            if let Some(amount) = node.request(fold.left(), NODES, now).filter(|_| reaches) {
                if fold.grant(amount) {
                    node.add(amount);
                } else {
                    node.request_done();
                }
            }
            let total: Money = fold.granted;
            assert!(total <= fold.limit, "granted {total} of {limit}");
        }
    }
    let spent: Money = nodes.iter().map(Grants::spent).sum();
    let unspent: Money = nodes.iter().map(Grants::available).sum();
    Run {
        spent,
        stranded: unspent,
        served,
        refused,
    }
}
