//! Promises checked in trials with overload or faults.

use crate::load::judge::Trial;
use crate::load::judge::total;
use crate::load::promise::Promise;
use crate::load::result::Row;

/// In an overload, at most one call in this many may be refused with `run: unknown`.
const CALLS_PER_UNKNOWN: u64 = 100;

impl Trial {
    /// Few refusals have `run: unknown`, which does not tell the caller whether the call ran. Such
    /// a refusal is correct if the only attempt hit a fault, or if a later attempt found no free
    /// slot. The first case can't occur more often than faults do. Admission has to keep the second
    /// one rare.
    pub(super) fn few_unknown(&self) -> Promise {
        let rows = || self.report.rows.iter();
        let sent = total(rows(), |row| row.sent);
        let refused = |row: &Row| {
            let for_load = row
                .refused
                .iter()
                .filter(|count| !count.key.starts_with("409 "));
            let unknown = for_load.filter(|count| count.key.ends_with(" unknown"));
            unknown.map(|count| count.count).sum()
        };
        let unknown = total(rows(), refused);
        let allowed = if self.overload {
            sent / CALLS_PER_UNKNOWN
        } else {
            0
        };
        let exceeded = unknown > allowed + self.endpoint_faults;
        Promise {
            name: "few refusals say `unknown`",
            cases: sent,
            violations: exceeded
                .then(|| format!("{unknown} of {sent} calls"))
                .into_iter()
                .collect(),
        }
    }

    /// Customers with little load are served regardless of the load of others.
    pub(super) fn quiet_served(&self) -> Promise {
        let rows = || {
            let rows = self.report.rows.iter();
            rows.filter(|row| self.quiet_customers.contains(&row.customer))
        };
        let unserved = rows().filter(|row| row.served < row.sent);
        let violations = unserved.map(|row| {
            let Row {
                customer,
                target,
                sent,
                served,
                ..
            } = row;
            format!("{customer} {target}: {served} of {sent} served")
        });
        Promise {
            name: "calls of quiet customers are served during the overload",
            cases: total(rows(), |row| row.sent),
            violations: violations.collect(),
        }
    }
}
