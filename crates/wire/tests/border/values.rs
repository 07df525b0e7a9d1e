//! Strategies for arbitrary messages.

use compact_str::CompactString;
use pimento_units::Digest;
use pimento_units::Offset;
use pimento_units::Share;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::peer::Call;
use pimento_wire::peer::Current;
use pimento_wire::peer::Departure;
use pimento_wire::peer::Evidence;
use pimento_wire::peer::Heartbeat;
use pimento_wire::peer::LastSeen;
use pimento_wire::peer::Observation;
use pimento_wire::peer::Suspicion;
use proptest::collection::vec;
use proptest::option::of;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use uuid::Uuid;

pub fn text() -> impl Strategy<Value = CompactString> {
    any::<String>().prop_map(CompactString::from)
}

pub fn name<T>() -> impl Strategy<Value = T>
where
    T: TryFrom<CompactString, Error = id::Error> + std::fmt::Debug,
{
    "[a-zA-Z0-9_.@:-]{1,64}".prop_map(|text| T::try_from(text.into()).unwrap())
}

pub fn offset() -> impl Strategy<Value = Offset> {
    any::<u64>().prop_map(Offset)
}

pub fn request() -> impl Strategy<Value = id::Request> {
    any::<u128>().prop_map(|number| id::Request(Uuid::from_u128(number)))
}

pub fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let head = (name(), name(), text(), any::<u64>(), offset());
    let flags = (of(current()), any::<bool>(), any::<bool>());
    let lists = (
        vec(departure(), 0..4),
        vec(name(), 0..4),
        vec(last_seen(), 0..60),
        vec(suspicion(), 0..4),
    );
    (head, flags, lists).prop_map(|(head, flags, lists)| Heartbeat {
        node: head.0,
        zone: head.1,
        address: head.2,
        sequence: head.3,
        offset: head.4,
        current: flags.0,
        tailing: flags.1,
        leaving: flags.2,
        departures: lists.0,
        quarantined: lists.1,
        last_seen: lists.2,
        suspicions: lists.3,
    })
}

fn current() -> impl Strategy<Value = Current> {
    any::<(u64, u64)>().prop_map(|(at, age_ms)| Current {
        at: Wall::from_millis(at),
        age_ms,
    })
}

fn departure() -> impl Strategy<Value = Departure> {
    (name(), any::<u64>()).prop_map(|(endpoint, incarnation)| Departure {
        endpoint,
        incarnation,
    })
}

fn suspicion() -> impl Strategy<Value = Suspicion> {
    let crashed =
        any::<(u64, Option<u64>)>().prop_map(|(endpoint, incarnation)| Observation::Crashed {
            endpoint,
            incarnation,
        });
    let what = prop_oneof![crashed, proptest::strategy::Just(Observation::Answered)];
    (any::<[u8; 4]>(), what, any::<u64>()).prop_map(|(content, what, at)| Suspicion {
        digest: Digest::of([&content[..]]),
        what,
        at: Wall::from_millis(at),
    })
}

fn last_seen() -> impl Strategy<Value = LastSeen> {
    any::<(u32, u64)>().prop_map(|(node, sequence)| LastSeen { node, sequence })
}

pub fn call() -> impl Strategy<Value = Call> {
    let records = vec((offset(), any::<String>()), 0..4);
    let texts = || vec(any::<String>(), 0..4);
    prop_oneof![
        offset().prop_map(|offset| Call::Pull { offset }),
        records.prop_map(|records| Call::Push { records }),
        (name(), texts()).prop_map(|(node, bills)| Call::StoreBills { node, bills }),
        (name(), vec(request(), 0..4))
            .prop_map(|(node, requests)| Call::RemoveBills { node, requests }),
        request().prop_map(|request| Call::FetchAnswer { request }),
        (text(), texts()).prop_map(|(stream, records)| Call::Append { stream, records }),
    ]
}

pub fn evidence() -> impl Strategy<Value = Evidence> {
    let counts = any::<(u32, u32, u32, u32, u32)>();
    (name(), counts, 0_u32..=1_000_000).prop_map(|(version, counts, parts)| Evidence {
        version,
        rated: counts.0,
        passed: counts.1,
        attempts: counts.2,
        failed: counts.3,
        quality: Share::from_parts(parts),
        latency_ms: counts.4,
    })
}
