//! Following a topic: the order of records, the age of the view, and proofs by other VMs' reads.

use std::time::Duration;

use pimento_relay::boot;
use pimento_relay::calls::Reason;
use pimento_relay::follow::Proof;
use pimento_relay::follow::ReadRole;
use pimento_relay::follow::ReadTiming;
use pimento_relay::follow::RecordRange;
use pimento_relay::topic::Record;
use pimento_relay::zone::Stamp;
use pimento_units::Moment;
use pimento_units::Offset;

use crate::fixture::Fixture;
use crate::fixture::MAX_WAIT;
use crate::fixture::QUICK;
use crate::fixture::TIMING;
use crate::log::Behaviour;

#[tokio::test]
async fn records_are_applied_once_and_in_order() {
    let fixture = Fixture::new();
    fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    fixture.log.put("b", Some("1"));
    fixture.log.put("a", None);
    fixture
        .until("three", |f| f.keys() == ["a", "b", "a"])
        .await;
}

// Guards against keys that stay in the view because the log has dropped the records that removed them. The
// follower reads the newest record of each key instead, and removes the keys that are not among them.
#[tokio::test]
async fn keys_that_ended_in_dropped_history_are_removed() {
    let fixture = Fixture::new();
    fixture.log.put("a", Some("1"));
    fixture.log.put("b", Some("1"));
    fixture.until("both", |f| f.keys().len() == 2).await;
    fixture.log.set_behaviour(Behaviour::Refusing);
    fixture.log.put("a", None);
    let next = fixture.log.put("c", Some("1"));
    fixture.log.drop_history(next.0);
    fixture.log.set_behaviour(Behaviour::Healthy);
    fixture
        .until("a removed, c added", |f| {
            let keys = f.keys();
            keys.len() == 4 && keys[2..].contains(&"a".into()) && keys[2..].contains(&"c".into())
        })
        .await;
}

// Guards against a silent connection on which a read never gets an answer. The read times out, and meanwhile
// the age of the view counts from the last answered read.
#[tokio::test]
async fn a_read_without_an_answer_proves_nothing() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.log.set_behaviour(Behaviour::Silent);
    let silent = boot::now();
    tokio::time::sleep(TIMING.timeout + QUICK.wait * 3).await;
    assert!(fixture.follower.proven_at().unwrap() <= silent);
    assert!(fixture.follower.age() >= Some(TIMING.timeout));
    fixture.log.set_behaviour(Behaviour::Healthy);
    fixture
        .until("a new proof", |f| f.follower.proven_at().unwrap() > silent)
        .await;
}

// A served VM makes no calls while nothing changes. Its view is as young as the stamp that the reader
// had received before its read.
#[tokio::test]
async fn a_proof_dates_the_view_by_its_own_stamp() {
    let fixture = Fixture::new();
    let next = fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    fixture.make_served().await;
    let calls = fixture.log.calls();
    let stamp = boot::now();
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp,
    });
    assert_eq!(fixture.follower.proven_at(), Some(stamp));
    assert_eq!(fixture.log.calls(), calls);
}

// A proof that covers a change which this VM has not read proves nothing yet. The VM reads the log at once.
#[tokio::test]
async fn a_proof_with_a_change_makes_the_vm_read() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    let before = fixture.follower.proven_at();
    let next = fixture.log.put("a", Some("1"));
    let stamp = boot::now();
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp,
    });
    assert_eq!(fixture.follower.proven_at(), before);
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// Guards against a proof with a stamp of an earlier incarnation of the VM, whose clock began again. The view
// would look young for as long as that incarnation had lasted.
#[tokio::test]
async fn a_stamp_of_another_incarnation_proves_nothing() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    let before = fixture.follower.proven_at();
    for stamp in [boot::now() + MAX_WAIT, Moment::ZERO] {
        fixture.follower.receive_proof(Proof {
            change_end: Offset::default(),
            read_end: Offset::default(),
            stamp,
        });
        assert_eq!(fixture.follower.proven_at(), before);
    }
}

