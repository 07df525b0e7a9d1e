//! Tests of the follower: order of records, retention, outages, age of the view.

mod support;

use std::time::Duration;

use pimento_coordination::Follower;
use pimento_coordination::Log;
use pimento_coordination::follower::Fold;
use pimento_coordination::log::Error;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::platform::Batch;
use support::bound;
use support::eventually;
use support::memory::Memory;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const STREAM: Stream = Stream::Grants;

/// Records all calls of a follower to its fold.
#[derive(Debug, Default)]
struct Recorder {
    records: Vec<(u64, String)>,
    resets: Vec<u64>,
}

impl Fold for Recorder {
    fn apply(&mut self, offset: Offset, _at: Wall, record: &str) {
        self.records.push((offset.0, record.to_owned()));
    }

    fn records_dropped(&mut self, oldest: Offset) {
        self.resets.push(oldest.0);
    }
}

fn follow(log: impl Log) -> Follower<Recorder> {
    let token = CancellationToken::new();
    Follower::start(log, STREAM, Offset(0), Recorder::default(), token)
}

async fn until(follower: &Follower<Recorder>, count: usize) {
    let enough = |recorder: &Recorder| (recorder.records.len() >= count).then_some(());
    follower.wait(bound(), enough).await.expect("records");
}

fn numbers(range: std::ops::Range<u64>) -> Vec<(u64, String)> {
    range.map(|n| (n, n.to_string())).collect()
}

fn put(log: &Memory, range: std::ops::Range<u64>) {
    log.put(STREAM, range.map(|n| n.to_string()));
}

#[tokio::test]
async fn every_record_comes_once_and_in_order() {
    let log = Memory::default();
    put(&log, 0..2_500);
    let follower = follow(log.clone());
    until(&follower, 2_500).await;
    put(&log, 2_500..2_510);
    until(&follower, 2_510).await;
    follower.view(|recorder| assert_eq!(recorder.records, numbers(0..2_510)));
    assert_eq!(follower.next_offset(), Offset(2_510));
}

#[tokio::test]
async fn wait_ends_by_an_event_or_at_its_deadline() {
    let log = Memory::default();
    let follower = follow(log.clone());
    let first = |recorder: &Recorder| recorder.records.first().cloned();
    let soon = Instant::now() + Duration::from_millis(20);
    assert_eq!(follower.wait(soon, first).await, None);
    put(&log, 0..1);
    assert_eq!(follower.wait(bound(), first).await, Some((0, "0".into())));
}

/// The log drops records before a node has read them. The follower must notify the fold, which would
/// otherwise count as complete, and continue with the oldest retained record.
#[tokio::test]
async fn dropped_records_reset_the_fold_and_are_skipped() {
    let log = Memory::default();
    put(&log, 0..10);
    log.retain(STREAM, Offset(4));
    let follower = follow(log.clone());
    until(&follower, 6).await;
    follower.view(|recorder| {
        assert_eq!(recorder.resets, [4]);
        assert_eq!(recorder.records, numbers(4..10));
    });
}

/// The log has an outage, then the link to it is cut, then it is back. Until then the view's age must
/// grow and the view must not count as caught up. Afterwards no record is missing or repeated.
#[tokio::test]
async fn outage_raises_the_age_and_loses_no_record() {
    let log = Memory::default();
    put(&log, 0..5);
    let link = log.link();
    let follower = follow(link.clone());
    until(&follower, 5).await;
    eventually("caught up", async || follower.caught_up().then_some(())).await;

    log.outage(Some(Duration::from_millis(10)));
    eventually("outage detected", async || {
        (!follower.caught_up()).then_some(())
    })
    .await;
    let during = follower.age();
    link.cut(true);
    log.outage(None);
    put(&log, 5..10);
    eventually("age grows", async || {
        (follower.age() > during + Duration::from_millis(50)).then_some(())
    })
    .await;
    follower.view(|recorder| assert_eq!(recorder.records.len(), 5));

    link.cut(false);
    until(&follower, 10).await;
    follower.view(|recorder| assert_eq!(recorder.records, numbers(0..10)));
    eventually("caught up again", async || {
        follower.caught_up().then_some(())
    })
    .await;
}

/// A log whose answers are delayed.
#[derive(Debug, Clone)]
struct Slow {
    log: Memory,
    delay: Duration,
}

impl Log for Slow {
    async fn append(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        self.log.append(stream, records).await
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let answer = self.log.read(stream, from, max, wait).await;
        tokio::time::sleep(self.delay).await;
        answer
    }
}

/// A process is paused while the log's answer waits in its socket. The answer is as old as the pause
/// when it is read, and the view must not look current.
#[tokio::test]
async fn age_counts_from_the_sending_of_a_read() {
    let delay = Duration::from_millis(200);
    let log = Memory::default();
    put(&log, 0..1);
    let follower = follow(Slow { log, delay });
    until(&follower, 1).await;
    assert!(follower.age() >= delay, "{:?}", follower.age());
}

/// A log that returns records from before the requested offset.
#[derive(Debug, Clone)]
struct Overlapping(Memory);

impl Log for Overlapping {
    async fn append(&self, stream: Stream, records: Vec<String>) -> Result<Offset, Error> {
        self.0.append(stream, records).await
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, Error> {
        self.0.read(stream, from, max, wait).await?;
        let before = Offset(from.0.saturating_sub(2));
        self.0.read(stream, before, max, wait).await
    }
}

#[tokio::test]
async fn repeated_records_are_skipped() {
    let log = Memory::default();
    let follower = follow(Overlapping(log.clone()));
    for n in 0..10 {
        put(&log, n..n + 1);
        until(&follower, usize::try_from(n + 1).unwrap()).await;
    }
    follower.view(|recorder| assert_eq!(recorder.records, numbers(0..10)));
}

#[tokio::test]
async fn closed_gate_reads_nothing() {
    let log = Memory::default();
    put(&log, 0..1);
    let gate = watch::Sender::new(false);
    let token = CancellationToken::new();
    let closed = gate.subscribe();
    let recorder = Recorder::default();
    let follower = Follower::start_gated(log.clone(), STREAM, Offset(0), recorder, closed, token);
    let soon = Instant::now() + Duration::from_millis(50);
    let any = |recorder: &Recorder| (!recorder.records.is_empty()).then_some(());
    assert_eq!(follower.wait(soon, any).await, None);
    assert_eq!(log.reads(STREAM), 0);
    gate.send_replace(true);
    until(&follower, 1).await;
}

#[tokio::test]
async fn cancelled_follower_reads_no_more() {
    let log = Memory::default();
    let token = CancellationToken::new();
    let fold = Recorder::default();
    let follower = Follower::start(log.clone(), STREAM, Offset(0), fold, token.clone());
    put(&log, 0..1);
    until(&follower, 1).await;
    token.cancel();
    // The token ends the reading task; afterwards only this follower holds the view.
    tokio::time::sleep(Duration::from_millis(20)).await;
    put(&log, 1..2);
    let soon = Instant::now() + Duration::from_millis(50);
    let second = |recorder: &Recorder| (recorder.records.len() > 1).then_some(());
    assert_eq!(follower.wait(soon, second).await, None);
}
