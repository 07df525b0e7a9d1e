//! What VMs of a group want and lend of their shares of what endpoints take.

use pimento_policy::choice;
use pimento_policy::loan::Lent;
use pimento_policy::loan::TERM;
use pimento_scheduler::Pool;
use pimento_scheduler::Scheduler;
use pimento_units::Moment;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::boot;

/// Calls per second that the sender wants of a pool's endpoints beyond its own shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Hash of the pool's name.
    pool: u64,
    /// A thousandth of a call per second.
    millis_per_second: u32,
}

/// The part of its shares of a pool's endpoints that the sender lends to the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Hash of the pool's name.
    pool: u64,
    /// In thousandths.
    permille: u16,
    /// When the receiver asked, by its own boot-time clock.
    asked: Moment,
}

fn pool_key(name: &id::Pool) -> u64 {
    choice::hash(name.as_str())
}

/// What this VM wants of all pools.
pub fn wants(scheduler: &Scheduler) -> Vec<Want> {
    let pools = scheduler.pools().into_iter();
    let wants = pools.map(|(name, pool)| Want {
        pool: pool_key(&name),
        millis_per_second: thousandths(pool.want()),
    });
    wants.filter(|want| want.millis_per_second > 0).collect()
}

/// Lends to a VM what it may have of this VM's shares.
pub fn lend(scheduler: &Scheduler, vm: u64) -> Vec<Loan> {
    let pools = scheduler.pools().into_iter();
    let loans = pools.filter_map(|(name, pool)| {
        let Lent { part, asked } = pool.lend(vm)?;
        Some(Loan {
            pool: pool_key(&name),
            permille: u16::try_from(thousandths(part)).ok()?,
            asked,
        })
    });
    loans.collect()
}

/// Records what the VM with this key wants and lends. `stamp` is when it sent that, by its own clock.
pub fn merge(scheduler: &Scheduler, vm: u64, stamp: Moment, wants: &[Want], loans: &[Loan]) {
    if wants.is_empty() && loans.is_empty() {
        return;
    }
    let pools = scheduler.pools();
    let find = |key: u64| {
        let found = pools.iter().find(|(name, _)| pool_key(name) == key);
        found.map(|(_, pool): &(id::Pool, Pool)| pool)
    };
    for want in wants {
        if let Some(pool) = find(want.pool) {
            pool.record_want(vm, f64::from(want.millis_per_second) / THOUSAND, stamp);
        }
    }
    let now = boot::now();
    for loan in loans {
        // A stamp from before this machine restarted may lie in the future.
        let term = (loan.asked + TERM).since(now);
        if let Some(pool) = find(loan.pool).filter(|_| loan.asked <= now && !term.is_zero()) {
            pool.borrow(vm, f64::from(loan.permille) / THOUSAND, term);
        }
    }
}

const THOUSAND: f64 = 1_000.0;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn thousandths(value: f64) -> u32 {
    (value * THOUSAND) as u32
}
