//! Who of a zone reads the log for whom.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_relay::follow::Lead;
use pimento_relay::neighbours::peers::LIVING;
use pimento_relay::neighbours::peers::Peer;
use pimento_relay::neighbours::peers::Peers;
use pimento_relay::neighbours::peers::Role;
use pimento_relay::neighbours::peers::Standing;
use pimento_relay::neighbours::tell::period;
use pimento_scheduler::Participants;
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
    Peer::told_of(node(name), zone(), address(port), now())
}

/// VMs named as the letters, at ports from one on, each of which just spoke.
fn spoken(standings: &[(&str, Standing)]) -> Peers {
    let mut peers = Peers::default();
    for ((name, standing), port) in standings.iter().zip(1..) {
        peers.met(told_of(name, port).speaks(*standing, now()), now());
    }
    peers
}

fn role(peers: &Peers, own: &str, standing: Standing) -> Role {
    peers.role(&node(own), &zone(), standing, now())
}

#[test]
fn the_first_that_is_able_reads() {
    let others = spoken(&[("a", Standing::Able), ("c", Standing::Able)]);
    let led = role(&others, "b", Standing::Able);
    assert_eq!((led.lead, led.reader), (Lead::Led, Some(address(1))));
    let others = spoken(&[("b", Standing::Able), ("c", Standing::Able)]);
    assert_eq!(role(&others, "a", Standing::Able).lead, Lead::Leading);
}

// Guards against a zone that learns nothing for as long as the view of its reader, whom the log turns
// away, is young.
#[test]
fn a_vm_whose_reads_are_not_answered_hands_over_at_once() {
    let mut others = spoken(&[("a", Standing::Able), ("c", Standing::Able)]);
    assert_eq!(role(&others, "b", Standing::Able).lead, Lead::Led);
    let away = told_of("a", 1).speaks(Standing::Unable, now());
    assert!(others.met(away, now()), "the roles are settled anew");
    assert_eq!(role(&others, "b", Standing::Able).lead, Lead::Leading);
    let others = spoken(&[("b", Standing::Able), ("c", Standing::Able)]);
    let turned_away = role(&others, "a", Standing::Unable);
    assert_eq!(turned_away.reader, Some(address(1)));
}

// Guards against waiting for VMs that were gone before this one started: their words stay on the log.
#[test]
fn vms_known_from_the_log_alone_read_for_nobody() {
    let mut others = Peers::default();
    others.met(told_of("a", 1), now());
    assert_eq!(role(&others, "b", Standing::Starting).lead, Lead::Alone);
    others.met(told_of("c", 3).speaks(Standing::Starting, now()), now());
    assert_eq!(role(&others, "b", Standing::Starting).lead, Lead::Leading);
    // What the log says later does not take back that it spoke.
    assert!(!others.met(told_of("c", 3), now()));
    assert_eq!(
        role(&others, "d", Standing::Starting).reader,
        Some(address(3))
    );
}

// Guards against a zone that asks a log which is out all at once, and against one that takes VMs that
// leave for such an outage.
#[test]
fn a_zone_doubts_the_log_when_several_are_turned_away() {
    let away = Standing::Unable;
    let two = spoken(&[("a", away), ("b", away), ("c", Standing::Able)]);
    assert!(!role(&two, "d", Standing::Able).state.outage_suspected);
    let three = spoken(&[("a", away), ("b", away), ("c", away), ("d", Standing::Able)]);
    let doubts = role(&three, "e", Standing::Able);
    assert!(doubts.state.outage_suspected && !doubts.state.no_able_reader);
    let leaving = [
        ("a", Standing::Leaving),
        ("b", Standing::Leaving),
        ("c", Standing::Leaving),
    ];
    let leaving = role(&spoken(&leaving), "d", Standing::Able);
    assert_eq!(leaving.lead, Lead::Leading);
    assert!(!leaving.state.outage_suspected);
}

// Guards against VMs that wait for their turn though another one reads for them, and past the bounds.
#[test]
fn a_zone_is_blind_only_if_nobody_is_able() {
    let away = Standing::Unable;
    let last = spoken(&[("a", away), ("b", away), ("c", Standing::Able)]);
    assert!(!role(&last, "d", away).state.no_able_reader);
    let none = spoken(&[("a", away), ("b", Standing::Untested), ("c", away)]);
    let role = role(&none, "d", away);
    assert!(role.state.no_able_reader);
    // The one that did not try lately does.
    assert_eq!(role.reader, Some(address(2)));
}

// Guards against the reading going back to a VM that is still turned away, only since that was a while ago.
#[test]
fn a_vm_that_was_turned_away_reads_again_only_if_nobody_else_can() {
    let others = spoken(&[("a", Standing::Untested), ("c", Standing::Able)]);
    assert_eq!(role(&others, "b", Standing::Able).lead, Lead::Leading);
    assert_eq!(role(&others, "d", Standing::Able).reader, Some(address(2)));
}

// Guards against VMs of a large zone that take each other for gone between two datagrams, and all read
// the log.
#[test]
fn vms_of_a_zone_of_any_size_count_as_living() {
    for others in 0..1_000 {
        assert!(period(others) * 2 < LIVING, "{others} others");
    }
    assert_eq!(period(2), period(1) * 2);
}

fn sharers(peers: &Peers, own: &str, at: Moment) -> Participants {
    peers.sharers(&node(own), &zone(), at)
}

fn of(names: &[&str]) -> Participants {
    let keys = names.iter().map(|name| choice::hash(name));
    Participants::new(choice::hash("b"), vec![(zone(), keys.collect())])
}

/// Guards against a VM that hears nobody and takes what endpoints take for itself, and against one that
/// keeps a part for VMs that are gone.
#[test]
fn what_endpoints_take_is_shared_with_the_vms_that_are_heard() {
    let peers = spoken(&[("a", Standing::Able), ("c", Standing::Leaving)]);
    assert_eq!(sharers(&peers, "b", now()), of(&["a", "b"]));
    let mut peers = spoken(&[("a", Standing::Able), ("c", Standing::Able)]);
    assert_eq!(sharers(&peers, "b", now()), of(&["a", "b", "c"]));
    let later = now() + LIVING;
    assert_eq!(sharers(&peers, "b", later), of(&["a", "b", "c"]));
    peers.met(told_of("c", 2).speaks(Standing::Able, later), later);
    assert_eq!(sharers(&peers, "b", later), of(&["b", "c"]));
}
