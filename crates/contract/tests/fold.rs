//! The fold of the configuration stream: concurrent changes, lost answers, checkpoints.

use pimento_contract::Change;
use pimento_contract::State;
use pimento_contract::Subject;
use pimento_contract::Value;
use pimento_contract::change::Checkpoint;
use pimento_contract::change::CheckpointError;
use pimento_contract::fold::MAX_DECISIONS;
use pimento_contract::fold::MAX_TOMBSTONES;
use pimento_contract::fold::Verdict;
use pimento_contract::service::Fencing;
use pimento_contract::service::Pool;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Wall;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use uuid::Uuid;

fn subject(name: &str) -> Subject {
    Subject::Pool(name.parse().unwrap())
}

fn pool(name: &str, fencing: Fencing) -> Value {
    let name = name.parse().unwrap();
    Value::Pool(Pool { name, fencing })
}

fn change(id: u128, name: &str, base: u64, value: Option<Fencing>) -> Change {
    Change {
        id: id::Record(Uuid::from_u128(id)),
        subject: subject(name),
        base: Revision(base),
        value: value.map(|fencing| pool(name, fencing)),
        by: "test".into(),
        at: Wall::from_millis(0),
    }
}

fn set(id: u128, base: u64) -> Change {
    change(id, "pool", base, Some(Fencing::Refuses))
}

fn remove(id: u128, base: u64) -> Change {
    change(id, "pool", base, None)
}

/// Two operators read the same revision and both publish a change of it. The first in the log is in
/// force. The verdict on the second names the current revision, so that its operator reads the first
/// change instead of overwriting it.
#[test]
fn first_of_two_racing_operators_wins() {
    let mut state = State::default();
    assert_eq!(
        state.apply(Offset(0), &set(1, 0)),
        Verdict::Accepted(Revision(1))
    );
    assert_eq!(
        state.apply(Offset(1), &set(2, 1)),
        Verdict::Accepted(Revision(2))
    );
    assert_eq!(
        state.apply(Offset(2), &remove(3, 1)),
        Verdict::Conflict(Revision(2))
    );
    assert_eq!(state.revision(&subject("pool")), Revision(2));
    assert_eq!(state.items().len(), 1);
}

/// The answer to a successful append is lost, and the writer appends the record again. The log
/// contains both copies, but the change counts once and has one verdict.
#[test]
fn record_appended_twice_counts_once() {
    let mut state = State::default();
    let first = state.apply(Offset(0), &set(1, 0));
    assert_eq!(state.apply(Offset(1), &set(1, 0)), first);
    assert_eq!(state.revision(&subject("pool")), Revision(1));
    assert_eq!(state.decision(set(1, 0).id).unwrap().offset, Offset(0));
}

/// A pool is created and removed. After the decision on the creation has been evicted, a second copy
/// of the creating record arrives. It must not create the pool again.
#[test]
fn late_copy_of_a_creation_does_not_undo_a_removal() {
    let mut state = State::default();
    state.apply(Offset(0), &set(1, 0));
    state.apply(Offset(1), &remove(2, 1));
    for n in 0..MAX_DECISIONS {
        let other = change(100 + n as u128, "other", 0, Some(Fencing::Ignores));
        state.apply(state.offset, &other);
    }
    assert_eq!(
        state.decision(set(1, 0).id),
        None,
        "the decision must have been evicted by now"
    );
    let verdict = state.apply(state.offset, &set(1, 0));
    assert_eq!(verdict, Verdict::Conflict(Revision(2)));
    assert_eq!(state.item(&subject("pool")), None);
}

#[test]
fn removed_subject_is_created_again_with_the_revision_of_its_removal_as_base() {
    let mut state = State::default();
    state.apply(Offset(0), &set(1, 0));
    state.apply(Offset(1), &remove(2, 1));
    assert_eq!(state.revision(&subject("pool")), Revision(2));
    assert_eq!(
        state.apply(Offset(2), &set(3, 2)),
        Verdict::Accepted(Revision(3))
    );
}

#[test]
fn value_of_another_subject_is_refused() {
    let mut wrong = set(1, 0);
    wrong.value = Some(pool("other", Fencing::Refuses));
    assert_eq!(State::default().apply(Offset(0), &wrong), Verdict::Mismatch);
}

#[test]
fn memory_of_decisions_and_removals_is_bounded() {
    let mut state = State::default();
    for n in 0..(MAX_TOMBSTONES + 10) {
        let name = format!("pool-{n}");
        let create = change(2 * n as u128, &name, 0, Some(Fencing::Refuses));
        state.apply(state.offset, &create);
        let base = state.revision(&subject(&name)).0;
        state.apply(state.offset, &change(2 * n as u128 + 1, &name, base, None));
    }
    assert_eq!(state.revision(&subject("pool-0")), Revision(0));
    assert_ne!(state.revision(&subject("pool-10")), Revision(0));
    let forgotten = change(0, "pool-0", 0, None).id;
    assert_eq!(state.decision(forgotten), None);
}

