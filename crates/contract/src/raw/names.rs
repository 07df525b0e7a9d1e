//! Names that tables define or refer to, recorded for the checks across files.

use std::fmt::Display;
use std::str::FromStr;

use super::Draft;
use super::links::Link;
use super::table::Placed;
use super::table::Table;
use crate::change::Subject;

/// Reads the name that a table defines. It is recorded even if the rest of the table is faulty.
pub(super) fn read_definition<T>(
    table: &mut Table<'_, '_>,
    key: &'static str,
    draft: &mut Draft,
    subject: impl Fn(T) -> Subject,
) -> Option<T>
where
    T: FromStr<Err: Display> + Clone,
{
    let name = table.text::<T>(key)?.value;
    draft.define(subject(name.clone()), table.place().clone());
    Some(name)
}

/// Reads a name that must be defined in the files or in the state in force.
pub(super) fn read_reference<T>(
    table: &mut Table<'_, '_>,
    key: &'static str,
    draft: &mut Draft,
    subject: impl Fn(T) -> Subject,
) -> Option<T>
where
    T: FromStr<Err: Display> + Clone,
{
    let name = table.text::<T>(key)?;
    refer(&name, draft, &subject);
    Some(name.value)
}

/// Reads a list of such names; returns them sorted and without duplicates.
pub(super) fn read_references<T>(
    table: &mut Table<'_, '_>,
    key: &'static str,
    draft: &mut Draft,
    subject: impl Fn(T) -> Subject,
) -> Vec<T>
where
    T: FromStr<Err: Display> + Clone + Ord,
{
    let names = table.texts::<T>(key);
    for name in &names {
        refer(name, draft, &subject);
    }
    sorted(names)
}

fn refer<T: Clone>(name: &Placed<T>, draft: &mut Draft, subject: impl Fn(T) -> Subject) {
    let subject = subject(name.value.clone());
    draft.refer(Link::subject(subject, &name.place));
}

/// The values of a list, sorted and without duplicates.
pub(super) fn sorted<T: Ord>(items: Vec<Placed<T>>) -> Vec<T> {
    let mut values: Vec<T> = items.into_iter().map(|placed| placed.value).collect();
    values.sort();
    values.dedup();
    values
}
