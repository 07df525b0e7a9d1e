//! The appender: group commit, lost responses, refusals and bounds.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use pimento_coordination::Appender;
use pimento_coordination::appender::Config;
use pimento_coordination::appender::Settings;
use pimento_coordination::log::Error;
use pimento_ledger::Stream;
use pimento_units::Offset;
use support::bound;
use support::eventually;
use support::memory::Fault;
use support::memory::Memory;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const STREAM: Stream = Stream::Claims;
const SOON: Duration = Duration::from_millis(50);

fn appender(log: &Memory, settings: Settings) -> Appender {
    let config = Config::try_from(settings).unwrap();
    Appender::start(log.clone(), config, CancellationToken::new())
}

fn default_appender(log: &Memory) -> Appender {
    appender(log, Settings::default())
}

/// Waits until an append is in flight.
async fn append_in_flight(log: &Memory) {
    let begun = async || (log.begun(STREAM) > 0).then_some(());
    eventually("an append in flight", begun).await;
}

#[tokio::test]
async fn concurrent_records_share_appends() {
    let log = Memory::default();
    let appender = default_appender(&log);
    let appends = (0..100).map(|n| appender.append(STREAM, n.to_string(), bound()));
    let offsets: Vec<Offset> = join_all(appends)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    let records = log.records(STREAM);
    for (n, offset) in offsets.iter().enumerate() {
        assert_eq!(records[usize::try_from(offset.0).unwrap()], n.to_string());
    }
    // While the first append is in flight, the others wait and form a batch.
    assert!(log.appends(STREAM).len() <= 5, "{:?}", log.appends(STREAM));
}

#[tokio::test]
async fn batches_stay_within_their_limits() {
    let log = Memory::default();
    let settings = Settings {
        max_records: 10,
        max_bytes: 40,
        ..Settings::default()
    };
    let appender = appender(&log, settings);
    let record = "8 bytes.".to_owned();
    let appends = (0..20).map(|_| appender.append(STREAM, record.clone(), bound()));
    assert!(join_all(appends).await.iter().all(Result::is_ok));
    assert!(log.appends(STREAM).iter().all(|count| *count <= 5));
    // A record over the limit is appended alone.
    assert!(
        appender
            .append(STREAM, "x".repeat(100), bound())
            .await
            .is_ok()
    );
    assert_eq!(log.appends(STREAM).last(), Some(&1));
}

/// The log fails in various ways and then works. The caller gets an offset of its record, however
/// often it was appended. A record is on the log more than once only if a response was lost after
/// the append took effect.
#[tokio::test]
async fn faults_before_the_deadline_are_retried() {
    let refuse = || Fault::Refuse(Duration::from_millis(1));
    let cases = [
        ("lost before the effect", vec![Fault::LoseBefore], 1),
        ("lost after the effect", vec![Fault::LoseAfter], 2),
        (
            "lost after, twice",
            vec![Fault::LoseAfter, Fault::LoseAfter],
            3,
        ),
        ("refused", vec![refuse()], 1),
        ("refused, then lost", vec![refuse(), Fault::LoseBefore], 1),
        ("lost, then refused", vec![Fault::LoseAfter, refuse()], 2),
    ];
    for (what, faults, copies) in cases {
        let log = Memory::default();
        log.faults(faults);
        let offset = default_appender(&log)
            .append(STREAM, "mine".into(), bound())
            .await
            .unwrap();
        let records = log.records(STREAM);
        assert_eq!(records.len(), copies, "{what}");
        assert_eq!(
            records[usize::try_from(offset.0).unwrap()],
            "mine",
            "{what}"
        );
    }
}

/// The log fails until the caller's deadline. A refusal is reported to the caller as "not run", so
/// it is only returned if the record is certainly not on the log.
#[tokio::test]
async fn error_at_the_deadline_tells_whether_the_record_may_be_on_the_log() {
    let one_hour = Duration::from_hours(1);
    let held = || Fault::Hold(Arc::new(AtomicBool::new(false)));
    let cases = [
        ("refused", vec![Fault::Refuse(one_hour)], false),
        ("in flight", vec![held()], true),
        (
            "lost, then refused",
            vec![Fault::LoseAfter, Fault::Refuse(one_hour)],
            true,
        ),
        (
            "lost, then in flight",
            vec![Fault::LoseBefore, held()],
            true,
        ),
    ];
    for (what, faults, maybe_appended) in cases {
        let log = Memory::default();
        log.faults(faults);
        let deadline = Instant::now() + Duration::from_millis(300);
        let error = default_appender(&log)
            .append(STREAM, "mine".into(), deadline)
            .await
            .unwrap_err();
        assert_eq!(
            matches!(error, Error::Lost { .. }),
            maybe_appended,
            "{what}: {error}"
        );
        if !maybe_appended {
            assert!(log.records(STREAM).is_empty(), "{what}");
        }
    }
}

