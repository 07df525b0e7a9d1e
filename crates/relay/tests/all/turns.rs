//! Following a topic while the log refuses VMs of the zone.

use std::time::Duration;

use pimento_relay::boot;
use pimento_relay::follow::Proof;
use pimento_relay::follow::ReadRole;
use pimento_relay::follow::ReadTiming;
use pimento_relay::zone::Failure;
use pimento_relay::zone::LogState;
use pimento_relay::zone::Reachability;
use pimento_relay::zone::Stamp;
use pimento_relay::zone::ZoneReading;
use pimento_units::Moment;

use crate::fixture::Fixture;
use crate::fixture::MAX_WAIT;
use crate::fixture::QUICK;
use crate::fixture::TIMING;
use crate::log::Behaviour;

/// Proofs expire so soon that a served VM has to read the log itself.
const SHORT_PROOFS: ReadTiming = ReadTiming {
    max_proof_age: Duration::from_millis(50),
    ..TIMING
};

/// Other VMs of the zone, so many that each gets a turn once in a dozen seconds.
const OTHER_VMS: u64 = 60;

/// Makes the fixture's VM a served one, in a large zone in which the log answers no VM.
fn leave_without_able_reader(fixture: &Fixture) {
    for node in 0..OTHER_VMS {
        let at = Moment::ZERO;
        fixture.zone.record_stamp(Stamp { node, at }, boot::now());
    }
    fixture.zone.set_log_state(LogState {
        no_eligible_reader: true,
        outage_suspected: true,
        grouped: false,
    });
    fixture.zone.read_role.send_replace(ReadRole::Served);
}

// Guards against all VMs of a zone calling an unreachable log: each did as soon as its last proof expired,
// and again after short pauses.
#[tokio::test]
async fn a_vm_waits_for_its_turn_while_the_log_refuses_its_zone() {
    let fixture = Fixture::with_timing(SHORT_PROOFS);
    let next = fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    leave_without_able_reader(&fixture);
    fixture.log.set_behaviour(Behaviour::Refusing);
    let calls = fixture.log.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    // Sixty VMs take turns, so that this one calls once in a dozen seconds.
    let calls = fixture.log.calls() - calls;
    assert!(calls <= 3, "{calls} calls");
    // The first VM whose read is answered sends a proof, which ends the wait.
    fixture.log.set_behaviour(Behaviour::Healthy);
    let stamp = boot::now();
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp,
    });
    assert_eq!(fixture.follower.proven_at(), Some(stamp));
}

// Guards against a zone whose VMs replace each other as the reader as fast as the log refuses them.
#[tokio::test]
async fn a_new_reader_waits_when_an_outage_is_suspected() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    fixture.zone.set_log_state(LogState {
        no_eligible_reader: false,
        outage_suspected: true,
        grouped: false,
    });
    let calls = fixture.log.calls();
    fixture.zone.read_role.send_replace(ReadRole::Reader);
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(fixture.log.calls(), calls);
    fixture
        .until("a read after the wait", |f| f.log.calls() > calls)
        .await;
}

// Guards against a change of the reader because of a single lost answer.
#[test]
fn one_lost_answer_is_not_an_outage_but_a_refusal_is() {
    let now = boot::now();
    let zone = ZoneReading::default();
    zone.read_failed(Failure::Unanswered, now);
    assert_eq!(zone.reachability(now), Reachability::Reachable);
    zone.read_failed(Failure::Unanswered, now);
    assert_eq!(zone.reachability(now), Reachability::Unreachable);
    zone.read_answered();
    assert_eq!(zone.reachability(now), Reachability::Reachable);
    zone.read_failed(Failure::Refused, now);
    assert_eq!(zone.reachability(now), Reachability::Unreachable);
    // It stays untested until a read is answered.
    assert_eq!(zone.reachability(now + MAX_WAIT), Reachability::Suspect);
}

// Guards against requests to leaving endpoints after the bound: a VM that waited for its turn, because the
// log refused others, did not react when its reader announced a change.
#[tokio::test]
async fn a_proof_ends_the_wait_for_a_turn() {
    let fixture = Fixture::with_timing(SHORT_PROOFS);
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    leave_without_able_reader(&fixture);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let next = fixture.log.put("a", Some("1"));
    fixture.zone.set_log_state(LogState::default());
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp: boot::now(),
    });
    let started = tokio::time::Instant::now();
    fixture.until("a", |f| f.keys() == ["a"]).await;
    // Its turn would come after twelve seconds on average, and after 24 at the latest.
    assert!(started.elapsed() < Duration::from_secs(1));
}

// Guards against each VM whose last proof has just expired calling an unreachable log over and over.
#[tokio::test]
async fn a_led_vm_backs_off_after_a_refusal() {
    let fixture = Fixture::with_timing(SHORT_PROOFS);
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.log.set_behaviour(Behaviour::Refusing);
    tokio::time::sleep(QUICK.wait * 2).await;
    fixture.zone.read_role.send_replace(ReadRole::Served);
    tokio::time::sleep(QUICK.wait * 2).await;
    let calls = fixture.log.calls();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let calls = fixture.log.calls() - calls;
    assert!(calls <= 1, "{calls} calls");
}

// Guards against all VMs of a divided zone reading the log when the leader that should pass a change on to them
// is late with it: they read it again until the log answered none of them.
#[tokio::test]
async fn a_vm_of_a_divided_zone_leaves_a_late_change_to_its_leader() {
    let fixture = Fixture::with_timing(SHORT_PROOFS);
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.zone.set_vms(200);
    fixture.zone.set_log_state(LogState {
        grouped: true,
        ..LogState::default()
    });
    fixture.zone.read_role.send_replace(ReadRole::Served);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let calls = fixture.log.calls();
    let next = fixture.log.put("a", Some("1"));
    for _ in 0..5 {
        fixture.follower.receive_proof(Proof {
            change_end: next,
            read_end: next,
            stamp: boot::now(),
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let calls = fixture.log.calls() - calls;
    assert!(calls <= 1, "{calls} calls");
}

// Guards against an endpoint whose registration expired being kept for seconds, over and over, because old
// proofs, passed on by a VM that gets none itself, make the log look reachable again.
#[tokio::test]
async fn an_old_proof_does_not_show_that_the_log_is_reachable() {
    let fixture = Fixture::with_timing(SHORT_PROOFS);
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    let old = boot::now();
    let end = fixture.follower.next_offset().unwrap();
    fixture.log.set_behaviour(Behaviour::Refusing);
    fixture
        .until("disconnected", |f| f.follower.view(|all| all.1) == 1)
        .await;
    leave_without_able_reader(&fixture);
    for _ in 0..5 {
        fixture.follower.receive_proof(Proof {
            change_end: end,
            read_end: end,
            stamp: old,
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(fixture.follower.view(|all| all.1), 1);
}
