//! Starts, losses and outages of a large zone, played in a model.

mod model;

use std::time::Duration;

use self::model::ENDPOINTS_PER_VM;
use self::model::Model;
use self::model::Mutant;
use self::model::PAGE;
use self::model::Vm;

/// VMs of one zone of five: of 985, and of 2,000.
const SIZES: [usize; 2] = [197, 400];

/// The time in which a zone must have started.
const START_BOUND: Duration = Duration::from_secs(15);

/// Calls of the log that a start takes beside two for each VM: the first reader's pages and its reads since.
fn read_calls(count: usize) -> usize {
    (count * 5 * ENDPOINTS_PER_VM).div_ceil(PAGE) + 60
}

fn check_start(count: usize, recorded: bool) {
    let mut model = Model::new(count, recorded, Mutant::None);
    let took = model.run_until_started();
    let calls = model.calls;
    println!("{count} VMs, recorded {recorded}: started in {took:?}, {calls} calls");
    assert!(took <= START_BOUND, "{count}: {took:?}");
    assert!(
        calls <= 2 * count + read_calls(count),
        "{count}: {calls} calls"
    );
    model.run(Duration::from_secs(4));
    let readers = model.vms.iter().filter(|vm| vm.is_reader()).count();
    assert_eq!(readers, 1, "{count}");
    model.check_ages();
}

// Guards against VMs of a large zone that start together and each read the log because the others do not
// answer yet.
#[test]
fn a_large_zone_starts_with_two_calls_for_each_vm() {
    for count in SIZES {
        check_start(count, false);
    }
}

// The same for a zone whose processes all restart.
#[test]
fn a_large_zone_restarts_with_two_calls_for_each_vm() {
    for count in SIZES {
        check_start(count, true);
    }
}

// Guards against datagrams of each VM that grow with its zone.
#[test]
fn what_a_vm_sends_does_not_grow_with_its_zone() {
    for count in [60, 197, 400, 800] {
        let mut model = Model::new(count, true, Mutant::None);
        model.run_until_started();
        model.run(Duration::from_secs(2));
        let busiest = model.busiest();
        println!("{count} VMs: {busiest} datagrams a second");
        assert!(busiest <= 200, "{count}: {busiest}");
    }
}

// Guards against a zone that stops following the log when its reader, or nine in ten of its VMs, are lost.
#[test]
fn a_large_zone_goes_on_when_its_reader_or_most_vms_are_lost() {
    for count in SIZES {
        let mut model = Model::new(count, true, Mutant::None);
        model.run_until_started();
        model.run(Duration::from_secs(3));
        let reader = model.vms.iter().position(Vm::is_reader).unwrap();
        let calls = model.calls;
        model.restart(std::iter::once(reader));
        model.run(Duration::from_secs(6));
        model.check_ages();
        assert!(model.calls - calls <= 60, "{} calls", model.calls - calls);
        let lost: Vec<usize> = (0..count).filter(|place| place % 10 != 3).collect();
        model.restart(lost.into_iter());
        let took = model.run_until_started();
        println!("{count} VMs: all back {took:?} after most were lost");
        assert!(took <= START_BOUND, "{count}: {took:?}");
        model.run(Duration::from_secs(4));
        model.check_ages();
    }
}

// Guards against VMs that keep calling a log which refuses them all, so that it never answers any.
#[test]
fn a_large_zone_starts_after_an_outage_of_the_log() {
    for count in SIZES {
        let mut model = Model::new(count, true, Mutant::None);
        model.refuses = true;
        model.run(Duration::from_secs(8));
        let in_outage = model.calls;
        model.refuses = false;
        let took = model.run_until_started();
        println!("{count} VMs: {in_outage} calls in the outage, started {took:?} after it");
        assert!(in_outage <= count * 8, "{count}: {in_outage} calls");
        assert!(took <= START_BOUND, "{count}: {took:?}");
    }
}

#[test]
fn the_model_finds_starts_that_read_at_once_and_undivided_zones() {
    let count = SIZES[0];
    let mut model = Model::new(count, false, Mutant::ReadsAtOnce);
    model.run_until_started();
    assert!(
        model.calls > 2 * count + read_calls(count),
        "{}",
        model.calls
    );
    let mut model = Model::new(count, true, Mutant::OneGroup);
    model.run_until_started();
    assert!(model.busiest() > 200);
}
