//! Who of a zone reads the log for whom.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_relay::follow::Lead;
use pimento_relay::neighbours::broadcast::zone_interval;
use pimento_relay::neighbours::peers::LIVENESS_TIMEOUT;
use pimento_relay::neighbours::peers::Peer;
use pimento_relay::neighbours::peers::Peers;
use pimento_relay::neighbours::peers::ReaderStatus;
use pimento_relay::neighbours::peers::Role;
use pimento_scheduler::Sharers;
use pimento_units::Moment;
use pimento_units::id;

fn node(name: &str) -> id::Node {
    name.parse().unwrap()
}

fn zone() -> id::Zone {
    "a".parse().unwrap()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn now() -> Moment {
    Moment::ZERO + Duration::from_secs(100)
}

fn told_of(name: &str, port: u16) -> Peer {
    Peer::discovered(node(name), zone(), address(port), now())
}

/// VMs named as the letters, at ports from one on, each of which just spoke.
fn spoken(standings: &[(&str, ReaderStatus)]) -> Peers {
    let mut peers = Peers::default();
    for ((name, standing), port) in standings.iter().zip(1..) {
        peers.update(told_of(name, port).with_datagram(*standing, now()), now());
    }
    peers
}

fn role(peers: &Peers, own: &str, standing: ReaderStatus) -> Role {
    peers.role(&node(own), &zone(), standing, now())
}

#[test]
fn the_first_that_is_able_reads() {
    let others = spoken(&[("a", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    let led = role(&others, "b", ReaderStatus::Eligible);
    assert_eq!((led.lead, led.reader), (Lead::Led, Some(address(1))));
    let others = spoken(&[("b", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    assert_eq!(
        role(&others, "a", ReaderStatus::Eligible).lead,
        Lead::Leading
    );
}

// Guards against a zone that learns nothing for as long as the view of its reader, whom the log turns
// away, is young.
#[test]
fn a_vm_whose_reads_are_not_answered_hands_over_at_once() {
    let mut others = spoken(&[("a", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    assert_eq!(role(&others, "b", ReaderStatus::Eligible).lead, Lead::Led);
    let away = told_of("a", 1).with_datagram(ReaderStatus::Unanswered, now());
    assert!(others.update(away, now()), "the roles are settled anew");
    assert_eq!(
        role(&others, "b", ReaderStatus::Eligible).lead,
        Lead::Leading
    );
    let others = spoken(&[("b", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    let turned_away = role(&others, "a", ReaderStatus::Unanswered);
    assert_eq!(turned_away.reader, Some(address(1)));
}

// Guards against waiting for VMs that were gone before this one started: their words stay on the log.
#[test]
fn vms_known_from_the_log_alone_read_for_nobody() {
    let mut others = Peers::default();
    others.update(told_of("a", 1), now());
    assert_eq!(role(&others, "b", ReaderStatus::Starting).lead, Lead::Alone);
    others.update(
        told_of("c", 3).with_datagram(ReaderStatus::Starting, now()),
        now(),
    );
    assert_eq!(
        role(&others, "b", ReaderStatus::Starting).lead,
        Lead::Leading
    );
    // What the log says later does not take back that it spoke.
    assert!(!others.update(told_of("c", 3), now()));
    assert_eq!(
        role(&others, "d", ReaderStatus::Starting).reader,
        Some(address(3))
    );
}

// Guards against a zone that asks a log which is out all at once, and against one that takes VMs that
// leave for such an outage.
#[test]
fn a_zone_doubts_the_log_when_several_are_turned_away() {
    let away = ReaderStatus::Unanswered;
    let two = spoken(&[("a", away), ("b", away), ("c", ReaderStatus::Eligible)]);
    assert!(!role(&two, "d", ReaderStatus::Eligible).state.doubtful);
    let three = spoken(&[
        ("a", away),
        ("b", away),
        ("c", away),
        ("d", ReaderStatus::Eligible),
    ]);
    let doubts = role(&three, "e", ReaderStatus::Eligible);
    assert!(doubts.state.doubtful && !doubts.state.blind);
    let leaving = [
        ("a", ReaderStatus::Leaving),
        ("b", ReaderStatus::Leaving),
        ("c", ReaderStatus::Leaving),
    ];
    let leaving = role(&spoken(&leaving), "d", ReaderStatus::Eligible);
    assert_eq!(leaving.lead, Lead::Leading);
    assert!(!leaving.state.doubtful);
}

// Guards against VMs that wait for their turn though another one reads for them, and past the bounds.
#[test]
fn a_zone_is_blind_only_if_nobody_is_able() {
    let away = ReaderStatus::Unanswered;
    let last = spoken(&[("a", away), ("b", away), ("c", ReaderStatus::Eligible)]);
    assert!(!role(&last, "d", away).state.blind);
    let none = spoken(&[("a", away), ("b", ReaderStatus::Untested), ("c", away)]);
    let role = role(&none, "d", away);
    assert!(role.state.blind);
    // The one that did not try lately does.
    assert_eq!(role.reader, Some(address(2)));
}

// Guards against the reading going back to a VM that is still turned away, only since that was a while ago.
#[test]
fn a_vm_that_was_turned_away_reads_again_only_if_nobody_else_can() {
    let others = spoken(&[("a", ReaderStatus::Untested), ("c", ReaderStatus::Eligible)]);
    assert_eq!(
        role(&others, "b", ReaderStatus::Eligible).lead,
        Lead::Leading
    );
    assert_eq!(
        role(&others, "d", ReaderStatus::Eligible).reader,
        Some(address(2))
    );
}

// Guards against VMs of a large zone that take each other for gone between two datagrams, and all read
// the log.
#[test]
fn vms_of_a_zone_of_any_size_count_as_living() {
    for others in 0..1_000 {
        assert!(
            zone_interval(others) * 2 < LIVENESS_TIMEOUT,
            "{others} others"
        );
    }
    assert_eq!(zone_interval(2), zone_interval(1) * 2);
}

fn sharers(peers: &Peers, own: &str, at: Moment) -> Sharers {
    peers.limit_owners(&node(own), &zone(), at)
}

fn of(names: &[&str]) -> Sharers {
    let keys = names.iter().map(|name| choice::key(name));
    Sharers::new(choice::key("b"), vec![(zone(), keys.collect())])
}

/// Guards against a VM that hears nobody and takes what endpoints take for itself, and against one that
/// keeps a part for VMs that are gone.
#[test]
fn what_endpoints_take_is_shared_with_the_vms_that_are_heard() {
    let peers = spoken(&[("a", ReaderStatus::Eligible), ("c", ReaderStatus::Leaving)]);
    assert_eq!(sharers(&peers, "b", now()), of(&["a", "b"]));
    let mut peers = spoken(&[("a", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    assert_eq!(sharers(&peers, "b", now()), of(&["a", "b", "c"]));
    let later = now() + LIVENESS_TIMEOUT;
    assert_eq!(sharers(&peers, "b", later), of(&["a", "b", "c"]));
    peers.update(
        told_of("c", 2).with_datagram(ReaderStatus::Eligible, later),
        later,
    );
    assert_eq!(sharers(&peers, "b", later), of(&["b", "c"]));
}
