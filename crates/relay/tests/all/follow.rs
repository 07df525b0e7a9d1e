//! Following a topic: order, age, and what another VM's reads prove.

use std::time::Duration;

use pimento_relay::boot;
use pimento_relay::calls::Reason;
use pimento_relay::follow::Lead;
use pimento_relay::follow::Proof;
use pimento_relay::follow::RecordRange;
use pimento_relay::follow::Timing;
use pimento_relay::topic::Record;
use pimento_relay::zone::Stamp;
use pimento_units::Moment;
use pimento_units::Offset;

use crate::fixture::Fixture;
use crate::fixture::PATIENCE;
use crate::fixture::QUICK;
use crate::fixture::TIMING;
use crate::log::Mood;

#[tokio::test]
async fn records_come_once_and_in_order() {
    let fixture = Fixture::new();
    fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    fixture.log.put("b", Some("1"));
    fixture.log.put("a", None);
    fixture
        .until("three", |f| f.keys() == ["a", "b", "a"])
        .await;
}

// The log has dropped its history, and with it the record that ended a key. The follower reads the
// newest of each key instead, and ends the keys that are no longer there.
#[tokio::test]
async fn what_vanished_with_the_history_is_dropped() {
    let fixture = Fixture::new();
    fixture.log.put("a", Some("1"));
    fixture.log.put("b", Some("1"));
    fixture.until("both", |f| f.keys().len() == 2).await;
    fixture.log.set(Mood::Down);
    fixture.log.put("a", None);
    let next = fixture.log.put("c", Some("1"));
    fixture.log.forget(next.0);
    fixture.log.set(Mood::Well);
    fixture
        .until("a ended, c begun", |f| {
            let keys = f.keys();
            keys.len() == 4 && keys[2..].contains(&"a".into()) && keys[2..].contains(&"c".into())
        })
        .await;
}

// A connection fell silent: a read gets no answer for ever. It is given up, and the age of the view
// meanwhile counts from the last read that was answered.
#[tokio::test]
async fn a_read_without_an_answer_proves_nothing() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.log.set(Mood::Silent);
    let silent = boot::now();
    tokio::time::sleep(TIMING.timeout + QUICK.wait * 3).await;
    assert!(fixture.follower.proven_at().unwrap() <= silent);
    assert!(!fixture.follower.confirm(boot::now()).await);
    fixture.log.set(Mood::Well);
    fixture
        .until("a new proof", |f| f.follower.proven_at().unwrap() > silent)
        .await;
}

// Another VM reads for this one. While nothing changes this one makes no calls, and its view is as
// young as the stamp that the other one had before its read.
#[tokio::test]
async fn another_vms_read_proves_the_view_as_of_the_own_stamp() {
    let fixture = Fixture::new();
    let next = fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    fixture.led().await;
    let calls = fixture.log.calls();
    let stamp = boot::now();
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp,
    });
    assert_eq!(fixture.follower.proven_at(), Some(stamp));
    assert_eq!(fixture.log.calls(), calls);
}

// Something changed that this VM has not read. The other VM's word is no proof then: the VM reads by
// itself, at once.
#[tokio::test]
async fn word_of_a_change_is_no_proof_but_makes_the_vm_read() {
    let fixture = Fixture::new();
    fixture.led().await;
    let before = fixture.follower.proven_at();
    let next = fixture.log.put("a", Some("1"));
    let stamp = boot::now();
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp,
    });
    assert_eq!(fixture.follower.proven_at(), before);
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// A VM was started anew and its clock began again, while others still have the stamp of its former
// life. Taken as a proof it would make the view look young for as long as that life had lasted.
#[tokio::test]
async fn a_stamp_of_another_life_proves_nothing() {
    let fixture = Fixture::new();
    fixture.led().await;
    let before = fixture.follower.proven_at();
    for stamp in [boot::now() + PATIENCE, Moment::ZERO] {
        fixture.follower.receive_proof(Proof {
            changed: Offset::default(),
            stamp,
        });
        assert_eq!(fixture.follower.proven_at(), before);
    }
}

// The log was out; other VMs found it back and vouched for this one, which made no call. Seconds
// later an endpoint leaves for good. It was not the outage that ended its entry, so it must count as
// gone at once: with the outage's grace it went on getting requests for two seconds.
#[tokio::test]
async fn the_logs_return_counts_from_when_another_vm_vouched() {
    let fixture = Fixture::new();
    let next = fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    fixture.log.set(Mood::Down);
    // Long enough that the follower knows itself to be out of touch.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fixture.zone.lead.send_replace(Lead::Led);
    fixture.log.set(Mood::Well);
    let back = boot::now();
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp: back,
    });
    let vouched = boot::now();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let next = fixture.log.put("a", None);
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp: boot::now(),
    });
    fixture.until("a ended", |f| f.keys().len() == 2).await;
    let connected_since = fixture.follower.view(|all| all.0[1].2.connected_since);
    assert!(
        connected_since <= vouched,
        "in touch since {connected_since}, vouched {vouched}"
    );
}

