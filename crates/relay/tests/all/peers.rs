//! Which VM of a zone reads the log for the others, and which VMs share the limits of endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_relay::capacity::Capacity;
use pimento_relay::follow::ReadRole;
use pimento_relay::neighbours::broadcast::zone_interval;
use pimento_relay::neighbours::groups::Level;
use pimento_relay::neighbours::peer::LIVENESS_TIMEOUT;
use pimento_relay::neighbours::peer::Peer;
use pimento_relay::neighbours::peer::ReaderStatus;
use pimento_relay::neighbours::peers::Assignment;
use pimento_relay::neighbours::peers::Candidate;
use pimento_relay::neighbours::peers::Peers;
use pimento_relay::neighbours::zones::Zones;
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

fn discovered(name: &str, port: u16) -> Peer {
    Peer::discovered(node(name), zone(), address(port), now())
}

/// VMs of these names and statuses, at ports from one on, each of which just sent a datagram.
fn alive(statuses: &[(&str, ReaderStatus)]) -> Peers {
    let mut peers = Peers::default();
    for ((name, status), port) in statuses.iter().zip(1..) {
        peers.update(discovered(name, port).with_datagram(*status, now()), now());
    }
    peers
}

fn role(peers: &Peers, own: &str, status: ReaderStatus) -> Assignment {
    let own = Candidate {
        node: node(own),
        status,
        capacity: Capacity::default(),
    };
    peers.assignment(&own, &zone(), now())
}