// Guards against requests to an endpoint that left some time after an outage of the log. This VM made no call
// after the outage, but received the proof of another VM. If the log counted as reachable only from this VM's
// next read on, the endpoint's entry would seem to have expired because of the outage, and the endpoint would
// get requests for two more seconds.
#[tokio::test]
async fn the_log_counts_as_reachable_from_another_vms_proof_on() {
    let fixture = Fixture::new();
    let next = fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    fixture.log.set_behaviour(Behaviour::Refusing);
    // Long enough for the follower to count the log as disconnected.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fixture.zone.read_role.send_replace(ReadRole::Served);
    fixture.log.set_behaviour(Behaviour::Healthy);
    let back = boot::now();
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp: back,
    });
    let proof_received = boot::now();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let next = fixture.log.put("a", None);
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp: boot::now(),
    });
    fixture.until("a removed", |f| f.keys().len() == 2).await;
    let connected_since = fixture.follower.view(|all| all.0[1].2.connected_since);
    assert!(
        connected_since <= proof_received,
        "connected since {connected_since}, proof received {proof_received}"
    );
}

// Guards against a proof with a stamp that arrived only after the read was sent.
#[tokio::test]
async fn a_proof_names_a_stamp_received_before_the_read() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    let node = 7;
    assert_eq!(fixture.follower.proof(node), None);
    let at = Moment::from_millis(1_234);
    fixture.zone.record_stamp(Stamp { node, at }, boot::now());
    fixture
        .until("a proof for it", |f| f.follower.proof(node).is_some())
        .await;
    assert_eq!(fixture.follower.proof(node).unwrap().stamp, at);
}

/// The records from `from` on as the reader forwards them, and the offset after the last of them.
fn forwarded(other: &Fixture, from: Offset) -> (Vec<Vec<Record>>, Offset) {
    let (chunks, to) = other.follower.chunks_from(from);
    (chunks.expect("all records are cached"), to)
}

const fn range(from: Offset, to: Offset, records: Vec<Record>) -> RecordRange {
    RecordRange { from, to, records }
}

// Guards against a call of the log by each VM of a zone when dozens of endpoints register at once. Their
// records take several datagrams, which overtake each other, and the proof that covers them arrives first.
// The records are still applied in order.
#[tokio::test]
async fn records_in_reordered_datagrams_need_no_read() {
    let other = Fixture::new();
    let own = Fixture::new();
    own.make_served().await;
    let calls = own.log.calls();
    let from = own.follower.next_offset().unwrap();
    let long = "x".repeat(500);
    let keys: Vec<String> = (0..6).map(|number| format!("k{number}")).collect();
    for key in &keys {
        other.log.put(key, Some(long.as_str()));
    }
    other.until("six", |f| f.keys().len() == 6).await;
    let (chunks, to) = forwarded(&other, from);
    assert!(chunks.len() > 2, "they fit a datagram");
    let proof = Proof {
        change_end: to,
        read_end: to,
        stamp: boot::now(),
    };
    own.follower.receive_proof(proof);
    let mut start = from;
    let mut sent = Vec::new();
    for records in chunks {
        let end = records.last().map_or(to, |record| record.offset.next());
        sent.push(range(start, end, records));
        start = end;
    }
    for range in sent.into_iter().rev() {
        own.follower.receive(range);
    }
    assert_eq!(own.keys(), keys);
    // The VM checks what it lacks again after the time for reordered datagrams.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(own.log.calls(), calls);
    own.follower.receive_proof(proof);
    assert_eq!(own.follower.proven_at(), Some(proof.stamp));
}

// Records that the reader read and forwarded reach the view without a call of the log, and the reader's
// proof then proves the view.
#[tokio::test]
async fn forwarded_records_need_no_read() {
    let other = Fixture::new();
    let own = Fixture::new();
    for fixture in [&other, &own] {
        fixture.log.put("a", Some("1"));
        fixture.until("a", |f| f.keys() == ["a"]).await;
    }
    own.make_served().await;
    let calls = own.log.calls();
    let from = own.follower.next_offset().unwrap();
    let stamp = boot::now();
    other.log.put("b", Some("1"));
    other.log.put("a", None);
    other.until("three", |f| f.keys() == ["a", "b", "a"]).await;
    let (chunks, to) = forwarded(&other, from);
    own.follower.receive(range(from, to, chunks.concat()));
    own.follower.receive_proof(Proof {
        change_end: to,
        read_end: to,
        stamp,
    });
    assert_eq!(own.keys(), ["a", "b", "a"]);
    assert_eq!(own.follower.proven_at(), Some(stamp));
    assert_eq!(own.log.calls(), calls);
}

