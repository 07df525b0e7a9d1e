//! Results as tables: one run, or two side by side.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;

use crate::load::histogram::Bins;
use crate::load::histogram::Latency;
use crate::load::result::Report;
use crate::load::result::Row;
use crate::tally::Count;

/// Quantiles shown in tables, with their names.
pub const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];

/// A table of one run.
#[must_use]
pub fn table(report: &Report) -> Table {
    let mut table = new_table();
    table.set_header([
        "customer",
        "target",
        "sent",
        "served",
        "refused",
        "failed",
        "broken",
        "first p50/p95/p99",
        "last p50/p95/p99",
    ]);
    for row in &report.rows {
        table.add_row([
            row.customer.to_string(),
            row.target.to_string(),
            row.sent.to_string(),
            row.served.to_string(),
            list(&row.refused),
            list(&row.failed),
            list(&row.broken),
            quantiles(&row.first),
            quantiles(&row.last),
        ]);
    }
    table
}

/// A table of two runs. Each cell shows the value in the first run and in the second.
#[must_use]
pub fn compare(before: &Report, after: &Report) -> Table {
    let mut table = new_table();
    table.set_header([
        "customer",
        "target",
        "sent",
        "served",
        "refused",
        "failed",
        "broken",
        "first p50",
        "first p95",
        "first p99",
        "last p95",
    ]);
    let mut names: Vec<_> = before.rows.iter().chain(&after.rows).map(name).collect();
    names.sort_unstable();
    names.dedup();
    for key in names {
        let one = before.rows.iter().find(|row| name(row) == key);
        let two = after.rows.iter().find(|row| name(row) == key);
        table.add_row([
            key.0.to_owned(),
            key.1.to_owned(),
            pair(one, two, |row| row.sent.to_string()),
            pair(one, two, |row| row.served.to_string()),
            pair(one, two, |row| sum(&row.refused).to_string()),
            pair(one, two, |row| sum(&row.failed).to_string()),
            pair(one, two, |row| sum(&row.broken).to_string()),
            pair(one, two, |row| quantile(&row.first, 0.5)),
            pair(one, two, |row| quantile(&row.first, 0.95)),
            pair(one, two, |row| quantile(&row.first, 0.99)),
            pair(one, two, |row| quantile(&row.last, 0.95)),
        ]);
    }
    table
}

fn new_table() -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table
}

fn name(row: &Row) -> (&str, &str) {
    (row.customer.as_str(), row.target.as_str())
}

fn pair(one: Option<&Row>, two: Option<&Row>, show: impl Fn(&Row) -> String) -> String {
    let show = |row: Option<&Row>| row.map_or_else(|| "-".to_owned(), &show);
    format!("{} -> {}", show(one), show(two))
}

/// The sum of counts.
#[must_use]
pub fn sum(counts: &[Count]) -> u64 {
    counts.iter().map(|count| count.count).sum()
}

fn list(counts: &[Count]) -> String {
    if counts.is_empty() {
        return "0".to_owned();
    }
    let counts = counts.iter().map(|c| format!("{} x {}", c.count, c.key));
    counts.collect::<Vec<_>>().join(", ")
}

/// The quantiles of a histogram in milliseconds, as `1.2/3.4/5.6`.
#[must_use]
pub fn quantiles(bins: &Bins) -> String {
    let shown = QUANTILES.map(|(_, share)| quantile(bins, share));
    shown.join("/")
}

fn quantile(bins: &Bins, share: f64) -> String {
    let quantile = Latency::from(bins).quantile(share);
    quantile.map_or_else(|| "-".to_owned(), |millis| format!("{millis:.1}"))
}
