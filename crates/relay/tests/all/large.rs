//! Following a topic whose answers are large, late or missing.

use std::time::Duration;

use compact_str::CompactString;
use pimento_relay::boot;
use pimento_relay::follow::Lead;
use pimento_relay::follow::Proof;
use pimento_relay::follow::answer_timeout;
use pimento_relay::follow::max_backoff;
use pimento_units::Offset;

use crate::fixture::Fixture;
use crate::fixture::TIMING;
use crate::log::Memory;
use crate::log::Mood;

// An answer takes several times as long as a silent log is waited for, and comes steadily all the while.
// Under a bound on the whole answer each read was given up before its end and begun anew from its first
// byte, for ever, and callers were served by a view that no longer changed.
#[tokio::test]
async fn an_answer_that_keeps_coming_is_waited_for() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.log.set(Mood::Long(TIMING.timeout / 4));
    fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    assert!(fixture.follower.confirm(boot::now()).await);
    assert_eq!(fixture.follower.read_counts().given_up, 0);
}

// An answer begins and then nothing more of it comes: its connection fell silent. The read is given up
// and made again, and the view changes as soon as the log answers.
#[tokio::test]
async fn an_answer_that_stops_coming_is_given_up() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.log.set(Mood::Broken);
    fixture
        .until("reads given up", |f| f.follower.read_counts().given_up > 1)
        .await;
    assert!(!fixture.follower.confirm(boot::now()).await);
    fixture.log.set(Mood::Well);
    fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// A VM is told of records that the log does not hold, by a datagram that is false or of another log. It
// reads, finds that they are not there, and no longer holds itself for behind. Otherwise it would read the
// log at each word and refuse its callers, until the log holds as many records.
#[tokio::test]
async fn word_of_records_that_do_not_exist_is_dropped() {
    let fixture = Fixture::new();
    fixture.led().await;
    fixture.follower.receive_proof(Proof {
        changed: Offset(1_000),
        stamp: boot::now(),
    });
    assert!(fixture.follower.behind().is_some());
    fixture
        .until("word refuted", |f| f.follower.behind().is_none())
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let calls = fixture.log.calls();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.log.calls(), calls);
}

