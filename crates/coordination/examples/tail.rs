//! An appender and a follower over a custom log: here a vector that loses the response to its first
//! append after the append took effect.
//!
//! `cargo run -p pimento-coordination --example tail`

use std::sync::Arc;
use std::time::Duration;

use pimento_coordination::Log;
use pimento_coordination::appender;
use pimento_coordination::follower;
use pimento_coordination::log::Error;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::platform;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

type Read = Result<platform::Batch, Error>;

#[derive(Clone, Default)]
struct VecLog(Arc<Mutex<Vec<platform::Entry>>>);

impl Log for VecLog {
    async fn append(&self, _: Stream, new: Vec<String>) -> Result<Offset, Error> {
        let mut entries = self.0.lock().await;
        let (first, at) = (entries.len() as u64, Wall::from_millis(0));
        for (offset, record) in (first..).map(Offset).zip(new) {
            entries.push(platform::Entry { offset, at, record });
        }
        let (reason, answer) = ("cut".into(), (first > 0).then_some(Offset(first)));
        answer.ok_or(Error::Lost { reason })
    }

    async fn read(&self, _: Stream, from: Offset, max: usize, _: Duration) -> Read {
        // A real log would wait for records here instead of being polled.
        tokio::time::sleep(Duration::from_millis(10)).await;
        let entries = self.0.lock().await;
        let new = entries
            .iter()
            .filter(|entry| entry.offset >= from)
            .take(max);
        let records: Vec<_> = new.cloned().collect();
        Ok(platform::Batch {
            next: Offset(from.0 + records.len() as u64),
            end: Offset(entries.len() as u64),
            records,
            now: Wall::from_millis(0),
        })
    }
}

/// The view. It contains each record once, although the log may contain it twice.
#[derive(Default)]
struct Records(Vec<String>);

impl follower::Fold for Records {
    fn apply(&mut self, offset: Offset, _: Wall, record: &str) {
        println!("{offset}: {record}");
        let found = self.0.iter().any(|seen| seen == record);
        self.0.extend((!found).then(|| record.to_owned()));
    }

    fn records_dropped(&mut self, _: Offset) {}
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    let (log, token) = (VecLog::default(), CancellationToken::new());
    let writer = appender::Appender::start(log.clone(), appender::Config::default(), token.clone());
    let deadline = Instant::now() + Duration::from_secs(5);
    let append = |record: &str| writer.append(Stream::Usage, record.into(), deadline);
    let (one, other) = tokio::join!(append("one"), append("other"));
    println!("one append, made twice: at {} and {}", one?, other?);
    let (from, view) = (Offset(0), Records::default());
    let follower = follower::Follower::start(log, Stream::Usage, from, view, token);
    let both = |view: &Records| (view.0.len() == 2).then(|| view.0.clone());
    println!("the view: {:?}", follower.wait(deadline, both).await);
    Ok(())
}
