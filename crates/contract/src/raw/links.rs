//! Checks across tables and files: undefined names, subjects defined twice, shared API keys.

use super::Draft;
use super::finding::Place;
use super::finding::Report;
use crate::change::Subject;
use crate::contract::Key;
use crate::fold::State;

/// A reference that must be checked against other tables.
#[derive(Debug)]
pub(super) enum Link {
    /// A name that must be defined.
    Subject {
        /// The subject that the name refers to.
        subject: Subject,
        /// Location of the name.
        place: Place,
    },
    /// The hash of an API key, which must belong to only one customer.
    Key {
        /// The hash.
        key: Key,
        /// The contract that lists it; `None` if its customer can't be read.
        owner: Option<Subject>,
        /// Location of the hash.
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

/// Checks all links of the files; `known` is the state in force.
pub(super) fn check(draft: &Draft, known: &State, report: &Report) {
    check_definitions(draft, report);
    let mut keys: Vec<(Key, &Place)> = Vec::new();
    for link in &draft.links {
        match link {
            Link::Subject { subject, place } => check_subject(subject, place, draft, known, report),
            Link::Key { key, owner, place } => {
                check_owner(*key, owner.as_ref(), place, draft, known, report);
                match keys.binary_search_by_key(key, |(key, _)| *key) {
                    Ok(at) => {
                        let first = keys[at].1;
                        report.add(place, format!("this key is already listed at {first}"));
                    }
                    Err(at) => keys.insert(at, (*key, place)),
                }
            }
        }
    }
}

fn check_definitions(draft: &Draft, report: &Report) {
    let mut definitions: Vec<&(Subject, Place)> = draft.definitions.iter().collect();
    // The sort is stable: of several definitions of a subject, the one read first stays first.
    definitions.sort_by_key(|(subject, _)| subject);
    for pair in definitions.windows(2) {
        let [(before, first), (subject, place)] = [pair[0], pair[1]];
        if before == subject {
            report.add(place, format!("{subject} is already defined at {first}"));
        }
    }
}

fn check_subject(subject: &Subject, place: &Place, draft: &Draft, known: &State, report: &Report) {
    let defined = draft.definitions.iter().any(|(other, _)| other == subject);
    if !defined && known.item(subject).is_none() {
        report.add(place, format!("{subject} is not defined"));
    }
}

/// Reports a key that is in force for another customer, unless the files redefine that customer's
/// contract too. Then the check of the links finds a key that both contracts list.
fn check_owner(
    key: Key,
    owner: Option<&Subject>,
    place: &Place,
    draft: &Draft,
    known: &State,
    report: &Report,
) {
    let Some(current_owner) = known.contract_for_key(key) else {
        return;
    };
    let current_owner = Subject::Contract(current_owner.customer.clone());
    let rewritten = draft
        .definitions
        .iter()
        .any(|(other, _)| *other == current_owner);
    if !rewritten && owner != Some(&current_owner) {
        report.add(
            place,
            format!("this key already belongs to {current_owner}"),
        );
    }
}