// What this VM proves to another: only what it read after it had the other one's stamp.
#[tokio::test]
async fn a_proof_names_a_stamp_that_came_before_the_read() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    let node = 7;
    assert_eq!(fixture.follower.proof(node), None);
    let at = Moment::from_millis(1_234);
    fixture.zone.record_stamp(Stamp { node, at });
    fixture
        .until("a proof for it", |f| f.follower.proof(node).is_some())
        .await;
    assert_eq!(fixture.follower.proof(node).unwrap().stamp, at);
}

/// What another VM that reads for this one has read since `from`.
fn handed(other: &Fixture, from: Offset) -> (Vec<Vec<Record>>, Offset) {
    let (parts, to) = other.follower.chunks_from(from);
    (parts.expect("all records are kept"), to)
}

const fn range(from: Offset, to: Offset, records: Vec<Record>) -> RecordRange {
    RecordRange { from, to, records }
}

// Dozens of endpoints register at once, and their records take several datagrams, which overtake each
// other; the word that tells of them comes first. All are taken in their order and no VM of the zone
// calls the log: before, each one did for each such burst.
#[tokio::test]
async fn records_that_overtake_each_other_need_no_read() {
    let other = Fixture::new();
    let own = Fixture::new();
    own.led().await;
    let calls = own.log.calls();
    let from = own.follower.next_offset().unwrap();
    let long = "x".repeat(500);
    let keys: Vec<String> = (0..6).map(|number| format!("k{number}")).collect();
    for key in &keys {
        other.log.put(key, Some(long.as_str()));
    }
    other.until("six", |f| f.keys().len() == 6).await;
    let (parts, to) = handed(&other, from);
    assert!(parts.len() > 2, "they fit a datagram");
    let word = Proof {
        changed: to,
        stamp: boot::now(),
    };
    own.follower.receive_proof(word);
    let mut begins = from;
    let mut sent = Vec::new();
    for records in parts {
        let ends = records.last().map_or(to, |record| record.offset.next());
        sent.push(range(begins, ends, records));
        begins = ends;
    }
    for range in sent.into_iter().rev() {
        own.follower.receive(range);
    }
    assert_eq!(own.keys(), keys);
    // The word is looked at again once what came beside it had its time.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(own.log.calls(), calls);
    own.follower.receive_proof(word);
    assert_eq!(own.follower.proven_at(), Some(word.stamp));
}

// Dozens of endpoints are replaced. One VM of the zone reads so and hands the records on: the others
// know them without a call of the log, and its word then proves their view.
#[tokio::test]
async fn records_that_are_handed_on_need_no_read() {
    let other = Fixture::new();
    let own = Fixture::new();
    for fixture in [&other, &own] {
        fixture.log.put("a", Some("1"));
        fixture.until("a", |f| f.keys() == ["a"]).await;
    }
    own.led().await;
    let calls = own.log.calls();
    let from = own.follower.next_offset().unwrap();
    let stamp = boot::now();
    other.log.put("b", Some("1"));
    other.log.put("a", None);
    other.until("three", |f| f.keys() == ["a", "b", "a"]).await;
    let (parts, to) = handed(&other, from);
    own.follower.receive(range(from, to, parts.concat()));
    own.follower.receive_proof(Proof { changed: to, stamp });
    assert_eq!(own.keys(), ["a", "b", "a"]);
    assert_eq!(own.follower.proven_at(), Some(stamp));
    assert_eq!(own.log.calls(), calls);
}

// A datagram with records was lost. Those of the next one must not be taken, or what the lost one
// said would never be known: the VM reads by itself.
#[tokio::test]
async fn records_after_a_gap_are_read_instead() {
    let own = Fixture::new();
    own.led().await;
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
        changed: to,
        stamp: boot::now(),
    });
    own.until("all three", |f| f.keys() == ["lost", "c", "d"])
        .await;
}

// Records come again, or late, after the view has moved on. Nothing is taken back.
#[tokio::test]
async fn records_that_come_late_take_nothing_back() {
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
    own.led().await;
    let before = own.keys();
    let (parts, to) = handed(&other, Offset(0));
    own.follower.receive(range(Offset(0), to, parts.concat()));
    assert_eq!(own.keys(), before);
    assert_eq!(own.follower.next_offset(), Some(Offset(2)));
}