/// One append hangs, and a second record waits behind it until its deadline. Its caller gets a
/// refusal, so the record must not be sent once the first append ends.
#[tokio::test]
async fn record_refused_in_the_queue_is_never_sent() {
    let log = Memory::default();
    let released = Arc::new(AtomicBool::new(false));
    log.faults([Fault::Hold(Arc::clone(&released))]);
    let appender = default_appender(&log);
    let first = {
        let appender = appender.clone();
        tokio::spawn(async move { appender.append(STREAM, "first".into(), bound()).await })
    };
    append_in_flight(&log).await;
    let second = appender
        .append(STREAM, "second".into(), Instant::now() + SOON)
        .await;
    assert!(matches!(second, Err(Error::Refused { .. })), "{second:?}");
    released.store(true, Ordering::SeqCst);
    first.await.unwrap().unwrap();
    appender
        .append(STREAM, "third".into(), bound())
        .await
        .unwrap();
    assert_eq!(log.records(STREAM), ["first", "third"]);
}

#[tokio::test]
async fn memory_of_what_waits_is_bounded() {
    let log = Memory::default();
    let released = Arc::new(AtomicBool::new(false));
    log.faults([Fault::Hold(Arc::clone(&released))]);
    let settings = Settings {
        max_memory: 64,
        ..Settings::default()
    };
    let appender = appender(&log, settings);
    let large = {
        let appender = appender.clone();
        tokio::spawn(async move { appender.append(STREAM, "x".repeat(60), bound()).await })
    };
    append_in_flight(&log).await;
    let more = appender.append(STREAM, "x".repeat(10), bound()).await;
    assert!(matches!(more, Err(Error::Refused { .. })), "{more:?}");
    released.store(true, Ordering::SeqCst);
    large.await.unwrap().unwrap();
    appender
        .append(STREAM, "x".repeat(10), bound())
        .await
        .unwrap();
}

#[tokio::test]
async fn full_queue_refuses_at_once() {
    let log = Memory::default();
    let released = Arc::new(AtomicBool::new(false));
    log.faults([Fault::Hold(Arc::clone(&released))]);
    let settings = Settings {
        queue_capacity: 4,
        max_records: 1,
        ..Settings::default()
    };
    let appender = appender(&log, settings);
    let spawn = |n: usize| {
        let appender = appender.clone();
        tokio::spawn(async move { appender.append(STREAM, n.to_string(), bound()).await })
    };
    let mut waiting = vec![spawn(0)];
    append_in_flight(&log).await;
    waiting.extend((1..20).map(spawn));
    eventually("refusals while the queue is full", async || {
        let refused = waiting.iter().filter(|task| task.is_finished()).count();
        (refused == 15).then_some(())
    })
    .await;
    released.store(true, Ordering::SeqCst);
    let results = join_all(waiting).await;
    let accepted = results.iter().filter(|r| matches!(r, Ok(Ok(_)))).count();
    assert_eq!(accepted, 5, "one in flight and four in the queue");
    assert_eq!(log.records(STREAM).len(), 5);
}

/// The log announces an outage that lasts beyond a caller's deadline. The first append is sent and
/// refused. Later ones are refused at once instead of at their deadline, and nothing is sent.
#[tokio::test]
async fn announced_outage_refuses_at_once() {
    let log = Memory::default();
    let outage = Duration::from_mins(1);
    log.outage(Some(outage));
    let appender = default_appender(&log);
    let deadline = Instant::now() + Duration::from_secs(30);
    let first = appender.append(STREAM, "first".into(), deadline).await;
    assert!(matches!(first, Err(Error::Refused { .. })), "{first:?}");
    let second = appender.append(STREAM, "second".into(), deadline).await;
    assert!(
        matches!(second, Err(Error::Refused { retry_after }) if retry_after <= outage),
        "{second:?}"
    );
    assert!(Instant::now() < deadline);
    assert!(appender.log_unavailable_until() > deadline);
}

#[tokio::test]
async fn short_outage_is_waited_out() {
    let log = Memory::default();
    log.faults([Fault::Refuse(SOON), Fault::Refuse(SOON)]);
    let appender = default_appender(&log);
    let both = [
        appender.append(STREAM, "a".into(), bound()),
        appender.append(STREAM, "b".into(), bound()),
    ];
    assert!(join_all(both).await.iter().all(Result::is_ok));
    assert_eq!(log.records(STREAM).len(), 2);
}

#[tokio::test]
async fn shutdown_fails_pending_appends() {
    let log = Memory::default();
    let token = CancellationToken::new();
    let held = Fault::Hold(Arc::new(AtomicBool::new(false)));
    log.faults([held]);
    let appender = Appender::start(log.clone(), Config::default(), token.clone());
    let first = {
        let appender = appender.clone();
        tokio::spawn(async move { appender.append(STREAM, "first".into(), bound()).await })
    };
    append_in_flight(&log).await;
    token.cancel();
    let first = first.await.unwrap();
    assert!(matches!(first, Err(Error::Lost { .. })), "{first:?}");
    let late = appender.append(STREAM, "late".into(), bound()).await;
    assert!(matches!(late, Err(Error::Refused { .. })), "{late:?}");
}

#[test]
fn zero_settings_are_rejected() {
    let zero = |change: fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        Config::try_from(settings).is_err()
    };
    assert!(zero(|s| s.max_records = 0));
    assert!(zero(|s| s.queue_capacity = 0));
    assert!(zero(|s| s.max_memory = 0));
}