// Guards against records that are skipped because their datagram was lost. The records of the next datagram
// must not be applied; the VM reads the log instead.
#[tokio::test]
async fn records_after_a_gap_are_read_instead() {
    let own = Fixture::new();
    own.make_served().await;
    own.log.put("lost", Some("1"));
    let from = own.log.put("c", Some("1"));
    let record = Record {
        offset: from,
        key: "d".into(),
        value: Some(bytes::Bytes::from_static(b"1")),
    };
    let to = own.log.put("d", Some("1"));
    own.follower.receive(range(from, to, vec![record]));
    assert!(own.keys().is_empty());
    own.follower.receive_proof(Proof {
        change_end: to,
        read_end: to,
        stamp: boot::now(),
    });
    own.until("all three", |f| f.keys() == ["lost", "c", "d"])
        .await;
}

// Guards against records that arrive late, or a second time, and revert newer ones in the view.
#[tokio::test]
async fn late_records_revert_nothing() {
    let other = Fixture::new();
    other
        .until("read", |f| f.follower.next_offset().is_some())
        .await;
    other.log.put("a", Some("1"));
    other.until("a", |f| f.keys() == ["a"]).await;
    let own = Fixture::new();
    own.log.put("a", Some("1"));
    own.log.put("a", None);
    own.until("read", |f| f.follower.next_offset() == Some(Offset(2)))
        .await;
    own.make_served().await;
    let before = own.keys();
    let (chunks, to) = forwarded(&other, Offset(0));
    own.follower.receive(range(Offset(0), to, chunks.concat()));
    assert_eq!(own.keys(), before);
    assert_eq!(own.follower.next_offset(), Some(Offset(2)));
}

// If a record is too large to be forwarded, or some are no longer cached, nothing is forwarded and the other
// VMs must read the log. An incomplete list would leave their views without those records.
#[tokio::test]
async fn records_that_are_not_cached_are_not_forwarded() {
    let other = Fixture::new();
    other
        .until("read", |f| f.follower.next_offset().is_some())
        .await;
    let large: &'static str = Box::leak("x".repeat(9_000).into_boxed_str());
    other.log.put("large", Some(large));
    other.until("large", |f| f.keys() == ["large"]).await;
    assert_eq!(other.follower.chunks_from(Offset(0)).0, None);
    assert!(other.follower.chunks_from(Offset(1)).0.is_some());
    for _ in 0..2_000 {
        other.log.put("b", Some("1"));
    }
    other.until("all", |f| f.keys().len() == 2_001).await;
    assert_eq!(other.follower.chunks_from(Offset(1)).0, None);
    let (chunks, to) = forwarded(&other, Offset(1_990));
    let offsets: Vec<u64> = chunks.concat().iter().map(|r| r.offset.0).collect();
    assert_eq!(offsets, (1_990..2_001).collect::<Vec<u64>>());
    assert_eq!(to, Offset(2_001));
}

