//! Publishing on a log that loses responses, refuses appends, drops old records and gets changes of
//! other operators.

mod common;

use std::time::Duration;

use pimento_contract::Change;
use pimento_contract::State;
use pimento_contract::Value;
use pimento_contract::change::Checkpoint;
use pimento_contract::change::Entry;
use pimento_contract::fold::Verdict;
use pimento_contract::raw::Configuration;
use pimento_contract::raw::File;
use pimento_contract::raw::Input;
use pimento_contract::version::Status;
use pimento_ctl::exit::Error;
use pimento_ctl::publish::Outcome;
use pimento_ctl::publish::changes;
use pimento_ctl::publish::preserve_progress;
use pimento_ctl::publish::publish;
use pimento_ctl::publish::require_accepted;
use pimento_ctl::snapshot::Snapshot;
use pimento_units::Revision;
use tokio::time::Instant;

use self::common::Fault;
use self::common::Memory;

const FILES: [&str; 2] = [
    include_str!("../../../examples/nyabarongo/platform.toml"),
    include_str!("../../../examples/nyabarongo/contracts.toml"),
];

/// Subjects in [`FILES`]: 2 pools, 5 versions, 1 service, 10 contracts.
const SUBJECTS: usize = 18;

fn values() -> Vec<Value> {
    let file = |text: &str| File {
        name: "example".into(),
        text: text.into(),
    };
    let source = Input {
        files: &FILES.map(file),
        known: &State::default(),
    };
    Configuration::try_from(source)
        .expect("the example is valid")
        .values
}

