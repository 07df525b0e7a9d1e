//! Memory and processor time of folds, the state that nodes compute from the log's records.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use pimento_contract::Change;
use pimento_contract::Contract;
use pimento_contract::State;
use pimento_contract::Value;
use pimento_contract::change::Checkpoint;
use pimento_contract::contract::Class;
use pimento_contract::contract::Key;
use pimento_contract::contract::Spend;
use pimento_ledger::Claim;
use pimento_ledger::Grant;
use pimento_ledger::claims;
use pimento_ledger::grants;
use pimento_ledger::record::ClaimRecord;
use pimento_ledger::record::GrantRecord;
use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use uuid::NoContext;
use uuid::Timestamp;
use uuid::Uuid;

use crate::fit::Points;
use crate::fit::number;

/// The time of the first records, in seconds since the Unix epoch.
const START: u64 = 1_800_000_000;

/// Prints all tables.
pub fn print() {
    claims_table();
    grants_table();
    configuration_table();
}

/// A claim whose request id has a timestamp of `second` seconds after [`START`].
pub fn claim(second: u64, number: u64) -> Claim {
    let stamp = Timestamp::from_unix(NoContext, START + second, 0);
    let mut bytes = Uuid::new_v7(stamp).into_bytes();
    bytes[8..].copy_from_slice(&(number | 1 << 63).to_be_bytes());
    Claim {
        request: id::Request(Uuid::from_bytes(bytes)),
        digest: number,
        attempt: id::Attempt(Uuid::now_v7()),
        node: format!("entry-{}", number % 50).parse().expect("a name"),
        at: Wall::from_millis((START + second) * 1_000),
    }
}

fn claims_table() {
    let mut memory = Points::default();
    let mut time = Points::default();
    for count in [1_000, 10_000, 100_000, 1_000_000_u64] {
        let mut fold = claims::Fold::new(Duration::from_hours(1));
        let claims: Vec<Claim> = (0..count).map(|n| claim(n * 600 / count, n)).collect();
        let started = Instant::now();
        for claim in claims {
            let at = claim.at;
            fold.apply(at, &ClaimRecord::Claim(claim));
        }
        let each = started.elapsed().as_secs_f64() * 1e9 / number(count);
        memory.add(
            "claims held",
            number(count),
            "bytes",
            number(fold.bytes() as u64),
        );
        time.add("claims held", number(count), "ns a claim", each);
        black_box(&fold);
    }
    memory.print("claim", "bytes");
    time.print("claim held", "ns");
}

fn grants_table() {
    let mut points = Points::default();
    for customers in [10, 100, 1_000_u64] {
        let mut fold = grants::Fold::default();
        let started = Instant::now();
        for customer in 0..customers {
            for node in 0..400 {
                fold.apply(&GrantRecord::Grant(grant(customer, node)));
            }
        }
        let each = started.elapsed().as_secs_f64() * 1e9 / number(customers * 400);
        let memory = fold.bytes() as u64;
        println!("customers with grants at 400 nodes: {customers} -> {each:.0} ns a grant");
        points.add(
            "customers with grants",
            number(customers),
            "bytes",
            number(memory),
        );
        black_box(&fold);
    }
    points.print("customer at 400 nodes", "bytes");
}

fn grant(customer: u64, node: u64) -> Grant {
    Grant {
        id: id::Record(Uuid::now_v7()),
        customer: format!("customer-{customer}").parse().expect("a name"),
        node: format!("entry-{node}").parse().expect("a name"),
        period: 1,
        amount: Money::from_micros(10),
        limit: Money::from_micros(1_000_000_000),
        revision: Revision(1),
    }
}

fn configuration_table() {
    let mut bytes = Points::default();
    let mut time = Points::default();
    let mut checkpoint_time = Points::default();
    for contracts in [10, 100, 1_000_u64] {
        let mut state = State::default();
        for number in 0..contracts {
            let change = change(number, Revision(0));
            state.apply(Offset(number), &change);
        }
        let rounds = 200;
        let changes: Vec<Change> = (0..rounds)
            .map(|round| change(round % contracts, Revision(0)))
            .collect();
        let started = Instant::now();
        for (offset, change) in (contracts..).zip(&changes) {
            let base = state.revision(&change.subject);
            let change = Change {
                base,
                id: id::Record(Uuid::now_v7()),
                ..change.clone()
            };
            state.apply(Offset(offset), &change);
        }
        let each = started.elapsed().as_secs_f64() * 1e6 / number(rounds);
        let started = Instant::now();
        let checkpoint = Checkpoint::of(&state);
        let text = serde_json::to_string(&checkpoint).expect("encodes");
        let millis = started.elapsed().as_secs_f64() * 1e3;
        bytes.add(
            "contracts",
            number(contracts),
            "bytes a checkpoint",
            number(text.len() as u64),
        );
        time.add("contracts", number(contracts), "us a change", each);
        checkpoint_time.add("contracts", number(contracts), "ms a checkpoint", millis);
    }
    bytes.print("contract", "bytes");
    time.print("contract", "us");
    checkpoint_time.print("contract", "ms");
}

/// A change of one contract, which is about as large as the contracts in `examples`.
pub fn change(number: u64, base: Revision) -> Change {
    let versions = ["base@1", "base@2", "large@1", "mini@1", "mini@2"];
    let class = |name: &str| Class {
        name: name.parse().expect("a name"),
        versions: versions
            .iter()
            .map(|v| format!("pimento-{v}").parse().expect("a name"))
            .collect(),
        quality: Share::from_parts(900_000),
        priority: 1,
        timeout: Span::from_secs(60),
        output: Tokens(800),
    };
    let contract = Contract {
        customer: format!("customer-{number}").parse().expect("a name"),
        keys: vec![Key::of(&format!("key-{number}"))],
        weight: 1,
        spend: Spend {
            limit: Money::from_micros(1_000_000),
            period: Span::from_secs(86_400),
        },
        classes: ["review", "sheet", "stock"].map(class).into(),
        services: vec!["order-desk".parse().expect("a name")],
    };
    let value = Value::Contract(contract);
    Change {
        id: id::Record(Uuid::now_v7()),
        subject: value.subject(),
        base,
        value: Some(value),
        by: "operator".into(),
        at: Wall::from_millis(START * 1_000),
    }
}
