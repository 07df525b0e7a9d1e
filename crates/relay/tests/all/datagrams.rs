//! Datagrams between VMs of different versions.

use pimento_policy::speed::Sum;
use pimento_relay::incarnation::Incarnation;
use pimento_relay::neighbours::message::AbsenceMessage;
use pimento_relay::neighbours::message::Absences;
use pimento_relay::neighbours::message::Datagram;
use pimento_relay::neighbours::message::Extension;
use pimento_relay::neighbours::message::Handovers;
use pimento_relay::neighbours::message::Measurements;
use pimento_relay::neighbours::message::Message;
use pimento_relay::neighbours::message::Position;
use pimento_relay::neighbours::message::Proofs;
use pimento_relay::neighbours::message::Supplement;
use pimento_relay::neighbours::peer::ReaderStatus;
use pimento_relay::neighbours::speeds::SpeedMessage;
use pimento_relay::rollouts::handover::Handover;
use pimento_relay::rollouts::handover::Loan;
use pimento_relay::rollouts::handover::Snapshot;
use pimento_scheduler::SpeedReport;
use pimento_units::Moment;
use pimento_units::Offset;

use crate::versions::name;

/// The largest number of bytes of an engine's samples in a datagram.
const SPEED_BYTES: usize = 17;

fn speed(engine: u64) -> SpeedMessage {
    let sum = Sum {
        count: 1,
        steps: -15,
    };
    SpeedMessage::from(SpeedReport {
        engine,
        incarnation: u16::MAX,
        sum,
    })
}

fn datagram(speeds: Vec<SpeedMessage>) -> Datagram {
    let message = Message {
        node: name("vm-1"),
        zone: name("a"),
        stamp: Moment::ZERO,
        reader_status: ReaderStatus::Eligible,
        position: Position::default(),
        zones: Vec::new(),
        bundles: Vec::new(),
        proofs: Proofs::default(),
        rollouts: Vec::new(),
        poison: Vec::new(),
        pinned_sessions: Vec::new(),
        waits: vec![(7, 250)],
        prefills: Vec::new(),
        limits: Vec::new(),
    };
    Datagram {
        message,
        extension: Extension::default(),
        supplement: Supplement::default(),
        measurements: Measurements { speeds },
        absences: Absences::default(),
        handovers: Handovers::default(),
    }
}

/// Guards against VMs that ignore each other while half of them run an older version.
#[test]
fn vms_of_different_versions_read_each_others_datagrams() {
    let mut sent = datagram(vec![speed(u64::MAX), speed(1)]);
    sent.absences.misdirected = vec![AbsenceMessage {
        absence: Incarnation::new(&name("engine-1"), 7),
        age_ms: 300,
    }];
    sent.handovers.rollouts = vec![Handover {
        order: Offset(7),
        incarnation: u64::MAX,
        age_ms: Some(2_000),
        ended: None,
        pinned: vec![1, u64::MAX],
        joined: vec![2],
        snapshot: Snapshot::Complete,
        want: 1_500,
        loan: Some(Loan { to: 3, total: 250 }),
    }];
    let bytes = sent.encode().unwrap();
    assert_eq!(Datagram::decode(&bytes).unwrap(), sent);
    // An older VM reads three values and ignores what follows.
    let (message, rest): (Message, _) = postcard::take_from_bytes(&bytes).unwrap();
    let (extension, rest): (Extension, _) = postcard::take_from_bytes(rest).unwrap();
    let (supplement, rest): (Supplement, _) = postcard::take_from_bytes(rest).unwrap();
    assert_eq!(message, sent.message);
    assert_eq!(extension, sent.extension);
    assert_eq!(supplement, sent.supplement);
    // It sends nothing after them.
    let older = &bytes[..bytes.len() - rest.len()];
    assert_eq!(Datagram::decode(older).unwrap(), datagram(Vec::new()));
    // A later version sends more.
    let later = [&bytes[..], &[1, 2, 3]].concat();
    assert_eq!(Datagram::decode(&later).unwrap(), sent);
}

/// Guards against samples that take more of a datagram than the smallest path MTU leaves for them.
#[test]
fn the_samples_of_an_engine_take_few_bytes() {
    let bytes = |speeds| datagram(speeds).encode().unwrap().len();
    let without = bytes(Vec::new());
    assert!(bytes(vec![speed(u64::MAX)]) <= without + SPEED_BYTES);
    assert!(bytes(vec![speed(u64::MAX); 24]) <= without + 24 * SPEED_BYTES);
}