fn raise_weights(mut values: Vec<Value>) -> Vec<Value> {
    for value in &mut values {
        if let Value::Contract(contract) = value {
            contract.weight += 1;
        }
    }
    values
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

async fn load(log: &Memory) -> Snapshot {
    let loaded = Snapshot::load(log, deadline()).await;
    loaded.expect("the log can be read")
}

async fn publish_changes(
    log: &Memory,
    snapshot: &mut Snapshot,
    changes: &[Change],
) -> Result<Vec<Outcome>, Error> {
    publish(log, snapshot, changes, deadline()).await
}

async fn publish_all(log: &Memory, values: Vec<Value>, by: &str) -> usize {
    let mut snapshot = load(log).await;
    let changes = changes(&snapshot, values, by);
    let outcomes = publish_changes(log, &mut snapshot, &changes).await;
    let outcomes = outcomes.expect("the append succeeds");
    require_accepted(&outcomes).expect("no change conflicts");
    outcomes.len()
}

#[tokio::test(start_paused = true)]
async fn unchanged_subjects_are_not_published_again() {
    let log = Memory::default();
    assert_eq!(publish_all(&log, values(), "ines").await, SUBJECTS);
    assert_eq!(publish_all(&log, values(), "ines").await, 0);
    assert_eq!(log.appends(), 1);
    assert_eq!(publish_all(&log, raise_weights(values()), "ines").await, 10);
}

/// One operator withdraws a bad version. Later another amends a contract and publishes the whole
/// folder, whose files still have the version as serving. The version must stay withdrawn.
#[tokio::test(start_paused = true)]
async fn publishing_files_does_not_bring_a_withdrawn_version_back() {
    let log = Memory::default();
    publish_all(&log, values(), "setup").await;
    let bad = "pimento-mini@1".parse().expect("the name is valid");
    let mut snapshot = load(&log).await;
    let mut version = snapshot.state.version(&bad).cloned().expect("it exists");
    version.status = Status::Withdrawn;
    let withdrawal = changes(&snapshot, vec![Value::Version(version)], "ines");
    publish_changes(&log, &mut snapshot, &withdrawal)
        .await
        .expect("the append succeeds");
    let mut amended = raise_weights(values());
    let preserved = preserve_progress(&snapshot, &mut amended);
    assert_eq!(preserved.len(), 1);
    publish_all(&log, amended, "jonas").await;
    let state = load(&log).await.state;
    let status = state.version(&bad).map(|version| version.status);
    assert_eq!(status, Some(Status::Withdrawn));
}

/// Appends are refused or lost, before or after they take effect, in several combinations.
/// Publishing must succeed, with each change in force exactly once.
#[tokio::test(start_paused = true)]
async fn publishing_survives_log_faults() {
    let table: [&[Fault]; 5] = [
        &[Fault::LoseAnswer],
        &[Fault::LoseRequest],
        &[Fault::Refuse, Fault::LoseAnswer],
        &[Fault::LoseAnswer, Fault::LoseAnswer],
        &[Fault::LoseRequest, Fault::Refuse, Fault::LoseRequest],
    ];
    for faults in table {
        let log = Memory::default();
        log.inject(faults);
        assert_eq!(
            publish_all(&log, values(), "ines").await,
            SUBJECTS,
            "{faults:?}"
        );
        let state = load(&log).await.state;
        assert_eq!(state.items().len(), SUBJECTS, "{faults:?}");
        assert_eq!(
            log.appends(),
            1,
            "a lost response was read back: {faults:?}"
        );
    }
}

/// Two operators read the same revisions and amend the same ten contracts. The first append wins.
/// The other operator gets an error with the revision that won and its author, and overwrites
/// nothing.
#[tokio::test(start_paused = true)]
async fn a_lost_race_names_the_winner() {
    let log = Memory::default();
    publish_all(&log, values(), "setup").await;
    let (mut first, mut second) = (load(&log).await, load(&log).await);
    let ours = changes(&first, raise_weights(values()), "ines");
    let theirs = changes(&second, raise_weights(raise_weights(values())), "jonas");
    let won = publish_changes(&log, &mut first, &ours)
        .await
        .expect("the append succeeds");
    require_accepted(&won).expect("the first wins");
    let lost = publish_changes(&log, &mut second, &theirs)
        .await
        .expect("the append succeeds");
    let error = require_accepted(&lost).expect_err("the second loses");
    assert_eq!(error.code(), 3);
    assert_eq!(error.to_string().lines().count(), 10);
    let item = won.first().expect("ten changes were made");
    let Verdict::Accepted(revision) = item.verdict else {
        panic!("the first is accepted");
    };
    let expected = format!(
        "{}: not published, revision {revision} won (by ines)",
        item.subject
    );
    assert!(error.to_string().contains(&expected), "{error}");
    let weights = |state: &State| state.contracts().map(|c| c.weight).collect::<Vec<_>>();
    assert_eq!(weights(&load(&log).await.state), weights(&first.state));
}

/// The response to the append that lost is lost too. The error must still be a conflict, not an
/// unknown outcome.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_does_not_hide_a_lost_race() {
    let log = Memory::default();
    publish_all(&log, values(), "setup").await;
    let mut late = load(&log).await;
    publish_all(&log, raise_weights(values()), "ines").await;
    let changes = changes(&late, raise_weights(raise_weights(values())), "jonas");
    log.inject(&[Fault::LoseAnswer]);
    let outcomes = publish_changes(&log, &mut late, &changes)
        .await
        .expect("the verdicts are read back");
    assert_eq!(
        require_accepted(&outcomes)
            .expect_err("the change lost")
            .code(),
        3
    );
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_reported_as_nothing_published() {
    let log = Memory::default();
    let mut snapshot = load(&log).await;
    let changes = changes(&snapshot, values(), "ines");
    log.inject(&[Fault::Refuse; 100]);
    let error = publish_changes(&log, &mut snapshot, &changes).await;
    assert_eq!(error.expect_err("the log is unavailable").code(), 4);
    assert!(load(&log).await.state.items().is_empty());
}

/// The response is lost and then the log can't be read. The error must say that the outcome is
/// unknown and contain the ids of the changes.
#[tokio::test(start_paused = true)]
async fn changes_that_cannot_be_read_back_are_unconfirmed() {
    let log = Memory::default();
    let mut snapshot = load(&log).await;
    let changes = changes(&snapshot, values(), "ines");
    log.inject(&[Fault::LoseAnswer]);
    log.inject(&[Fault::Refuse; 100]);
    log.fail_reads();
    let error = publish_changes(&log, &mut snapshot, &changes).await;
    let error = error.expect_err("nothing can be read");
    assert_eq!(error.code(), 5);
    assert!(error.to_string().contains(&changes[0].id.to_string()));
}

/// The log no longer retains the first records. A checkpoint with a valid hash restores the state
/// and its revisions. A damaged checkpoint is ignored, and so is one after whose state records are
/// missing.
#[tokio::test(start_paused = true)]
async fn a_checkpoint_replaces_records_past_retention() {
    let log = Memory::default();
    publish_all(&log, values(), "ines").await;
    let mut snapshot = load(&log).await;
    let checkpoint = Checkpoint::of(&snapshot.state);
    let mut damaged = checkpoint.clone();
    damaged.hash = "0".repeat(64).into();
    let text = |checkpoint| {
        let entry = Entry::Checkpoint(checkpoint);
        serde_json::to_string(&entry).expect("a checkpoint is plain JSON")
    };
    log.push(text(damaged));
    log.drop_before(SUBJECTS);
    assert!(
        !load(&log).await.complete,
        "a damaged checkpoint is ignored"
    );
    let changes = changes(&snapshot, raise_weights(values()), "ines");
    publish_changes(&log, &mut snapshot, &changes)
        .await
        .expect("the append succeeds");
    log.push(text(checkpoint));
    let loaded = load(&log).await;
    assert!(loaded.complete);
    assert_eq!(loaded.state.items(), snapshot.state.items());
    let contract = &loaded.state.items()[0];
    assert!(contract.revision > Revision(SUBJECTS as u64));
    log.drop_before(SUBJECTS + 2);
    assert!(
        !load(&log).await.complete,
        "a change after the checkpoint's state is missing"
    );
}
