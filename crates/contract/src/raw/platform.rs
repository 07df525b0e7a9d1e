//! Reading of `[[pool]]`, `[[version]]`, `[[service]]` and `[[rollout]]` tables.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use pimento_units::Money;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::id;

use super::Draft;
use super::contract::positive;
use super::links::Link;
use super::table::Table;
use crate::change::Subject;
use crate::change::Value;
use crate::rollout;
use crate::rollout::Gate;
use crate::rollout::Rollout;
use crate::service::Claims;
use crate::service::Fencing;
use crate::service::Pool;
use crate::service::Service;
use crate::version;
use crate::version::Price;
use crate::version::Version;

/// A text that is one of a few words.
#[derive(Debug, Clone, Copy)]
struct Choice<T>(T);

/// The text is none of the words.
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
choice!(Claims, "\"log\" or \"single-attempt\"",
    "log" => Claims::Log, "single-attempt" => Claims::SingleAttempt);
choice!(version::Status, "\"serving\" or \"withdrawn\"",
    "serving" => version::Status::Serving, "withdrawn" => version::Status::Withdrawn);
choice!(rollout::Status, "\"running\", \"halted\" or \"done\"",
    "running" => rollout::Status::Running, "halted" => rollout::Status::Halted,
    "done" => rollout::Status::Done);

/// An HTTP method in upper case.
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

/// Reads one pool. An engine is taken to ignore fencing numbers unless its pool says otherwise,
/// since the opposite mistake lets two holders order at once.
pub(super) fn pool(mut table: Table<'_, '_>, draft: &mut Draft) {
    let name = table.text::<id::Pool>("name");
    let fencing = table.text_or("fencing", Choice(Fencing::Ignores));
    if let Some(name) = &name {
        let subject = Subject::Pool(name.value.clone());
        draft.define(subject, table.place().clone());
    }
    table.finish();
    if let (Some(name), Some(Choice(fencing))) = (name, fencing) {
        let name = name.value;
        draft.values.push(Value::Pool(Pool { name, fencing }));
    }
}

/// Reads one version.
pub(super) fn version(mut table: Table<'_, '_>, draft: &mut Draft) {
    let id = table.text::<id::Version>("id");
    if let Some(id) = &id {
        let subject = Subject::Version(id.value.clone());
        draft.define(subject, table.place().clone());
    }
    let pool = pool_of(&mut table, draft);
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
        id: id.value,
        pool,
        price,
        quality,
        status,
    }));
}

fn pool_of(table: &mut Table<'_, '_>, draft: &mut Draft) -> Option<id::Pool> {
    let pool = table.text::<id::Pool>("pool")?;
    let subject = Subject::Pool(pool.value.clone());
    draft.refer(Link::subject(subject, &pool.place));
    Some(pool.value)
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

/// Reads one plain service. No method is repeatable unless it is listed.
pub(super) fn service(mut table: Table<'_, '_>, draft: &mut Draft) {
    let name = table.text::<id::Service>("name");
    if let Some(name) = &name {
        let subject = Subject::Service(name.value.clone());
        draft.define(subject, table.place().clone());
    }
    let pool = pool_of(&mut table, draft);
    let methods = table.texts::<Method>("repeatable");
    let claims = table.text_or("claims", Choice(Claims::Log));
    let price = table.text_or("price", Money::ZERO);
    let timeout = positive(&mut table, "timeout");
    table.finish();
    let mut repeatable: Vec<CompactString> = methods.into_iter().map(|m| m.value.0).collect();
    repeatable.sort();
    repeatable.dedup();
    let (Some(name), Some(pool), Some(Choice(claims))) = (name, pool, claims) else {
        return;
    };
    let (Some(price), Some(timeout)) = (price, timeout) else {
        return;
    };
    draft.values.push(Value::Service(Service {
        name: name.value,
        pool,
        repeatable,
        claims,
        price,
        timeout,
    }));
}

/// Reads one roll-out.
pub(super) fn rollout(mut table: Table<'_, '_>, draft: &mut Draft) {
    let from = version_of(&mut table, "from", draft);
    let to = version_of(&mut table, "to", draft);
    if let Some(to) = &to {
        draft.define(Subject::Rollout(to.clone()), table.place().clone());
    }
    if from.is_some() && from == to {
        table.fault("to", "must be another version than `from`");
    }
    let stages = table.shares("stages");
    if let Some(stages) = &stages {
        check_stages(&table, stages);
    }
    let stage = table.number_or("stage", 0, 0_usize);
    if let (Some(stages), Some(stage)) = (&stages, stage)
        && stage >= stages.len().max(1)
    {
        table.fault("stage", format!("there are {} stages", stages.len()));
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

fn version_of(
    table: &mut Table<'_, '_>,
    key: &'static str,
    draft: &mut Draft,
) -> Option<id::Version> {
    let version = table.text::<id::Version>(key)?;
    let subject = Subject::Version(version.value.clone());
    draft.refer(Link::subject(subject, &version.place));
    Some(version.value)
}

fn check_stages(table: &Table<'_, '_>, stages: &[Share]) {
    let rising = stages.is_sorted_by(|a, b| a < b);
    let begins = stages.first().is_some_and(|first| *first > Share::ZERO);
    let ends = stages.last() == Some(&Share::ONE);
    if !(rising && begins && ends) {
        table.fault("stages", "must rise from above 0 to 1");
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

/// The largest latency ratio a gate may name. Beyond it the gate would not judge latency at all.
const MAX_RATIO: f64 = 100.0;

fn latency(table: &mut Table<'_, '_>) -> Option<u32> {
    let ratio = table.decimal("latency")?;
    if !(1.0..=MAX_RATIO).contains(&ratio) {
        table.fault("latency", "must be a ratio between 1 and 100, such as 1.5");
        return None;
    }
    // In range by the check above.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let hundredths = (ratio * 100.0).round() as u32;
    Some(hundredths)
}
