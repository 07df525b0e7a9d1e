//! Simulates six nodes that spend one customer's money out of grants. At a given second, one is cut
//! off from the log and another crashes.

use pimento_policy::budget::Config;
use pimento_policy::budget::Grants;
use pimento_units::Moment;
use pimento_units::Money;

/// The fold of the grants stream, reduced to its rule.
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

/// Maximum and actual cost of one call.
const MAX_COST: u64 = 900;
const COST: u64 = 500;

pub fn money(micros: u64) -> Money {
    Money::from_micros(micros)
}

/// Result of a run in which node 0 is cut off from the log and node 1 crashes at a given second.
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
            if let Some(reservation) = node.reserve(money(MAX_COST)) {
                node.settle(reservation, money(COST), now);
                served += 1;
            } else {
                refused += 1;
            }
            let connected = !(cut && number == 0);
            if let Some(amount) = node.request(fold.left(), NODES, now).filter(|_| connected) {
                if fold.grant(amount) {
                    node.add(amount);
                } else {
                    node.clear_request();
                }
            }
            let total: Money = fold.granted;
            assert!(total <= fold.limit, "granted {total} of {limit}");
        }
    }
    let spent: Money = nodes.iter().map(Grants::spent).sum();
    let stranded: Money = nodes.iter().map(Grants::available).sum();
    Run {
        spent,
        stranded,
        served,
        refused,
    }
}
