//! Judges a trial by comparing what callers saw with the bills and the endpoints' counters.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use pimento_units::Money;
use pimento_units::id;
use serde::Deserialize;

use crate::engine;
use crate::load::compare;
use crate::load::compare::sum;
use crate::load::histogram::Latency;
use crate::load::promise::Promise;
use crate::load::result::KeyedCalls;
use crate::load::result::Report;
use crate::load::result::Row;
use crate::load::withdrawal::Withdrawal;
use crate::service;
use crate::tally::Count;

/// How long after a withdrawal was accepted calls may still start on the version, in milliseconds.
/// The requirement says "within seconds".
pub const WITHDRAWAL_GRACE_MS: u64 = 3_000;

/// One customer's totals, as printed by `pimentoctl bills --output json`.
#[derive(Debug, Clone, Deserialize)]
pub struct Bills {
    /// The customer.
    pub customer: id::Customer,
    /// Number of requests billed.
    pub bills: u64,
    /// The amount charged.
    pub charge: Money,
    /// The cost of serving the requests.
    pub cost: Money,
}

/// The results of a trial: what callers saw, the bills and the counters of the stand-ins.
#[derive(Debug, Clone)]
pub struct Trial {
    /// What callers saw.
    pub report: Report,
    /// The bills.
    pub bills: Vec<Bills>,
    /// Counters of each engine.
    pub engines: Vec<engine::Stats>,
    /// Counters of each replica of the plain service.
    pub services: Vec<service::Stats>,
    /// Versions withdrawn.
    pub withdrawn: Vec<Withdrawal>,
    /// Whether the load exceeded the endpoints' capacity. Refusals are then expected, and quiet
    /// customers are checked separately.
    pub overload: bool,
    /// Calls affected by the fault tables of endpoints.
    pub endpoint_faults: u64,
    /// Calls affected by the fault tables of the platform. Such faults explain refusals, but none
    /// with `run: unknown`: a call that is not sent because of the platform has not run.
    pub platform_faults: u64,
    /// Customers whose calls must be served even in an overload.
    pub quiet_customers: Vec<id::Customer>,
}

impl Trial {
    /// Every promise with its result.
    #[must_use]
    pub fn promises(&self) -> Vec<Promise> {
        let mut promises = vec![
            self.valid_answers(),
            self.answered_calls(),
            self.stable_sessions(),
            self.billed_once(),
            self.orders_run_once(),
            self.true_not_run(),
            self.attempts_run_once(),
        ];
        if !self.withdrawn.is_empty() {
            promises.push(self.withdrawals_respected());
        }
        if self.overload {
            promises.push(self.quiet_served());
        }
        if self.refusals_expected() {
            promises.push(self.few_unknown());
        }
        promises
    }