// A record is too large to be handed on, or so many changed that some are no longer kept. Whoever
// lacks them must hear so, and read.
#[tokio::test]
async fn records_that_are_not_kept_are_not_handed_on() {
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
    let (parts, to) = handed(&other, Offset(1_990));
    let offsets: Vec<u64> = parts.concat().iter().map(|r| r.offset.0).collect();
    assert_eq!(offsets, (1_990..2_001).collect::<Vec<u64>>());
    assert_eq!(to, Offset(2_001));
}

// The log turns this VM away while it serves the VM that reads for it, which tells of a change again
// and again. Each refused call is paid for: the VM asks less and less often, not at each word.
#[tokio::test]
async fn word_of_a_change_does_not_hasten_a_vm_that_is_turned_away() {
    let fixture = Fixture::new();
    fixture.led().await;
    let next = fixture.log.put("a", Some("1"));
    fixture.log.set(Mood::Down);
    let calls = fixture.log.calls();
    for _ in 0..100 {
        fixture.follower.receive_proof(Proof {
            changed: next,
            stamp: boot::now(),
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let refused = fixture.log.calls() - calls;
    assert!((1..=10).contains(&refused), "{refused} calls in a second");
    fixture.log.set(Mood::Well);
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// The log turns this VM away and serves the one that reads for it, whose word comes every second. The
// VM is in touch by that word all the while. By its own reads it fell out of touch and back with each
// word, and every entry that ended meanwhile seemed to have been ended by an outage.
#[tokio::test]
async fn a_vm_that_is_turned_away_is_in_touch_by_anothers_word() {
    let timing = Timing {
        max_proof_age: Duration::from_millis(1_500),
        ..TIMING
    };
    let fixture = Fixture::with(timing);
    fixture.led().await;
    fixture.log.set(Mood::Down);
    for _ in 0..4 {
        fixture.follower.receive_proof(Proof {
            changed: Offset::default(),
            stamp: boot::now(),
        });
        // Reads begin once the word is older than the trust in it.
        tokio::time::sleep(Duration::from_millis(1_900)).await;
    }
    assert_eq!(fixture.follower.view(|all| all.1), 0);
}

// One word of a change comes while the log turns this VM away, and no other follows. The VM knows that
// it lacks something: it reads as soon as the log serves it again, not when its trust in the other
// VM's last proof is used up.
#[tokio::test]
async fn a_change_that_could_not_be_read_is_read_later() {
    let fixture = Fixture::new();
    fixture.led().await;
    let next = fixture.log.put("a", Some("1"));
    fixture.log.set(Mood::Down);
    let calls = fixture.log.calls();
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp: boot::now(),
    });
    fixture
        .until("a refused read", |f| f.log.calls() > calls)
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.log.set(Mood::Well);
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

#[tokio::test]
async fn calls_are_counted_by_reason() {
    let fixture = Fixture::new();
    fixture.led().await;
    let next = fixture.log.put("a", Some("1"));
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp: boot::now(),
    });
    fixture.until("a", |f| f.keys() == ["a"]).await;
    assert!(fixture.follower.confirm(boot::now()).await);
    let counts = fixture.calls.counts();
    let calls = |reason| {
        let count = counts.iter().find(|count| count.reason == reason);
        count.map_or(0, |count| count.calls)
    };
    assert_eq!(calls(Reason::Start), 1);
    assert_eq!(calls(Reason::Lacking), 1);
    assert_eq!(calls(Reason::Confirm), 1);
    assert_eq!(calls(Reason::Unproven), 0);
}

// Guards against a VM that reads the log for what it has just been handed: the proof that came before the
// records counts once they are there.
#[tokio::test]
async fn a_proof_counts_once_its_records_are_there() {
    let fixture = Fixture::new();
    fixture.led().await;
    fixture.log.set(Mood::Silent);
    let from = fixture.follower.next_offset().unwrap();
    let next = fixture.log.put("a", Some("1"));
    let stamp = boot::now();
    let changed = next;
    fixture.follower.receive_proof(Proof { changed, stamp });
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
async fn endpoints_that_are_replaced_together_are_handed_on() {
    let other = Fixture::new();
    let own = Fixture::new();
    own.led().await;
    let from = own.follower.next_offset().unwrap();
    for place in 0..400 {
        other.log.put(&format!("old-{place}"), None);
        other.log.put(&format!("new-{place}"), Some("1"));
    }
    other.until("all", |f| f.keys().len() == 800).await;
    let calls = own.log.calls();
    let (parts, to) = handed(&other, from);
    let mut begins = from;
    for records in parts {
        let ends = records.last().unwrap().offset.next();
        own.follower.receive(range(begins, ends, records));
        begins = ends;
    }
    assert_eq!(own.follower.next_offset(), Some(to));
    assert_eq!(own.keys().len(), 800);
    assert_eq!(own.log.calls(), calls);
}