#[test]
fn the_first_eligible_vm_by_name_reads() {
    let others = alive(&[("a", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    let served = role(&others, "b", ReaderStatus::Eligible);
    assert_eq!(
        (served.read_role, served.reader),
        (ReadRole::Served, Some(address(1)))
    );
    let others = alive(&[("b", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    assert_eq!(
        role(&others, "a", ReaderStatus::Eligible).read_role,
        ReadRole::Reader
    );
}

// Guards against a zone that gets no news while its reader's reads are not answered, just because the
// reader's view is still young.
#[test]
fn a_reader_whose_reads_are_not_answered_is_replaced_at_once() {
    let mut others = alive(&[("a", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    assert_eq!(
        role(&others, "b", ReaderStatus::Eligible).read_role,
        ReadRole::Served
    );
    let failing = discovered("a", 1).with_datagram(ReaderStatus::Unreachable, now());
    assert!(others.update(failing, now()), "the roles are updated");
    assert_eq!(
        role(&others, "b", ReaderStatus::Eligible).read_role,
        ReadRole::Reader
    );
    let others = alive(&[("b", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    let replaced = role(&others, "a", ReaderStatus::Unreachable);
    assert_eq!(replaced.reader, Some(address(1)));
}

// Guards against waiting for VMs that were gone before this one started: their records stay on the log.
#[test]
fn vms_known_only_from_the_log_do_not_read_for_others() {
    let mut others = Peers::default();
    others.update(discovered("a", 1), now());
    assert_eq!(
        role(&others, "b", ReaderStatus::Starting).read_role,
        ReadRole::Alone
    );
    others.update(
        discovered("c", 3).with_datagram(ReaderStatus::Starting, now()),
        now(),
    );
    assert_eq!(
        role(&others, "b", ReaderStatus::Starting).read_role,
        ReadRole::Reader
    );
    // A record that is read later does not undo that a datagram was received.
    assert!(!others.update(discovered("c", 3), now()));
    assert_eq!(
        role(&others, "d", ReaderStatus::Starting).reader,
        Some(address(3))
    );
}

// Guards against a zone whose VMs all call the log at once during its outage, and against one that takes
// VMs that shut down for such an outage.
#[test]
fn the_log_is_doubtful_when_it_does_not_answer_several_vms() {
    let failing = ReaderStatus::Unreachable;
    let two = alive(&[
        ("a", failing),
        ("b", failing),
        ("c", ReaderStatus::Eligible),
    ]);
    assert!(
        !role(&two, "d", ReaderStatus::Eligible)
            .state
            .outage_suspected
    );
    let three = alive(&[
        ("a", failing),
        ("b", failing),
        ("c", failing),
        ("d", ReaderStatus::Eligible),
    ]);
    let doubtful = role(&three, "e", ReaderStatus::Eligible);
    assert!(doubtful.state.outage_suspected && !doubtful.state.no_eligible_reader);
    let leaving = [
        ("a", ReaderStatus::Leaving),
        ("b", ReaderStatus::Leaving),
        ("c", ReaderStatus::Leaving),
    ];
    let leaving = role(&alive(&leaving), "d", ReaderStatus::Eligible);
    assert_eq!(leaving.read_role, ReadRole::Reader);
    assert!(!leaving.state.outage_suspected);
}

// Guards against VMs that wait for their turn to read, past the bounds, although another VM reads for them.
#[test]
fn a_zone_is_blind_only_if_no_vm_is_eligible() {
    let failing = ReaderStatus::Unreachable;
    let last = alive(&[
        ("a", failing),
        ("b", failing),
        ("c", ReaderStatus::Eligible),
    ]);
    assert!(!role(&last, "d", failing).state.no_eligible_reader);
    let none = alive(&[
        ("a", failing),
        ("b", ReaderStatus::Untested),
        ("c", failing),
    ]);
    let role = role(&none, "d", failing);
    assert!(role.state.no_eligible_reader);
    // The VM that has not tried lately tries.
    assert_eq!(role.reader, Some(address(2)));
}

// Guards against a return to a reader that the log may still not answer, just because its last attempt was
// some time ago.
#[test]
fn a_vm_that_was_not_answered_reads_again_only_if_no_other_is_eligible() {
    let others = alive(&[("a", ReaderStatus::Untested), ("c", ReaderStatus::Eligible)]);
    assert_eq!(
        role(&others, "b", ReaderStatus::Eligible).read_role,
        ReadRole::Reader
    );
    assert_eq!(
        role(&others, "d", ReaderStatus::Eligible).reader,
        Some(address(2))
    );
}

// Guards against VMs of a large zone that take each other for dead between two datagrams, and all read
// the log.
#[test]
fn vms_of_a_zone_of_any_size_count_as_alive() {
    for others in 0..1_000 {
        assert!(
            zone_interval(others) * 2 < LIVENESS_TIMEOUT,
            "{others} others"
        );
    }
    assert_eq!(zone_interval(2), zone_interval(1) * 2);
}

fn participants(peers: &Peers, own: &str, at: Moment) -> Participants {
    peers.limit_participants(&node(own), &zone(), at)
}

fn participants_of(names: &[&str]) -> Participants {
    let keys = names.iter().map(|name| choice::hash(name));
    Participants::new(choice::hash("b"), vec![(zone(), keys.collect())])
}

// Guards against a VM that receives no datagrams and takes over the whole limits of endpoints, and against
// one that leaves a share to VMs that are gone.
#[test]
fn what_endpoints_take_is_shared_with_the_vms_that_are_heard() {
    let peers = alive(&[("a", ReaderStatus::Eligible), ("c", ReaderStatus::Leaving)]);
    assert_eq!(
        participants(&peers, "b", now()),
        participants_of(&["a", "b"])
    );
    let mut peers = alive(&[("a", ReaderStatus::Eligible), ("c", ReaderStatus::Eligible)]);
    assert_eq!(
        participants(&peers, "b", now()),
        participants_of(&["a", "b", "c"])
    );
    let later = now() + LIVENESS_TIMEOUT;
    assert_eq!(
        participants(&peers, "b", later),
        participants_of(&["a", "b", "c"])
    );
    peers.update(
        discovered("c", 2).with_datagram(ReaderStatus::Eligible, later),
        later,
    );
    assert_eq!(
        participants(&peers, "b", later),
        participants_of(&["b", "c"])
    );
}

// Guards against VMs that have just started, each of which has heard few others yet and takes over the
// shares of the rest: all of them together would send a cold endpoint far more than it takes.
#[test]
fn a_vm_that_just_started_leaves_their_share_to_vms_that_it_will_hear() {
    let mut peers = alive(&[("a", ReaderStatus::Eligible)]);
    peers.update(discovered("c", 2), now());
    assert_eq!(
        participants(&peers, "b", now()),
        participants_of(&["a", "b", "c"])
    );
    let later = now() + LIVENESS_TIMEOUT;
    peers.update(
        discovered("a", 1).with_datagram(ReaderStatus::Eligible, later),
        later,
    );
    assert_eq!(
        participants(&peers, "b", later),
        participants_of(&["a", "b"])
    );
}

/// A zone of so many VMs that it is divided, all of them alive, of which `leads` says who leads a group.
fn divided(count: u16, leads: impl Fn(&str) -> bool) -> Peers {
    let mut peers = Peers::default();
    peers.raise_level(Level::for_vms(usize::from(count)));
    for port in 1..=count {
        let name = format!("vm-{port:03}");
        let peer = discovered(&name, port)
            .with_datagram(ReaderStatus::Eligible, now())
            .with_position(Capacity::default(), leads(&name));
        peers.update(peer, now());
    }
    peers
}

// Guards against a zone that grows and whose VMs each send to ever more others.
#[test]
fn a_zone_is_divided_into_groups_of_bounded_size() {
    assert!(!Level::for_vms(40).is_divided());
    for count in [197_u16, 400, 1_000] {
        let peers = divided(count, |_| false);
        let largest = (1..=count).map(|port| {
            let own = node(&format!("vm-{port:03}"));
            peers.group(&own, &zone()).len()
        });
        let largest = largest.max().unwrap();
        assert!(largest <= 60, "{count}: {largest}");
    }
}

// Guards against groups that each read the log: a leader is served by the best of the leaders, and a VM of a
// group by its leader.
#[test]
fn leaders_are_served_by_the_best_of_them() {
    let own = "vm-100";
    let peers = divided(197, |name| name == "vm-001" || name == "vm-002");
    let group = peers.group(&node(own), &zone());
    let served = role(&peers, own, ReaderStatus::Eligible);
    let first = group.iter().map(|peer| &peer.node).min().unwrap();
    assert_eq!(served.leader.map(|(node, _)| node).as_ref(), Some(first));
    // With the lowest name of all it leads its group.
    let leader = role(&peers, "a", ReaderStatus::Eligible);
    assert_eq!(leader.leader, None);
    assert_eq!(leader.read_role, ReadRole::Reader);
    // Others lead groups as well, and one of them has the larger link.
    let mut peers = peers;
    let large = discovered("vm-150", 150)
        .with_datagram(ReaderStatus::Eligible, now())
        .with_position(Capacity::new(1_000.0, 1.0), true);
    let other_group =
        Level::for_vms(197).group_of(&node("a")) != Level::for_vms(197).group(large.key);
    assert!(other_group, "the test needs VMs of two groups");
    peers.update(large, now());
    let leader = role(&peers, "a", ReaderStatus::Eligible);
    assert_eq!((leader.leader, leader.reader), (None, Some(address(150))));
}

// Guards against a VM without a view that replaces a reader whose view is old only because reading a whole topic
// takes long: VMs would read it one after the other, and none would ever be young enough.
#[test]
fn a_view_that_is_behind_comes_before_none() {
    let others = alive(&[("b", ReaderStatus::Behind), ("c", ReaderStatus::Starting)]);
    let starting = role(&others, "a", ReaderStatus::Starting);
    assert_eq!(starting.reader, Some(address(1)));
    assert_eq!(starting.sources, [address(1)]);
}

// Guards against VMs that each retry more than their share because they know few of the others.
#[test]
fn zones_of_which_nothing_is_known_count_as_large_as_the_own_one() {
    let names: Vec<id::Zone> = ["a", "b", "c"].map(|name| name.parse().unwrap()).to_vec();
    let mut zones = Zones::default();
    assert_eq!(zones.total(&names, &names[0], 200), 600);
    zones.merge(&names[1], 150, &[(node("x"), address(1))]);
    assert_eq!(zones.total(&names, &names[0], 200), 550);
    // A VM that has just started knows fewer.
    zones.merge(&names[1], 3, &[]);
    assert_eq!(zones.total(&names, &names[0], 200), 550);
}

// Guards against a VM that can't start while the log is out although a VM of its zone has all that it needs.
#[test]
fn a_vm_to_which_the_log_is_unreachable_still_serves_its_views() {
    let mut others = Peers::default();
    let failing = discovered("b", 1).with_datagram(ReaderStatus::Unreachable, now());
    others.update(failing.clone(), now());
    assert!(
        role(&others, "a", ReaderStatus::Starting)
            .sources
            .is_empty()
    );
    assert!(others.update(failing.with_views(true), now()));
    let starting = role(&others, "a", ReaderStatus::Starting);
    assert_eq!(starting.sources, [address(1)]);
}
