//! Processor time of a node for records that it appends to the log and reads from it over HTTP.

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

/// Duration of the measurement at each rate.
const MEASUREMENT: Duration = Duration::from_secs(5);

/// Prints the tables.
pub fn print() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimento-standin"));
    command.args(["log", "--settings", "{\"appends\":2000,\"burst\":2000}"]);
    let (_log, address) = Program::ready(command);
    let runtime = Runtime::new().expect("the runtime starts");
    let log = Remote::new(address, Duration::from_secs(5));
    for (what, follow) in [("appended", false), ("appended and read", true)] {
        let mut points = Points::default();
        for rate in [0, 20, 100, 500_u64] {
            let used = runtime.block_on(run(&log, rate, follow));
            let share = used.as_secs_f64() * 1e3 / MEASUREMENT.as_secs_f64();
            let what = format!("claims a second, {what}");
            points.add(&what, number(rate), "ms a second", share);
        }
        points.print("claim a second", "ms a second");
    }
}

/// Returns the processor time while a node appends `rate` claims a second and, if `follow` is set,
/// reads their stream.
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
    let end = Instant::now() + MEASUREMENT;
    let mut number = 0;
    while Instant::now() < end {
        if rate == 0 {
            tokio::time::sleep(MEASUREMENT).await;
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
        println!("  append failed: {error}");
    }
}
