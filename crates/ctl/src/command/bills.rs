//! `bills`: totals of each customer from the usage stream, which count each request once.

use pimento_ledger::Bill;
use pimento_ledger::Stream;
use pimento_ledger::usage::Fold;
use pimento_ledger::usage::Total;
use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::Tokens;
use pimento_units::id;
use serde::Serialize;

use crate::command::Context;
use crate::exit::Error;
use crate::output::Output;
use crate::progress::Progress;
use crate::stream;

/// Totals of one customer. In JSON, money is in millionths of the currency unit.
#[derive(Debug, Serialize)]
struct Line<'a> {
    customer: &'a id::Customer,
    bills: u64,
    repeated: u64,
    charge: Money,
    cost: Money,
    input: Tokens,
    output: Tokens,
}

impl<'a> From<&'a Total> for Line<'a> {
    fn from(total: &'a Total) -> Self {
        Self {
            customer: &total.customer,
            bills: total.bills,
            repeated: total.repeated,
            charge: total.charge,
            cost: total.cost,
            input: total.input,
            output: total.output,
        }
    }
}

impl Line<'_> {
    fn row(&self) -> Vec<String> {
        vec![
            self.customer.to_string(),
            self.bills.to_string(),
            self.repeated.to_string(),
            self.charge.to_string(),
            self.cost.to_string(),
            self.input.to_string(),
            self.output.to_string(),
        ]
    }
}

/// Totals the bills that the log still retains, of all customers or of one.
///
/// # Errors
///
/// [`Error::Log`] if the log can't be read before the deadline.
pub async fn bills(context: &Context, customer: Option<&str>) -> Result<Output, Error> {
    let progress = Progress::new("reading bills");
    let mut fold = Fold::default();
    let mut read = 0_u64;
    let mut unreadable = 0_u64;
    let on_record = |record: pimento_wire::platform::Entry| {
        read += 1;
        if read.is_multiple_of(PROGRESS_STEP) {
            progress.set_message(format!("reading bills, {read} so far"));
        }
        match serde_json::from_str::<Bill>(&record.record) {
            Ok(bill) => {
                fold.apply(&bill);
            }
            Err(_) => unreadable += 1,
        }
    };
    let from = Offset(0);
    let extent = stream::read(
        &context.log,
        Stream::Usage,
        from,
        context.deadline,
        on_record,
    )
    .await
    .map_err(|source| Error::Log { source })?;
    drop(progress);
    if extent.oldest > from {
        eprintln!(
            "the log no longer retains bills before offset {}",
            extent.oldest
        );
    }
    if unreadable > 0 {
        eprintln!("{unreadable} record(s) are no bills and were skipped");
    }
    let wanted = |total: &&Total| customer.is_none_or(|c| c == total.customer.as_str());
    let lines: Vec<Line> = fold
        .totals()
        .iter()
        .filter(wanted)
        .map(Line::from)
        .collect();
    let rows = lines.iter().map(Line::row).collect();
    let columns = [
        "customer", "bills", "repeated", "charge", "cost", "input", "output",
    ];
    Ok(Output::new(&columns, rows, &lines))
}

/// Number of records between two updates of the progress display.
const PROGRESS_STEP: u64 = 10_000;
