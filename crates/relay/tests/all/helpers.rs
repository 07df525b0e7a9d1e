//! Which VM is asked to connect another one to endpoints, in fleets of several sizes without a network.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_relay::links;
use pimento_relay::links::helpers::Helpers;
use pimento_relay::neighbours::groups::Level;
use pimento_relay::neighbours::peer::Peer;
use pimento_relay::neighbours::peer::ReaderStatus;
use pimento_relay::neighbours::peers::Peers;
use pimento_units::Moment;
use pimento_units::id;

/// VMs of the fleet and zones.
const SIZES: [(usize, usize); 6] = [(6, 3), (9, 3), (79, 3), (195, 5), (300, 5), (985, 5)];

/// VMs that are asked for one request.
const MAX_ASKED: usize = 3;

/// VMs of another zone that a VM of a large zone knows.
const KNOWN_OF_LARGE_ZONE: usize = 4;

const TUNNEL_PORT: u16 = 7_342;

#[derive(Debug, Clone)]
struct Vm {
    name: id::Node,
    zone: id::Zone,
    address: SocketAddr,
}

fn fleet(vms: usize, zones: usize) -> Vec<Vm> {
    let vm = |number: usize| {
        let place = u32::try_from(number).unwrap();
        let [_, high, mid, low] = place.to_be_bytes();
        Vm {
            name: format!("entry-{number}").parse().unwrap(),
            zone: format!("zone-{}", number % zones).parse().unwrap(),
            address: SocketAddr::from(([10, high, mid, low], 7_341)),
        }
    };
    (0..vms).map(vm).collect()
}

fn now() -> Moment {
    Moment::ZERO + Duration::from_secs(100)
}

/// What `own` knows of the others: its group is heard, a few VMs of other zones are known by name.
fn helpers(fleet: &[Vm], own: &Vm, cut: impl Fn(&Vm) -> bool) -> Helpers {
    let mut peers = Peers::default();
    let same_zone = fleet.iter().filter(|vm| vm.zone == own.zone).count();
    let level = Level::for_vms(same_zone);
    let mut others: Vec<(&id::Zone, usize)> = Vec::new();
    for vm in fleet.iter().filter(|vm| vm.name != own.name) {
        let peer = Peer::discovered(vm.name.clone(), vm.zone.clone(), vm.address, now());
        if vm.zone == own.zone {
            if level.group_of(&vm.name) == level.group_of(&own.name) {
                let report = links::Report {
                    down: cut(vm),
                    connected_ms: Some(200),
                };
                let heard = peer.with_datagram(ReaderStatus::Eligible, now());
                peers.update(heard.with_links(Some(report), now()), now());
            }
            continue;
        }
        let place = others.iter().position(|(zone, _)| *zone == &vm.zone);
        let place = place.unwrap_or_else(|| {
            others.push((&vm.zone, 0));
            others.len() - 1
        });
        let known = &mut others[place].1;
        if !level.is_divided() || *known < KNOWN_OF_LARGE_ZONE {
            *known += 1;
            peers.update(peer, now());
        }
    }
    let mut helpers = Helpers::default();
    helpers.set(peers.helpers(TUNNEL_PORT, now()));
    helpers
}

/// The share of requests at the VMs that are cut off for which a VM is found that is not, and how many of
/// them the busiest VM takes.
fn served(fleet: &[Vm], cut: impl Fn(&Vm) -> bool + Copy) -> (f64, usize) {
    let endpoints = fleet.iter().map(|vm| &vm.zone);
    let zones: Vec<&id::Zone> = endpoints.collect();
    let mut load = vec![0; fleet.len()];
    let (mut found, mut asked) = (0, 0);
    for own in fleet.iter().filter(|vm| cut(vm)) {
        let mut helpers = helpers(fleet, own, cut);
        for request in 0..10_u64 {
            asked += 1;
            let zone = zones[usize::try_from(request).unwrap() % zones.len()];
            for attempt in 0..MAX_ASKED {
                let random = pimento_policy::choice::hash(&format!("{own:?}{request}{attempt}"));
                let Some(address) = helpers.choose(&own.zone, zone, random, now()) else {
                    break;
                };
                let place = fleet.iter().position(|vm| vm.address.ip() == address.ip());
                let place = place.unwrap();
                if !cut(&fleet[place]) {
                    load[place] += 1;
                    found += 1;
                    break;
                }
                helpers.record_failed(address, now());
            }
        }
    }
    let share = f64::from(found) / f64::from(asked);
    (share, load.into_iter().max().unwrap_or_default())
}

/// Guards against VMs that find nobody to connect them, or that all turn to the same VM.
#[test]
fn vms_that_are_cut_off_find_others_at_any_size() {
    for (vms, zones) in SIZES {
        let fleet = fleet(vms, zones);
        let first = &fleet[0].name;
        let (one, busiest) = served(&fleet, |vm| vm.name == *first);
        assert!(one >= 1.0, "{vms} VMs, one cut: {one}");
        assert!(busiest <= 10, "{vms} VMs, one cut: {busiest}");
        let zone = &fleet[0].zone;
        let (half, busiest) = served(&fleet, |vm| {
            let even = vm.address.to_string().bytes().map(u32::from).sum::<u32>() % 2 == 0;
            vm.zone == *zone && even
        });
        assert!(half >= 1.0, "{vms} VMs, half of a zone cut: {half}");
        let per_helper = 10 * vms.div_ceil(zones);
        assert!(
            busiest <= per_helper,
            "{vms} VMs, half of a zone cut: {busiest}"
        );
        let (whole, busiest) = served(&fleet, |vm| vm.zone == *zone);
        assert!(whole >= 1.0, "{vms} VMs, a zone cut: {whole}");
        println!(
            "{vms} VMs, a zone cut: busiest helper {busiest} of {} requests",
            10 * vms.div_ceil(zones)
        );
    }
}

/// Guards against VMs that do not know the only one that still reaches endpoints although it is near.
#[test]
fn the_group_of_the_last_vm_with_links_finds_it() {
    for (vms, zones) in SIZES {
        let fleet = fleet(vms, zones);
        let last = &fleet[vms - 1];
        let level = Level::for_vms(fleet.iter().filter(|vm| vm.zone == last.zone).count());
        let near = |vm: &&Vm| {
            let group = level.group_of(&vm.name) == level.group_of(&last.name);
            vm.zone == last.zone && vm.name != last.name && group
        };
        let cut = |vm: &Vm| vm.name != last.name;
        for own in fleet.iter().filter(near) {
            let helpers = helpers(&fleet, own, cut);
            let chosen = helpers.choose(&own.zone, &own.zone, 7, now()).unwrap();
            assert_eq!(chosen.ip(), last.address.ip(), "{vms} VMs");
        }
        let (share, _) = served(&fleet, cut);
        println!("{vms} VMs, all but one cut: {share:.3} of the requests find it");
    }
}
