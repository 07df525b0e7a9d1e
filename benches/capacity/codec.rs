//! Sizes of records and frames, and the time to seal and open frames.

use std::hint::black_box;
use std::time::Instant;

use pimento_contract::change;
use pimento_ledger::Acquire;
use pimento_ledger::Bill;
use pimento_ledger::Grant;
use pimento_ledger::Outcome;
use pimento_ledger::record::ClaimRecord;
use pimento_ledger::record::GrantRecord;
use pimento_ledger::record::Item;
use pimento_ledger::record::LeaseRecord;
use pimento_ledger::record::Run;
use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::Frame;
use pimento_wire::frame::Key;
use pimento_wire::frame::MAX_BODY;
use pimento_wire::peer;
use pimento_wire::peer::Departure;
use pimento_wire::peer::Heartbeat;
use pimento_wire::peer::LastSeen;
use serde::Serialize;
use uuid::Uuid;

use crate::fit::Points;
use crate::fit::number;
use crate::folds;

/// Prints all tables.
pub fn print() {
    records();
    heartbeats();
    bills();
}

fn text(record: &impl Serialize) -> String {
    serde_json::to_string(record).expect("encodes")
}

fn records() {
    let claim = folds::claim(0, 1);
    let outcome = Outcome {
        request: claim.request,
        attempt: claim.attempt,
        run: Run::Ran,
        status: Some(200),
    };
    let grant = Grant {
        id: id::Record(Uuid::now_v7()),
        customer: "bottling-masaka".parse().expect("a name"),
        node: "entry-gikondo-17.0b1c2d3e".parse().expect("a name"),
        period: 20_800,
        amount: Money::from_micros(123_456_789),
        limit: Money::from_micros(1_000_000_000),
        revision: Revision(1_234),
    };
    let acquire = Acquire {
        id: id::Record(Uuid::now_v7()),
        resource: "orders:pimento-llm:kig-gikondo".parse().expect("a name"),
        holder: "entry-gikondo-17".parse().expect("a name"),
        previous: Some(Offset(123_456)),
        span: Span::from_secs(15),
    };
    let change = folds::change(1, Revision(7));
    let sizes = [
        ("claim", text(&ClaimRecord::Claim(claim)).len()),
        ("outcome", text(&ClaimRecord::Outcome(outcome)).len()),
        ("bill", text(&bill(1)).len()),
        ("grant", text(&GrantRecord::Grant(grant)).len()),
        (
            "take of a lease",
            text(&LeaseRecord::Acquire(acquire)).len(),
        ),
        (
            "change of a contract",
            text(&change::Entry::Change(change)).len(),
        ),
    ];
    for (name, size) in sizes {
        println!("record on the log: {name} -> {size} bytes");
    }
}

fn bill(number: u128) -> Bill {
    Bill {
        request: id::Request(Uuid::from_u128(number)),
        customer: "bottling-masaka".parse().expect("a name"),
        class: Some("stock".parse().expect("a name")),
        item: Item::Version("pimento-mini@2".parse().expect("a name")),
        charge: Money::from_micros(123_456),
        cost: Money::from_micros(234_567),
        input: Tokens(1_234),
        output: Tokens(321),
        node: "entry-gikondo-17".parse().expect("a name"),
        period: 20_800,
        at: Wall::from_millis(1_800_000_000_000),
    }
}

fn heartbeats() {
    let key = Key::derive("a secret that peers share");
    let mut size = Points::default();
    for count in [0, 5, 20, 50_u32] {
        let beat = Heartbeat {
            node: "entry-gikondo-17".parse().expect("a name"),
            zone: "kig-gikondo".parse().expect("a name"),
            address: "10.20.30.40:7070".into(),
            sequence: 1_800_000_000_000,
            offset: Offset(123_456),
            current: None,
            tailing: false,
            leaving: false,
            departures: departures(2),
            quarantined: Vec::new(),
            last_seen: (0..count)
                .map(|node| LastSeen {
                    node: node.wrapping_mul(0x9e37_79b9),
                    sequence: 1_800_000_000_000,
                })
                .collect(),
            suspicions: Vec::new(),
        };
        let frame = Frame::seal(&beat, &key, MAX_BODY).expect("seals");
        let bytes = frame.bytes().len() as u64;
        size.add(
            "nodes heard of",
            f64::from(count),
            "bytes a heartbeat",
            number(bytes),
        );
        time("a heartbeat", || {
            let frame = Frame::seal(&beat, &key, MAX_BODY).expect("seals");
            black_box(frame.open::<Heartbeat>(&key).expect("opens"));
        });
    }
    size.print("node heard of", "bytes");
}

fn departures(count: u64) -> Vec<Departure> {
    let departure = |incarnation| Departure {
        endpoint: "engine-gikondo-3".parse().expect("a name"),
        incarnation,
    };
    (0..count).map(departure).collect()
}

fn bills() {
    let key = Key::derive("a secret that peers share");
    let mut size = Points::default();
    for count in [1, 10, 100_u64] {
        let call = peer::Call::StoreBills {
            node: "entry-gikondo-17".parse().expect("a name"),
            bills: (0..count).map(|n| text(&bill(u128::from(n)))).collect(),
        };
        let frame = Frame::seal(&call, &key, MAX_BODY).expect("seals");
        let bytes = frame.bytes().len() as u64;
        size.add("bills", number(count), "bytes a copy call", number(bytes));
        time("a copy call", || {
            let frame = Frame::seal(&call, &key, MAX_BODY).expect("seals");
            black_box(frame.open::<peer::Call>(&key).expect("opens"));
        });
    }
    size.print("bill", "bytes");
}

/// Prints the mean time that `work` takes, which seals and opens one frame.
fn time(what: &str, mut work: impl FnMut()) {
    const ROUNDS: u32 = 2_000;
    let started = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    let each = started.elapsed() / ROUNDS;
    println!("  sealing and opening {what}: {each:?}");
}
