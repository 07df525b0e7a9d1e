//! Processor time that a node uses to append records to the log and to read them, over HTTP.

use std::process::Command;
use std::time::Duration;

use pimento_coordination::Appender;
use pimento_coordination::Follower;
use pimento_coordination::appender;
use pimento_coordination::claims::View;
use pimento_coordination::log::Remote;
use pimento_ledger::Stream;
use pimento_ledger::claims::Fold;
use pimento_ledger::record::ClaimRecord;
use pimento_units::Offset;
use tokio::runtime::Runtime;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::fit::Points;
use crate::fit::number;
use crate::folds;
use crate::process;
use crate::process::Program;

/// How long each rate is measured.
const DURATION: Duration = Duration::from_secs(5);

/// Prints the tables.
pub fn print() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimento-standin"));
    command.args(["log", "--settings", "{\"appends\":2000,\"burst\":2000}"]);
    let (_log, address) = Program::ready(command);
    let runtime = Runtime::new().expect("threads can be had");
    let log = Remote::new(address, Duration::from_secs(5));
    for (what, follow) in [("appended", false), ("appended and read", true)] {
        let mut points = Points::default();
        for rate in [0, 20, 100, 500_u64] {
            let used = runtime.block_on(run(&log, rate, follow));
            let millis_per_second = used.as_secs_f64() * 1e3 / DURATION.as_secs_f64();
            let what = format!("claims a second, {what}");
            points.add(&what, number(rate), "ms a second", millis_per_second);
        }
        points.print("claim a second", "ms a second");
    }
}

/// Measures processor time while a node appends `rate` claims per second. If `follow` is set, it
/// also reads their stream.
async fn run(log: &Remote, rate: u64, follow: bool) -> Duration {
    let token = CancellationToken::new();
    let view = View::new(Fold::new(Duration::from_mins(30)));
    let follower = follow
        .then(|| Follower::start(log.clone(), Stream::Claims, Offset(0), view, token.clone()));
    let appender = Appender::start(log.clone(), appender::Config::default(), token.clone());
    while follower
        .as_ref()
        .is_some_and(|follower| !follower.caught_up())
    {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = process::own_cpu();
    let end = Instant::now() + DURATION;
    let mut number = 0;
    while Instant::now() < end {
        if rate == 0 {
            tokio::time::sleep(DURATION).await;
            continue;
        }
        let appender = appender.clone();
        tokio::spawn(async move { append(&appender, number).await });
        number += 1;
        tokio::time::sleep(Duration::from_secs(1) / u32::try_from(rate).expect("small")).await;
    }
    let used = process::own_cpu().saturating_sub(before);
    token.cancel();
    used
}

async fn append(appender: &Appender, number: u64) {
    let claim = ClaimRecord::Claim(folds::claim(0, number));
    let record = serde_json::to_string(&claim).expect("encodes");
    let deadline = Instant::now() + Duration::from_secs(5);
    if let Err(error) = appender.append(Stream::Claims, record, deadline).await {
        println!("  not appended: {error}");
    }
}