// Guards against a call of the log for each proof. The log refuses this VM and serves its reader, which
// announces a change again and again. Refused calls are paid for, so that the VM must back off.
#[tokio::test]
async fn proofs_do_not_shorten_the_backoff_of_a_refused_vm() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    let next = fixture.log.put("a", Some("1"));
    fixture.log.set_behaviour(Behaviour::Refusing);
    let calls = fixture.log.calls();
    for _ in 0..100 {
        fixture.follower.receive_proof(Proof {
            change_end: next,
            read_end: next,
            stamp: boot::now(),
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let refused = fixture.log.calls() - calls;
    assert!((1..=10).contains(&refused), "{refused} calls in a second");
    fixture.log.set_behaviour(Behaviour::Healthy);
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// Guards against a VM that counts as disconnected although its reader's proofs arrive every two seconds. The
// log refuses the VM and serves the reader. By its own reads alone the VM would disconnect and reconnect with
// each proof, and every entry that ended meanwhile would seem to have expired because of an outage.
#[tokio::test]
async fn a_refused_vm_stays_connected_through_its_readers_proofs() {
    let timing = ReadTiming {
        max_proof_age: Duration::from_millis(1_500),
        ..TIMING
    };
    let fixture = Fixture::with_timing(timing);
    fixture.make_served().await;
    fixture.log.set_behaviour(Behaviour::Refusing);
    for _ in 0..4 {
        fixture.follower.receive_proof(Proof {
            change_end: Offset::default(),
            read_end: Offset::default(),
            stamp: boot::now(),
        });
        // The VM begins to read once the proof is older than its timing allows.
        tokio::time::sleep(Duration::from_millis(1_900)).await;
    }
    assert_eq!(fixture.follower.view(|all| all.1), 0);
}

// Guards against a change that is read late after a single announcement. It arrives while the log refuses
// this VM, and no other follows. The VM must read as soon as the log serves it again, not only when its last
// proof is too old.
#[tokio::test]
async fn a_change_that_could_not_be_read_is_read_later() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    let next = fixture.log.put("a", Some("1"));
    fixture.log.set_behaviour(Behaviour::Refusing);
    let calls = fixture.log.calls();
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp: boot::now(),
    });
    fixture
        .until("a refused read", |f| f.log.calls() > calls)
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.log.set_behaviour(Behaviour::Healthy);
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

#[tokio::test]
async fn calls_are_counted_by_reason() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    let next = fixture.log.put("a", Some("1"));
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp: boot::now(),
    });
    fixture.until("a", |f| f.keys() == ["a"]).await;
    let counts = fixture.calls.counts();
    let calls = |reason| {
        let count = counts.iter().find(|count| count.reason == reason);
        count.map_or(0, |count| count.calls)
    };
    assert_eq!(calls(Reason::Start), 1);
    assert_eq!(calls(Reason::Lacking), 1);
    assert_eq!(calls(Reason::Unproven), 0);
}

// Guards against a VM that reads the log for records which it has just received: a proof that arrived before
// the records counts once they have arrived.
#[tokio::test]
async fn a_proof_counts_once_its_records_have_arrived() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    fixture.log.set_behaviour(Behaviour::Silent);
    let from = fixture.follower.next_offset().unwrap();
    let next = fixture.log.put("a", Some("1"));
    let stamp = boot::now();
    let change_end = next;
    fixture.follower.receive_proof(Proof {
        change_end,
        read_end: change_end,
        stamp,
    });
    assert!(fixture.follower.proven_at() < Some(stamp));
    fixture.follower.receive(RecordRange {
        from,
        to: next,
        records: vec![Record {
            offset: from,
            key: "a".into(),
            value: Some("1".into()),
        }],
    });
    assert_eq!(fixture.follower.proven_at(), Some(stamp));
}

// Guards against each VM of a zone reading the log when all endpoints of a service are replaced at once.
#[tokio::test]
async fn records_of_endpoints_replaced_together_are_forwarded() {
    let other = Fixture::new();
    let own = Fixture::new();
    own.make_served().await;
    let from = own.follower.next_offset().unwrap();
    for place in 0..400 {
        other.log.put(&format!("old-{place}"), None);
        other.log.put(&format!("new-{place}"), Some("1"));
    }
    other.until("all", |f| f.keys().len() == 800).await;
    let calls = own.log.calls();
    let (chunks, to) = forwarded(&other, from);
    let mut start = from;
    for records in chunks {
        let end = records.last().unwrap().offset.next();
        own.follower.receive(range(start, end, records));
        start = end;
    }
    assert_eq!(own.follower.next_offset(), Some(to));
    assert_eq!(own.keys().len(), 800);
    assert_eq!(own.log.calls(), calls);
}
