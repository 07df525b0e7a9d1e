//! Which endpoints may take new work, by list, load reports and departures.

use pimento_entry::registry::Table;
use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::engine::Load;
use pimento_wire::peer::Departure;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vm;
use pimento_wire::platform::Vms;

use crate::support::name;

const NOW: Moment = Moment::from_millis(1_000);

fn vms(names: &[&str]) -> Vms {
    let vm = |label: &&str| Vm {
        name: (*label).into(),
        zone: name("kig-remera"),
        address: "127.0.0.1:9".into(),
        role: Role::Engine(name("pimento-llm")),
        leaving: false,
    };
    Vms {
        vms: names.iter().map(vm).collect(),
    }
}

fn load(label: &str, incarnation: u64) -> Load {
    Load {
        endpoint: name(label),
        incarnation,
        running: 0,
        waiting: 0,
        batch: 8,
        age_ms: 0,
        versions: Vec::new(),
        leaving: false,
    }
}

fn table(names: &[&str]) -> Table {
    let mut table = Table::default();
    table.update_list(&vms(names));
    for label in names {
        table.record_load(&name(label), load(label, 1), NOW);
    }
    table
}

fn usable(table: &Table) -> Vec<String> {
    let endpoints = table.endpoints().iter();
    let usable = endpoints.filter(|endpoint| table.is_usable(endpoint));
    usable.map(|endpoint| endpoint.name.to_string()).collect()
}

fn departure(label: &str, incarnation: u64) -> Departure {
    Departure {
        endpoint: name::<id::Endpoint>(label),
        incarnation,
    }
}

/// The list loses all or most of its entries for a moment, as a faulty store may return it.
/// Dropping the endpoints would refuse every request although they are well.
#[test]
fn a_list_that_suddenly_shrinks_is_doubted() {
    for short in [&[][..], &["a"][..]] {
        let mut table = table(&["a", "b", "c", "d"]);
        table.update_list(&vms(short));
        assert!(table.distrusts_list());
        assert_eq!(usable(&table), ["a", "b", "c", "d"]);
        table.update_list(&vms(&["a", "b", "c", "d"]));
        assert!(!table.distrusts_list());
    }
}

/// While the list is distrusted, a missing endpoint that does not answer either gets no work.
#[test]
fn an_unlisted_endpoint_that_does_not_answer_gets_no_work() {
    let mut table = table(&["a", "b"]);
    table.update_list(&vms(&[]));
    for _ in 0..3 {
        table.record_failure(&name("b"));
    }
    assert_eq!(usable(&table), ["a"]);
}

#[test]
fn an_endpoint_removed_from_the_list_gets_no_work() {
    let mut table = table(&["a", "b", "c"]);
    table.update_list(&vms(&["a", "c"]));
    assert_eq!(usable(&table), ["a", "c"]);
}

/// Each of the three sources alone is enough, even if the others contradict it.
#[test]
fn leaving_by_list_own_word_or_peers_word_is_sticky_for_an_incarnation() {
    type Report = fn(&mut Table);
    let sources: [(&str, Report); 3] = [
        ("the list", |table| {
            let mut leaving = vms(&["a", "b"]);
            leaving.vms[0].leaving = true;
            table.update_list(&leaving);
        }),
        ("its load report", |table| {
            let mut own = load("a", 1);
            own.leaving = true;
            table.record_load(&name("a"), own, NOW);
        }),
        ("a peer", |table| {
            assert!(table.record_departure(departure("a", 1)));
            assert!(!table.record_departure(departure("a", 1)));
        }),
    ];
    for (what, report_leaving) in sources {
        let mut table = table(&["a", "b"]);
        report_leaving(&mut table);
        assert_eq!(usable(&table), ["b"], "{what}");
        table.update_list(&vms(&["a", "b"]));
        table.record_load(&name("a"), load("a", 1), NOW);
        assert_eq!(usable(&table), ["b"], "{what}, contradicted by the others");
        assert_eq!(table.departures(), [departure("a", 1)], "{what}");
        table.record_load(&name("a"), load("a", 2), NOW);
        assert_eq!(usable(&table), ["a", "b"], "{what}, in a new incarnation");
    }
}

#[test]
fn a_report_from_a_reassigned_address_does_not_count() {
    let mut table = Table::default();
    table.update_list(&vms(&["a"]));
    table.record_load(&name("a"), load("z", 1), NOW);
    assert!(usable(&table).is_empty());
}

#[test]
fn departures_are_bounded() {
    let mut table = Table::default();
    for incarnation in 0..5_000 {
        table.record_departure(departure("a", incarnation));
    }
    assert_eq!(table.departures().len(), 1_024);
    assert_eq!(table.departures().last(), Some(&departure("a", 4_999)));
}
