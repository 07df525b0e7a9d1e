//! Following a topic while the log turns VMs of the zone away.

use std::time::Duration;

use pimento_relay::boot;
use pimento_relay::follow::Lead;
use pimento_relay::follow::Proof;
use pimento_relay::follow::Timing;
use pimento_relay::zone::Failure;
use pimento_relay::zone::LogState;
use pimento_relay::zone::Reachability;
use pimento_relay::zone::Stamp;
use pimento_relay::zone::Zone;
use pimento_units::Moment;

use crate::fixture::Fixture;
use crate::fixture::PATIENCE;
use crate::fixture::QUICK;
use crate::fixture::TIMING;
use crate::log::Mood;

/// A proof is trusted for so short a time that the VM has to read by itself.
const DISTRUSTING: Timing = Timing {
    max_proof_age: Duration::from_millis(50),
    ..TIMING
};

/// VMs of the zone, so many that a turn comes once in a dozen seconds.
const MANY: u64 = 60;

/// Another VM of a large zone reads for the fixture's, and nobody is able to.
fn make_blind(fixture: &Fixture) {
    for node in 0..MANY {
        let at = Moment::ZERO;
        fixture.zone.record_stamp(Stamp { node, at });
    }
    fixture.zone.set_log_state(LogState {
        no_able_reader: true,
        outage_suspected: true,
    });
    fixture.zone.lead.send_replace(Lead::Led);
}

// Guards against all VMs of a zone asking a log that is out: each asked at once when its trust was used
// up, and again after short pauses.
#[tokio::test]
async fn a_vm_of_a_zone_that_is_turned_away_waits_for_its_turn() {
    let fixture = Fixture::with(DISTRUSTING);
    let next = fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    make_blind(&fixture);
    fixture.log.set(Mood::Down);
    let calls = fixture.log.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    // Sixty VMs that take turns: this one asks once in a dozen seconds.
    let asked = fixture.log.calls() - calls;
    assert!(asked <= 3, "{asked} calls");
    // The one that goes on trying tells that the log is back, which ends the waiting.
    fixture.log.set(Mood::Well);
    let stamp = boot::now();
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp,
    });
    assert_eq!(fixture.follower.proven_at(), Some(stamp));
}

// Guards against a zone whose VMs succeed each other at a log that is out as fast as it says no.
#[tokio::test]
async fn a_successor_hesitates_when_several_were_turned_away() {
    let fixture = Fixture::new();
    fixture.led().await;
    fixture.zone.set_log_state(LogState {
        no_able_reader: false,
        outage_suspected: true,
    });
    let calls = fixture.log.calls();
    fixture.zone.lead.send_replace(Lead::Leading);
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(fixture.log.calls(), calls);
    fixture
        .until("it reads all the same", |f| f.log.calls() > calls)
        .await;
}

// Guards against a single lost answer moving the reading of the log from VM to VM.
#[test]
fn one_lost_answer_is_no_outage_and_a_refusal_is() {
    let now = boot::now();
    let zone = Zone::default();
    zone.read_failed(Failure::Unanswered, now);
    assert_eq!(zone.reachability(now), Reachability::Reachable);
    zone.read_failed(Failure::Unanswered, now);
    assert_eq!(zone.reachability(now), Reachability::Unreachable);
    zone.read_answered();
    assert_eq!(zone.reachability(now), Reachability::Reachable);
    zone.read_failed(Failure::Refused, now);
    assert_eq!(zone.reachability(now), Reachability::Unreachable);
    // It stays in doubt until a read is answered.
    assert_eq!(zone.reachability(now + PATIENCE), Reachability::Untested);
}

// Guards against leaving endpoints that get requests past the bound: a VM that waited for its turn at a
// log that turned others away did not hear that its reader knew more.
#[tokio::test]
async fn word_of_a_change_ends_the_waiting_for_a_turn() {
    let fixture = Fixture::with(DISTRUSTING);
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    make_blind(&fixture);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let next = fixture.log.put("a", Some("1"));
    fixture.zone.set_log_state(LogState::default());
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp: boot::now(),
    });
    let begun = tokio::time::Instant::now();
    fixture.until("a", |f| f.keys() == ["a"]).await;
    // Its turn would come in twenty seconds at the latest, in ten on average.
    assert!(begun.elapsed() < Duration::from_secs(1));
}

// Guards against a log that is out being asked over and over by each VM whose trust has just run out.
#[tokio::test]
async fn a_vm_that_another_one_reads_for_takes_a_refusal_as_meant() {
    let fixture = Fixture::with(DISTRUSTING);
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.log.set(Mood::Down);
    tokio::time::sleep(QUICK.wait * 2).await;
    fixture.zone.lead.send_replace(Lead::Led);
    tokio::time::sleep(QUICK.wait * 2).await;
    let calls = fixture.log.calls();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let asked = fixture.log.calls() - calls;
    assert!(asked <= 1, "{asked} calls");
}
