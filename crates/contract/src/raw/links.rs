//! Checks across tables and files: names that must exist, subjects defined twice, keys shared.

use super::Draft;
use super::finding::Place;
use super::finding::Report;
use crate::change::Subject;
use crate::contract::Key;
use crate::fold::State;

/// Something that one table says about another.
#[derive(Debug)]
pub(super) enum Link {
    /// A name that must be defined.
    Subject {
        /// What is named.
        subject: Subject,
        /// Where.
        place: Place,
    },
    /// An API key's hash that must be one customer's only.
    Key {
        /// The hash.
        key: Key,
        /// The contract that lists it; none if its customer can't be read.
        owner: Option<Subject>,
        /// Where.
        place: Place,
    },
}

impl Link {
    /// A name that must be defined.
    pub(super) fn subject(subject: Subject, place: &Place) -> Self {
        Self::Subject {
            subject,
            place: place.clone(),
        }
    }
}

/// Checks all links of the files, with `known` as what is in force already.
pub(super) fn check(draft: &Draft, known: &State, report: &Report) {
    check_definitions(draft, report);
    let mut keys: Vec<(Key, &Place)> = Vec::new();
    for link in &draft.links {
        match link {
            Link::Subject { subject, place } => check_subject(subject, place, draft, known, report),
            Link::Key { key, owner, place } => {
                check_holder(*key, owner.as_ref(), place, draft, known, report);
                match keys.binary_search_by_key(key, |(key, _)| *key) {
                    Ok(at) => {
                        let first = keys[at].1;
                        report.add(place, format!("this key stands at {first} already"));
                    }
                    Err(at) => keys.insert(at, (*key, place)),
                }
            }
        }
    }
}

fn check_definitions(draft: &Draft, report: &Report) {
    let mut definitions: Vec<&(Subject, Place)> = draft.definitions.iter().collect();
    // A stable sort: of one subject's definitions the first that was read stays first.
    definitions.sort_by_key(|(subject, _)| subject);
    for pair in definitions.windows(2) {
        let [(before, first), (subject, place)] = [pair[0], pair[1]];
        if before == subject {
            report.add(place, format!("{subject} is defined at {first} already"));
        }
    }
}

fn check_subject(subject: &Subject, place: &Place, draft: &Draft, known: &State, report: &Report) {
    let defined = draft.definitions.iter().any(|(other, _)| other == subject);
    if !defined && known.item(subject).is_none() {
        report.add(place, format!("{subject} is defined nowhere"));
    }
}

/// A key in force for another customer must not be taken, unless the files rewrite that contract
/// too (then both lists are among the links).
fn check_holder(
    key: Key,
    owner: Option<&Subject>,
    place: &Place,
    draft: &Draft,
    known: &State,
    report: &Report,
) {
    let Some(holder) = known.contract_for_key(key) else {
        return;
    };
    let holder = Subject::Contract(holder.customer.clone());
    let rewritten = draft.definitions.iter().any(|(other, _)| *other == holder);
    if !rewritten && owner != Some(&holder) {
        report.add(place, format!("this key belongs to {holder} already"));
    }
}
