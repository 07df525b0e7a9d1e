//! Parsing of `[[pool]]`, `[[version]]`, `[[service]]` and `[[rollout]]` tables.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use pimento_units::Money;
use pimento_units::Share;
use pimento_units::Span;

use super::Draft;
use super::contract::positive;
use super::names::read_definition;
use super::names::read_reference;
use super::names::sorted;
use super::table::Table;
use crate::change::Subject;
use crate::change::Value;
use crate::rollout;
use crate::rollout::Gate;
use crate::rollout::Rollout;
use crate::service::ClaimMode;
use crate::service::Fencing;
use crate::service::Pool;
use crate::service::Service;
use crate::version;
use crate::version::Price;
use crate::version::Version;

/// A value given as one of a fixed set of words.
#[derive(Debug, Clone, Copy)]
struct Choice<T>(T);

/// The text is none of the words; contains the list of them.
struct Unlisted(&'static str);

impl fmt::Display for Unlisted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "must be {}", self.0)
    }
}

macro_rules! choice {
    ($type:ty, $list:literal, $($word:literal => $value:expr),+) => {
        impl FromStr for Choice<$type> {
            type Err = Unlisted;
            fn from_str(text: &str) -> Result<Self, Unlisted> {
                match text {
                    $($word => Ok(Self($value)),)+
                    _ => Err(Unlisted($list)),
                }
            }
        }
    };
}

choice!(Fencing, "\"refuses\" or \"ignores\"",
    "refuses" => Fencing::Refuses, "ignores" => Fencing::Ignores);
choice!(ClaimMode, "\"log\" or \"single-attempt\"",
    "log" => ClaimMode::Log, "single-attempt" => ClaimMode::SingleAttempt);
choice!(version::Status, "\"serving\" or \"withdrawn\"",
    "serving" => version::Status::Serving, "withdrawn" => version::Status::Withdrawn);
choice!(rollout::Status, "\"running\", \"halted\" or \"done\"",
    "running" => rollout::Status::Running, "halted" => rollout::Status::Halted,
    "done" => rollout::Status::Done);

/// An HTTP method in upper case.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Method(CompactString);

impl FromStr for Method {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, &'static str> {
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err("must be an HTTP method in upper case, such as \"GET\"");
        }
        Ok(Self(text.into()))
    }
}

/// Reads one pool. By default its engines are assumed to ignore fencing numbers: with the opposite
/// default, a pool whose setting is missing could receive orders from two holders at once.
pub(super) fn pool(mut table: Table<'_, '_>, draft: &mut Draft) {
    let name = read_definition(&mut table, "name", draft, Subject::Pool);
    let fencing = table.text_or("fencing", Choice(Fencing::Ignores));
    table.finish();
    if let (Some(name), Some(Choice(fencing))) = (name, fencing) {
        draft.values.push(Value::Pool(Pool { name, fencing }));
    }
}

/// Reads one version.
pub(super) fn version(mut table: Table<'_, '_>, draft: &mut Draft) {
    let id = read_definition(&mut table, "id", draft, Subject::Version);
    let pool = read_reference(&mut table, "pool", draft, Subject::Pool);
    let price = table.table("price").and_then(price);
    let quality = table.share("quality");
    let status = table.text_or("status", Choice(version::Status::Serving));
    table.finish();
    let (Some(id), Some(pool), Some(price)) = (id, pool, price) else {
        return;
    };
    let (Some(quality), Some(Choice(status))) = (quality, status) else {
        return;
    };
    draft.values.push(Value::Version(Version {
        id,
        pool,
        price,
        quality,
        status,
    }));
}

fn price(mut table: Table<'_, '_>) -> Option<Price> {
    let input = table.text::<Money>("input");
    let output = table.text::<Money>("output");
    table.finish();
    Some(Price {
        input: input?.value,
        output: output?.value,
    })
}

/// Reads one plain service. Only listed methods are repeatable.
pub(super) fn service(mut table: Table<'_, '_>, draft: &mut Draft) {
    let name = read_definition(&mut table, "name", draft, Subject::Service);
    let pool = read_reference(&mut table, "pool", draft, Subject::Pool);
    let methods = table.texts::<Method>("repeatable");
    let claims = table.text_or("claims", Choice(ClaimMode::Log));
    let price = table.text_or("price", Money::ZERO);
    let timeout = positive(&mut table, "timeout");
    table.finish();
    let repeatable = sorted(methods).into_iter().map(|method| method.0).collect();
    let (Some(name), Some(pool), Some(Choice(claims))) = (name, pool, claims) else {
        return;
    };
    let (Some(price), Some(timeout)) = (price, timeout) else {
        return;
    };
    draft.values.push(Value::Service(Service {
        name,
        pool,
        repeatable,
        claims,
        price,
        timeout,
    }));
}

/// Reads one roll-out.
pub(super) fn rollout(mut table: Table<'_, '_>, draft: &mut Draft) {
    let from = read_reference(&mut table, "from", draft, Subject::Version);
    let to = read_reference(&mut table, "to", draft, Subject::Version);
    if let Some(to) = &to {
        draft.define(Subject::Rollout(to.clone()), table.place().clone());
    }
    if from.is_some() && from == to {
        table.add_finding("to", "must be another version than `from`");
    }
    let stages = table.shares("stages");
    if let Some(stages) = &stages {
        check_stages(&table, stages);
    }
    let stage = table.number_or("stage", 0, 0_usize);
    if let (Some(stages), Some(stage)) = (&stages, stage)
        && stage >= stages.len().max(1)
    {
        table.add_finding("stage", format!("there are {} stages", stages.len()));
    }
    let status = table.text_or("status", Choice(rollout::Status::Running));
    let gate = table.table("gate").and_then(gate);
    table.finish();
    let (Some(from), Some(to), Some(stages), Some(stage)) = (from, to, stages, stage) else {
        return;
    };
    let (Some(Choice(status)), Some(gate)) = (status, gate) else {
        return;
    };
    draft.values.push(Value::Rollout(Rollout {
        from,
        to,
        stages,
        stage,
        status,
        gate,
    }));
}

fn check_stages(table: &Table<'_, '_>, stages: &[Share]) {
    let rising = stages.is_sorted_by(|a, b| a < b);
    let begins = stages.first().is_some_and(|first| *first > Share::ZERO);
    let ends = stages.last() == Some(&Share::ONE);
    if !(rising && begins && ends) {
        table.add_finding("stages", "must rise from above 0 to 1");
    }
}

fn gate(mut table: Table<'_, '_>) -> Option<Gate> {
    let samples = table.number("samples", 1);
    let quality = table.share("quality");
    let errors = table.share("errors");
    let latency = latency(&mut table);
    let dwell = table.text_or("dwell", Span::ZERO);
    table.finish();
    Some(Gate {
        samples: samples?,
        quality: quality?,
        errors: errors?,
        latency: latency?,
        dwell: dwell?,
    })
}

/// Maximum latency ratio of a gate. A larger one would in effect disable the check of latency.
const MAX_RATIO: f64 = 100.0;

fn latency(table: &mut Table<'_, '_>) -> Option<u32> {
    let ratio = table.decimal("latency")?;
    if !(1.0..=MAX_RATIO).contains(&ratio) {
        table.add_finding("latency", "must be a ratio between 1 and 100, such as 1.5");
        return None;
    }
    // In range by the check above.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let hundredths = (ratio * 100.0).round() as u32;
    Some(hundredths)
}
