//! Following a topic whose answers are large, late or missing.

use std::time::Duration;

use compact_str::CompactString;
use pimento_relay::boot;
use pimento_relay::follow::Proof;
use pimento_relay::follow::ReadRole;
use pimento_relay::follow::answer_timeout;
use pimento_relay::follow::max_backoff;
use pimento_units::Offset;

use crate::fixture::Fixture;
use crate::fixture::TIMING;
use crate::log::Behaviour;
use crate::log::MemoryLog;

// Guards against a timeout of the whole answer instead of the time without data. An answer takes several
// times the timeout and arrives steadily. Each read was given up before its end and begun again, for ever,
// and callers were served from a view that no longer changed.
#[tokio::test]
async fn an_answer_that_keeps_arriving_does_not_time_out() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture
        .log
        .set_behaviour(Behaviour::Slow(TIMING.timeout / 4));
    fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    let now = boot::now();
    fixture
        .until("a later proof", |f| f.follower.proven_at() > Some(now))
        .await;
    assert_eq!(fixture.follower.read_counts().given_up, 0);
}

// Guards against a read that never ends because its connection falls silent within an answer. It times out
// and is retried, and the view changes as soon as the log answers.
#[tokio::test]
async fn an_answer_that_stops_arriving_times_out() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.log.set_behaviour(Behaviour::Stalled);
    fixture
        .until("timeouts", |f| f.follower.read_counts().given_up > 1)
        .await;
    assert!(fixture.follower.age() > Some(TIMING.timeout));
    fixture.log.set_behaviour(Behaviour::Healthy);
    fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// Guards against a datagram that announces records which the log does not hold, because it is false or about
// another log. The VM reads, finds that the records are missing, and no longer counts as behind. Otherwise
// it would read the log at each proof and refuse callers until the log holds as many records.
#[tokio::test]
async fn an_announcement_of_records_that_do_not_exist_is_dropped() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    fixture.follower.receive_proof(Proof {
        change_end: Offset(1_000),
        read_end: Offset(1_000),
        stamp: boot::now(),
    });
    assert!(fixture.follower.behind().is_some());
    fixture
        .until("announcement dropped", |f| f.follower.behind().is_none())
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let calls = fixture.log.calls();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.log.calls(), calls);
}

// A VM knows for how long it has lacked an announced change, until it has read the change.
#[tokio::test]
async fn a_view_knows_how_long_it_is_behind() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    assert_eq!(fixture.follower.behind(), None);
    fixture.log.set_behaviour(Behaviour::Refusing);
    let next = fixture.log.put("a", Some("1"));
    let announced = boot::now();
    for _ in 0..3 {
        fixture.follower.receive_proof(Proof {
            change_end: next,
            read_end: next,
            stamp: boot::now(),
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let behind = fixture.follower.behind().unwrap();
    assert!(behind >= Duration::from_millis(150), "{behind:?}");
    assert!(behind <= boot::now().since(announced), "{behind:?}");
    fixture.log.set_behaviour(Behaviour::Healthy);
    fixture.until("a", |f| f.keys() == ["a"]).await;
    assert_eq!(fixture.follower.behind(), None);
}

// Guards against a second read while a large answer is arriving over a slow link. It would fetch the same
// records again, and both reads would take twice as long.
#[tokio::test]
async fn a_running_answer_is_not_read_twice() {
    let fixture = Fixture::new();
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    let pause = TIMING.timeout / 4;
    fixture.log.set_behaviour(Behaviour::Slow(pause));
    tokio::time::sleep(pause * 2).await;
    let next = fixture.log.put("a", Some("1"));
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp: boot::now(),
    });
    fixture.until("a", |f| f.keys() == ["a"]).await;
    assert_eq!(fixture.log.overlapping(), 0);
}

// Guards against a VM that refuses callers for the whole backoff of a large zone. After a long outage
// served VMs call the log seldom. When it is reachable again, operators write a configuration that is too
// large to be forwarded, and a VM that receives the announcement during its backoff must read it itself.
#[test]
fn a_vm_that_lacks_a_change_backs_off_less() {
    for others in [0, 5, 16, 400] {
        let current = max_backoff(ReadRole::Served, others, false);
        let lacking = max_backoff(ReadRole::Served, others, true);
        assert!(lacking <= current, "{others}: {lacking:?}, {current:?}");
        assert!(lacking <= Duration::from_millis(1_200), "{lacking:?}");
    }
    let large = max_backoff(ReadRole::Served, 16, false);
    let small = max_backoff(ReadRole::Served, 2, false);
    assert!(
        large > small,
        "the VMs of a large zone call an unreachable log less often"
    );
    for role in [ReadRole::Alone, ReadRole::Reader] {
        assert!(max_backoff(role, 16, false) < small);
    }
}

// Guards against a log that stays busy with abandoned answers. All VMs read a large configuration at once,
// and the log begins to answer after several times the timeout. Each VM gave up before its turn and asked
// again, so that the log worked on answers that nobody waited for. No VM got the configuration until the end
// of the day, and all refused their callers.
#[tokio::test]
async fn the_timeout_grows_while_the_log_is_busy_with_a_change() {
    let fixture = Fixture::new();
    fixture.make_served().await;
    fixture
        .log
        .set_behaviour(Behaviour::Delayed(TIMING.timeout * 3));
    let next = fixture.log.put("a", Some("1"));
    fixture.follower.receive_proof(Proof {
        change_end: next,
        read_end: next,
        stamp: boot::now(),
    });
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// The same for VMs that all start at once, each of which reads the whole topic.
#[tokio::test]
async fn the_timeout_grows_while_the_log_is_busy_with_starts() {
    let log = MemoryLog::new();
    log.put("a", Some("1"));
    log.set_behaviour(Behaviour::Delayed(TIMING.timeout * 3));
    let fixture = Fixture::with_log(log, TIMING);
    fixture.until("a", |f| f.keys() == ["a"]).await;
}

// Guards against a log whose recovery goes unnoticed for longer because of a timeout that grows although no
// change is known to be missing.
#[test]
fn the_timeout_grows_only_for_a_view_that_lacks_a_change() {
    for silent in 0..10 {
        assert_eq!(answer_timeout(&TIMING, false, silent), TIMING.timeout);
        assert!(answer_timeout(&TIMING, true, silent) <= answer_timeout(&TIMING, true, silent + 1));
        assert!(answer_timeout(&TIMING, true, silent) <= TIMING.timeout * 4);
    }
    assert_eq!(answer_timeout(&TIMING, true, 0), TIMING.timeout);
    assert_eq!(answer_timeout(&TIMING, true, 1), TIMING.timeout * 2);
}

/// Keys of the cached records from an offset on.
fn cached(fixture: &Fixture, from: u64) -> Option<Vec<CompactString>> {
    let (records, _) = fixture.follower.records_from(Offset(from));
    Some(records?.into_iter().map(|record| record.key).collect())
}

// A record too large for datagrams is cached for the VMs that request it. Of two with the same key the newer
// one is enough. If the newer one has another key, a VM that lacks the older one must read the log.
#[tokio::test]
async fn one_large_record_is_cached_for_other_vms() {
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
    assert_eq!(cached(&fixture, 0).unwrap(), all);
    assert_eq!(fixture.follower.chunks_from(Offset(0)).0, None);
    fixture.log.put("other", Some(large));
    fixture.until("five", |f| f.keys().len() == 5).await;
    assert_eq!(cached(&fixture, 3), None);
    assert_eq!(cached(&fixture, 4).unwrap(), ["other"]);
}