    /// The table of all customers.
    #[must_use]
    pub fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(ASCII_MARKDOWN);
        table.set_header([
            "customer",
            "sent",
            "served",
            "refused",
            "right model",
            "billed once",
            "doubled orders",
            "charge",
            "cost",
            "first p50/p95/p99 ms",
            "last p50/p95/p99 ms",
        ]);
        for customer in self.customers() {
            table.add_row(self.table_row(&customer));
        }
        table
    }

    /// Totals over all customers, one per line.
    #[must_use]
    pub fn figures(&self) -> Vec<String> {
        let rows = || self.report.rows.iter();
        let mut first = Latency::default();
        let mut gaps = Latency::default();
        for row in rows().filter(|row| !row.gaps.0.is_empty()) {
            first.merge(&row.first);
            gaps.merge(&row.gaps);
        }
        let retried = total(rows(), |row| row.retried);
        let served = total(rows(), |row| row.retried_served);
        vec![
            format!(
                "first token of streams, ms: {}",
                compare::quantiles(&first.bins())
            ),
            format!(
                "between tokens of streams, ms: {}",
                compare::quantiles(&gaps.bins())
            ),
            format!("retried after retry-after: {retried}, then served: {served}"),
            format!(
                "calls affected by faults of endpoints: {}",
                self.endpoint_faults
            ),
            format!(
                "calls affected by faults of the platform: {}",
                self.platform_faults
            ),
        ]
    }

    fn table_row(&self, customer: &id::Customer) -> Vec<String> {
        let rows = || self.rows(customer);
        let served = total(rows(), |row| row.served);
        let versions = total(rows(), |row| sum(&row.versions));
        let wrong = total(rows(), |row| count(&row.broken, "version"));
        // A call served on its retry is a separate request.
        let requests = total(rows(), |row| row.requests + row.retried_served);
        let bills = self.bills.iter().find(|bills| bills.customer == *customer);
        let billed = bills.map_or(0, |bills| bills.bills);
        let doubled = self.doubled_keys().filter(|key| key.customer == *customer);
        let mut first = Latency::default();
        let mut last = Latency::default();
        for row in rows() {
            first.merge(&row.first);
            last.merge(&row.last);
        }
        vec![
            customer.to_string(),
            total(rows(), |row| row.sent).to_string(),
            served.to_string(),
            total(rows(), |row| sum(&row.refused)).to_string(),
            format!("{versions}/{}", versions + wrong),
            format!("{billed}/{requests}"),
            doubled.count().to_string(),
            bills.map_or(Money::ZERO, |bills| bills.charge).to_string(),
            bills.map_or(Money::ZERO, |bills| bills.cost).to_string(),
            compare::quantiles(&first.bins()),
            compare::quantiles(&last.bins()),
        ]
    }

    fn customers(&self) -> Vec<id::Customer> {
        let mut customers: Vec<_> = self
            .report
            .rows
            .iter()
            .map(|r| r.customer.clone())
            .collect();
        customers.dedup();
        customers
    }

    fn rows<'a>(&'a self, customer: &'a id::Customer) -> impl Iterator<Item = &'a Row> {
        let rows = self.report.rows.iter();
        rows.filter(move |row| row.customer == *customer)
    }

    /// How often the replicas ran a request id in total.
    fn runs(&self, key: &str) -> u64 {
        let runs = |stats: &service::Stats| {
            let index = stats.keys.binary_search_by(|c| c.key.as_str().cmp(key));
            index.map_or(0, |index| stats.keys[index].count)
        };
        self.services.iter().map(runs).sum()
    }

    fn doubled_keys(&self) -> impl Iterator<Item = &KeyedCalls> {
        let keyed = self.report.keyed.iter();
        keyed.filter(|keyed| self.runs(&keyed.key) > 1)
    }

    fn valid_answers(&self) -> Promise {
        let rows = self.report.rows.iter();
        let broken = rows.flat_map(|row| {
            let name = format!("{} {}", row.customer, row.target);
            row.broken
                .iter()
                .map(move |c| format!("{name}: {} x {}", c.count, c.key))
        });
        Promise {
            name: "each answer is complete, belongs to its call and comes from an allowed version",
            cases: total(self.report.rows.iter(), |row| row.served),
            violations: broken.collect(),
        }
    }

    /// Without overload and faults, only the second call with a request id may be refused.
    fn answered_calls(&self) -> Promise {
        let rows = self.report.rows.iter();
        let violations = rows.flat_map(|row| {
            let name = format!("{} {}", row.customer, row.target);
            let refused = row
                .refused
                .iter()
                .filter(|count| !self.is_expected(&count.key));
            let counts = refused.chain(&row.failed);
            counts.map(move |c| format!("{name}: {} x {}", c.count, c.key))
        });
        Promise {
            name: "each call gets an answer or an expected refusal",
            cases: total(self.report.rows.iter(), |row| row.sent),
            violations: violations.collect(),
        }
    }

    /// Whether refusals for load are expected.
    const fn refusals_expected(&self) -> bool {
        self.overload || self.endpoint_faults > 0 || self.platform_faults > 0
    }

    fn is_expected(&self, refusal: &str) -> bool {
        let repeated = refusal.starts_with("409 ") && !refusal.ends_with(" not_run");
        let for_load = refusal.starts_with("429 ") || refusal.starts_with("503 ");
        // The number of refusals with `unknown` is limited by a separate promise.
        let unknown = refusal.ends_with(" unknown");
        repeated
            || (self.refusals_expected()
                && (unknown || (for_load && refusal.ends_with(" not_run"))))
    }

    fn stable_sessions(&self) -> Promise {
        let withdrawn =
            |version: &id::Version| self.withdrawn.iter().any(|w| w.version == *version);
        let moves = self.report.moves.iter().filter(|m| !withdrawn(&m.from));
        let violations = moves.map(|m| {
            format!(
                "{} session {}: from {} to {}",
                m.customer, m.session, m.from, m.to
            )
        });
        Promise {
            name: "a session keeps its version unless that is withdrawn",
            cases: total(self.report.rows.iter(), |row| sum(&row.versions)),
            violations: violations.collect(),
        }
    }

    fn billed_once(&self) -> Promise {
        let mut violations = Vec::new();
        for customer in self.customers() {
            let value = |row: &Row| row.requests + row.retried_served;
            let expected = total(self.rows(&customer), value);
            let bills = self.bills.iter().find(|bills| bills.customer == customer);
            let billed = bills.map_or(0, |bills| bills.bills);
            if billed != expected {
                violations.push(format!(
                    "{customer}: {expected} requests served, {billed} billed"
                ));
            }
        }
        Promise {
            name: "each served request is billed once",
            cases: total(self.report.rows.iter(), |row| row.requests),
            violations,
        }
    }

    fn orders_run_once(&self) -> Promise {
        let violations = self.report.keyed.iter().filter_map(|keyed| {
            let runs = self.runs(&keyed.key);
            let lost = keyed.served > 0 && runs == 0;
            (runs > 1 || lost).then(|| {
                let KeyedCalls {
                    key,
                    customer,
                    served,
                    ..
                } = keyed;
                format!("{customer} {key}: answered {served} times, ran {runs} times")
            })
        });
        Promise {
            name: "each order runs at most once, and once if it was answered",
            cases: self.report.keyed.len() as u64,
            violations: violations.collect(),
        }
    }

    /// A request id whose calls were all answered `not_run`, or a prompt refused with it, must not
    /// have run.
    fn true_not_run(&self) -> Promise {
        let refused = || {
            let keyed = self.report.keyed.iter();
            keyed.filter(|keyed| keyed.not_run > 0 && keyed.not_run == keyed.calls)
        };
        let orders = refused().filter(|keyed| self.runs(&keyed.key) > 0);
        let orders = orders.map(|keyed| format!("{} {}", keyed.customer, keyed.key));
        let prompts = self.report.not_run.iter();
        let prompts = prompts.filter(|prompt| self.engine_started(prompt));
        let prompts = prompts.map(|prompt| format!("an engine started the prompt {prompt}"));
        let cases = refused().count() + self.report.not_run.len();
        Promise {
            name: "a call refused with `not_run` did not run",
            // A trial without refusals has no case; the promise is kept then.
            cases: (cases as u64).max(1),
            violations: orders.chain(prompts).collect(),
        }
    }

    /// Whether any engine started to answer a prompt.
    fn engine_started(&self, prompt: &str) -> bool {
        let started = |stats: &engine::Stats| {
            stats
                .prompts
                .binary_search_by(|count| count.key.as_str().cmp(prompt))
                .is_ok()
        };
        self.engines.iter().any(started)
    }

    fn attempts_run_once(&self) -> Promise {
        let attempts = || self.engines.iter().flat_map(|stats| &stats.attempts);
        let repeated = attempts().filter(|attempt| attempt.count > 1);
        let violations =
            repeated.map(|attempt| format!("{} ran {} times", attempt.key, attempt.count));
        Promise {
            name: "each attempt runs at most once",
            cases: attempts().count() as u64,
            violations: violations.collect(),
        }
    }

    fn withdrawals_respected(&self) -> Promise {
        let mut violations = Vec::new();
        let mut cases = 0;
        for Withdrawal { version, at } in &self.withdrawn {
            let works = self.engines.iter().flat_map(|stats| &stats.versions);
            for work in works.filter(|work| work.version == *version) {
                cases += 1;
                let late = work.last.millis().saturating_sub(at.millis());
                if late > WITHDRAWAL_GRACE_MS {
                    violations.push(format!(
                        "{version} started a call {late} ms after its withdrawal"
                    ));
                }
            }
        }
        Promise {
            name: "no calls start on a withdrawn version after a few seconds",
            cases,
            violations,
        }
    }
}

/// Sums a value over rows.
pub(super) fn total<'a>(rows: impl Iterator<Item = &'a Row>, value: impl Fn(&Row) -> u64) -> u64 {
    rows.map(value).sum()
}

fn count(counts: &[Count], key: &str) -> u64 {
    let found = counts.iter().find(|count| count.key == key);
    found.map_or(0, |count| count.count)
}