#[test]
#[should_panic(expected = "the offset must not decrease")]
fn decreasing_offset_panics() {
    let mut state = State::default();
    state.apply(Offset(5), &set(1, 0));
    state.apply(Offset(4), &set(2, 0));
}

/// A checkpoint that is damaged or was written incorrectly must be ignored. A new node that started
/// from it would put a state in force that nobody published.
#[test]
fn wrong_checkpoints_are_ignored() {
    let mut state = State::default();
    state.apply(Offset(0), &set(1, 0));
    let right = Checkpoint::of(&state);
    assert_eq!(right.clone().into_state().as_ref(), Ok(&state));

    let mut other = state.clone();
    other.apply(Offset(1), &remove(2, 1));
    let mut swapped = right.clone();
    swapped.state = other.clone();
    swapped.state.offset = right.offset;
    assert_eq!(swapped.into_state(), Err(CheckpointError::Hash));

    let mut moved = right.clone();
    moved.offset = Offset(9);
    assert!(matches!(
        moved.into_state(),
        Err(CheckpointError::Offset { .. })
    ));

    let mut ahead = right;
    ahead.state.offset = Offset(9);
    ahead.offset = Offset(9);
    assert_eq!(ahead.into_state(), Err(CheckpointError::Hash));
}

/// One record of a random stream.
#[derive(Debug, Clone)]
enum Step {
    /// A change based on the state that its writer last read, `seen` records ago.
    Change { name: u8, seen: usize, remove: bool },
    /// A second copy of an earlier record.
    Repeat { which: usize },
    /// A checkpoint or an unreadable record.
    Other,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..3_u8, 0..4_usize, any::<bool>())
            .prop_map(|(name, seen, remove)| Step::Change { name, seen, remove }),
        2 => (0..1_000_usize).prop_map(|which| Step::Repeat { which }),
        1 => Just(Step::Other),
    ];
    vec(step, 1..60)
}

/// The records of a stream; `None` stands for a record without effect.
fn records(steps: &[Step]) -> Vec<Option<Change>> {
    let mut states = vec![State::default()];
    let mut records: Vec<Option<Change>> = Vec::new();
    for (at, step) in steps.iter().enumerate() {
        let record = match step {
            Step::Change { name, seen, remove } => {
                let name = format!("pool-{name}");
                let base = states[at.saturating_sub(*seen)].revision(&subject(&name));
                let value = (!remove).then_some(Fencing::Refuses);
                Some(change(at as u128, &name, base.0, value))
            }
            Step::Repeat { which } if at > 0 => records[which % at].clone(),
            Step::Repeat { .. } | Step::Other => None,
        };
        let mut state = states[at].clone();
        read(&mut state, record.as_ref());
        states.push(state);
        records.push(record);
    }
    records
}

fn read(state: &mut State, record: Option<&Change>) {
    match record {
        Some(change) => {
            state.apply(state.offset, change);
        }
        None => state.skip(state.offset),
    }
}

proptest! {
    /// A reader that has read the stream from its start and one that started from a checkpoint at any
    /// offset have the same state, byte for byte.
    #[test]
    fn readers_agree_wherever_they_start(steps in steps(), from in 0..60_usize) {
        let records = records(&steps);
        let from = from % (records.len() + 1);
        let mut whole = State::default();
        for record in &records[..from] {
            read(&mut whole, record.as_ref());
        }
        let text = serde_json::to_string(&Checkpoint::of(&whole)).unwrap();
        let checkpoint: Checkpoint = serde_json::from_str(&text).unwrap();
        let mut late = checkpoint.into_state().unwrap();
        for record in &records[from..] {
            read(&mut whole, record.as_ref());
            read(&mut late, record.as_ref());
        }
        prop_assert_eq!(whole.canonical_text(), late.canonical_text());
        prop_assert_eq!(whole.hash(), late.hash());
    }

    /// A subject changes only by a new change that is based on its current revision. Replaced or
    /// removed values therefore never come back, however often records are repeated.
    #[test]
    fn nothing_in_force_reverts(steps in steps()) {
        let records = records(&steps);
        let mut state = State::default();
        let mut seen = Vec::new();
        for record in &records {
            let before = state.clone();
            read(&mut state, record.as_ref());
            prop_assert!(state.offset > before.offset);
            let Some(change) = record else {
                prop_assert_eq!(before.items(), state.items());
                continue;
            };
            let fits = before.revision(&change.subject) == change.base;
            let new = !seen.contains(&change.id);
            seen.push(change.id);
            if fits && new {
                prop_assert_eq!(state.revision(&change.subject), Revision(state.offset.0));
                prop_assert_eq!(state.item(&change.subject).is_some(), change.value.is_some());
            } else {
                prop_assert_eq!(before.items(), state.items());
            }
        }
    }
}
