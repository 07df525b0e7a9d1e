//! Parsing of `[[contract]]` tables.

use pimento_units::Money;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::id;

use super::Draft;
use super::links::Link;
use super::names::read_definition;
use super::names::read_references;
use super::names::sorted;
use super::table::Table;
use crate::change::Subject;
use crate::change::Value;
use crate::contract::Class;
use crate::contract::Contract;
use crate::contract::Key;
use crate::contract::Spend;

/// The name by which callers select the class with the lowest priority number. No class may have this
/// name.
const AUTO: &str = "auto";

/// Weight of a contract that does not set one.
const DEFAULT_WEIGHT: u32 = 1;

/// Priority of a class that does not set one, which leaves numbers on both sides for other classes.
const DEFAULT_PRIORITY: u8 = 5;

/// Reads one contract.
pub(super) fn contract(mut table: Table<'_, '_>, draft: &mut Draft) {
    let customer = read_definition(&mut table, "customer", draft, Subject::Contract);
    let subject = customer.clone().map(Subject::Contract);
    let keys = keys(&mut table, draft, subject.as_ref());
    let weight = table.number_or("weight", 1, DEFAULT_WEIGHT);
    let spend = table.table("spend").and_then(spend);
    let services = read_references(&mut table, "services", draft, Subject::Service);
    let classes = classes(&mut table, draft);
    table.finish();
    let (Some(customer), Some(weight), Some(spend)) = (customer, weight, spend) else {
        return;
    };
    draft.values.push(Value::Contract(Contract {
        customer,
        keys,
        weight,
        spend,
        classes,
        services,
    }));
}

fn keys(table: &mut Table<'_, '_>, draft: &mut Draft, owner: Option<&Subject>) -> Vec<Key> {
    let keys = table.texts("keys");
    if keys.is_empty() {
        table.add_finding("keys", "needs at least one hash of an API key");
    }
    for key in &keys {
        draft.refer(Link::Key {
            key: key.value,
            owner: owner.cloned(),
            place: key.place.clone(),
        });
    }
    sorted(keys)
}

fn spend(mut table: Table<'_, '_>) -> Option<Spend> {
    let limit = table.text::<Money>("limit");
    let period = positive(&mut table, "period");
    table.finish();
    Some(Spend {
        limit: limit?.value,
        period: period?,
    })
}

/// Reads a duration above zero.
pub(super) fn positive(table: &mut Table<'_, '_>, key: &'static str) -> Option<Span> {
    let span = table.text::<Span>(key)?.value;
    if span == Span::ZERO {
        table.add_finding(key, "must be longer than zero");
        return None;
    }
    Some(span)
}

fn classes(table: &mut Table<'_, '_>, draft: &mut Draft) -> Vec<Class> {
    let tables = table.tables("class");
    if tables.is_empty() {
        table.add_finding("class", "needs at least one class of requests");
    }
    let mut classes: Vec<Class> = Vec::with_capacity(tables.len());
    for table in tables {
        let Some(class) = class(table, draft, &classes) else {
            continue;
        };
        classes.push(class);
    }
    classes.sort_by(|a, b| a.name.cmp(&b.name));
    classes
}

fn class(mut table: Table<'_, '_>, draft: &mut Draft, before: &[Class]) -> Option<Class> {
    let name = table.text::<id::Class>("name").map(|name| name.value);
    if let Some(name) = &name {
        check_name(&table, name, before);
    }
    let versions = versions(&mut table, draft);
    let quality = table.share("quality");
    let priority = table.number_or("priority", 0, DEFAULT_PRIORITY);
    let timeout = positive(&mut table, "timeout");
    let output = table.number("output", 1).map(Tokens);
    table.finish();
    Some(Class {
        name: name?,
        versions,
        quality: quality?,
        priority: priority?,
        timeout: timeout?,
        output: output?,
    })
}

fn check_name(table: &Table<'_, '_>, name: &id::Class, before: &[Class]) {
    if name.as_str() == AUTO {
        table.add_finding(
            "name",
            "\"auto\" is reserved for the class with the lowest priority number",
        );
    }
    if before.iter().any(|class| class.name == *name) {
        table.add_finding(
            "name",
            format!("{name} is already a class of this contract"),
        );
    }
}

fn versions(table: &mut Table<'_, '_>, draft: &mut Draft) -> Vec<id::Version> {
    let versions = read_references(table, "versions", draft, Subject::Version);
    if versions.is_empty() {
        table.add_finding("versions", "needs at least one version");
    }
    versions
}
