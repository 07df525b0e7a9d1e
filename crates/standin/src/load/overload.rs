//! Promises that hold when more is offered than the endpoints can carry, or when they are faulty.

use crate::load::judge::Evidence;
use crate::load::judge::total;
use crate::load::promise::Promise;
use crate::load::result::Row;

/// In an overload at most one call in this many may be refused without knowing whether it ran.
const DOUBT: u64 = 100;

impl Evidence {
    /// A call that had an attempt before no slot could be had, or whose one attempt met a fault, is
    /// refused as `unknown`, which is true but leaves its caller in doubt. Admission has to keep the
    /// former few, and there can't be more of the latter than faults struck.
    pub(super) fn doubt(&self) -> Promise {
        let rows = || self.report.rows.iter();
        let sent = total(rows(), |row| row.sent);
        let refused = |row: &Row| {
            let full = row
                .refused
                .iter()
                .filter(|count| !count.key.starts_with("409 "));
            let unknown = full.filter(|count| count.key.ends_with(" unknown"));
            unknown.map(|count| count.count).sum()
        };
        let unknown = total(rows(), refused);
        let crowded = if self.overload { sent / DOUBT } else { 0 };
        let many = unknown > crowded + self.struck;
        Promise {
            name: "few calls are refused in doubt",
            cases: sent,
            against: many
                .then(|| format!("{unknown} of {sent} calls"))
                .into_iter()
                .collect(),
        }
    }

    /// Who asks for little is served whatever others ask for.
    pub(super) fn quiet(&self) -> Promise {
        let rows = || {
            let rows = self.report.rows.iter();
            rows.filter(|row| self.quiet.contains(&row.customer))
        };
        let short = rows().filter(|row| row.served < row.sent);
        let against = short.map(|row| {
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
            name: "quiet customers' calls are served through the overload",
            cases: total(rows(), |row| row.sent),
            against: against.collect(),
        }
    }
}