// A VM knows that it lacks a change, and for how long, until it has read it.
#[tokio::test]
async fn a_view_knows_how_long_it_is_behind() {
    let fixture = Fixture::new();
    fixture.led().await;
    assert_eq!(fixture.follower.behind(), None);
    fixture.log.set(Mood::Down);
    let next = fixture.log.put("a", Some("1"));
    let told = boot::now();
    for _ in 0..3 {
        fixture.follower.receive_proof(Proof {
            changed: next,
            stamp: boot::now(),
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let behind = fixture.follower.behind().unwrap();
    assert!(behind >= Duration::from_millis(150), "{behind:?}");
    assert!(behind <= boot::now().since(told), "{behind:?}");
    fixture.log.set(Mood::Well);
    fixture.until("a", |f| f.keys() == ["a"]).await;
    assert_eq!(fixture.follower.behind(), None);
}

// A large answer is coming over a slow link when a caller asks for a route that it may add. The caller's
// question waits for it: a second read would fetch the same records, and each would take twice as long.
#[tokio::test]
async fn a_confirmation_does_not_fetch_what_is_coming() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    let pause = TIMING.timeout / 4;
    fixture.log.set(Mood::Long(pause));
    tokio::time::sleep(pause * 2).await;
    fixture.log.put("a", Some("1"));
    let follower = fixture.follower.clone();
    let asked = tokio::spawn(async move { follower.confirm(boot::now()).await });
    fixture.until("a", |f| f.keys() == ["a"]).await;
    assert_eq!(fixture.log.overlapping(), 0);
    assert!(asked.await.unwrap());
}

// The log was out for long, and the VMs of a large zone that others read for ask it seldom. When it is
// back, operators write a configuration too large to be handed on. A VM that is told of it while it rests
// must read it itself: resting as long as one that lacks nothing, it refused its callers meanwhile.
#[test]
fn a_vm_that_lacks_a_change_rests_less() {
    for others in [0, 5, 16, 400] {
        let rests = max_backoff(Lead::Led, others, false);
        let lacks = max_backoff(Lead::Led, others, true);
        assert!(lacks <= rests, "{others}: {lacks:?}, {rests:?}");
        assert!(lacks <= Duration::from_millis(1_200), "{lacks:?}");
    }
    let large = max_backoff(Lead::Led, 16, false);
    let small = max_backoff(Lead::Led, 2, false);
    assert!(
        large > small,
        "a large zone asks a log that is out less often"
    );
    for role in [Lead::Alone, Lead::Leading] {
        assert!(max_backoff(role, 16, false) < small);
    }
}

// A large configuration is written, and the log, which all VMs ask for it at once, begins to answer after
// several times the time that a silent log is waited for. Each VM gave up before its turn and asked anew,
// so that the log worked on answers that nobody waited for any more: no VM got the configuration until the
// end of the day, and all refused their callers.
#[tokio::test]
async fn a_log_that_is_busy_with_a_change_is_waited_for_longer() {
    let fixture = Fixture::new();
    fixture.led().await;
    fixture.log.set(Mood::Busy(TIMING.timeout * 3));
    let next = fixture.log.put("a", Some("1"));
    fixture.follower.receive_proof(Proof {
        changed: next,
        stamp: boot::now(),
    });
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// The same for VMs that start all at once: each has everything to read.
#[tokio::test]
async fn a_log_that_is_busy_with_starts_is_waited_for_longer() {
    let log = Memory::new();
    log.put("a", Some("1"));
    log.set(Mood::Busy(TIMING.timeout * 3));
    let fixture = Fixture::over(log, TIMING);
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// A silent log is not waited for longer where nothing is known to be missing: its return would go unnoticed.
#[test]
fn only_a_view_that_lacks_something_waits_longer() {
    for silent in 0..10 {
        assert_eq!(answer_timeout(&TIMING, false, silent), TIMING.timeout);
        assert!(answer_timeout(&TIMING, true, silent) <= answer_timeout(&TIMING, true, silent + 1));
        assert!(answer_timeout(&TIMING, true, silent) <= TIMING.timeout * 4);
    }
    assert_eq!(answer_timeout(&TIMING, true, 0), TIMING.timeout);
    assert_eq!(answer_timeout(&TIMING, true, 1), TIMING.timeout * 2);
}

/// Keys of the records that another VM can have from an offset on.
fn kept(fixture: &Fixture, from: u64) -> Option<Vec<CompactString>> {
    let (records, _) = fixture.follower.records_from(Offset(from));
    Some(records?.into_iter().map(|record| record.key).collect())
}

// A record too large for datagrams is kept for those that ask for it. Of two with one key only the newer
// is, which is all that there is to know; of another key, whoever lacks the older one must read the log.
#[tokio::test]
async fn one_large_record_is_kept_for_those_that_lack_it() {
    let fixture = Fixture::new();
    fixture
        .until("read", |f| f.follower.next_offset().is_some())
        .await;
    let large: &'static str = Box::leak("x".repeat(9_000).into_boxed_str());
    for (key, value) in [("a", "1"), ("config", large), ("b", "1"), ("config", large)] {
        fixture.log.put(key, Some(value));
    }
    fixture.until("four", |f| f.keys().len() == 4).await;
    let all = ["a", "b", "config"].map(CompactString::from);
    assert_eq!(kept(&fixture, 0).unwrap(), all);
    assert_eq!(fixture.follower.chunks_from(Offset(0)).0, None);
    fixture.log.put("other", Some(large));
    fixture.until("five", |f| f.keys().len() == 5).await;
    assert_eq!(kept(&fixture, 3), None);
    assert_eq!(kept(&fixture, 4).unwrap(), ["other"]);
}
