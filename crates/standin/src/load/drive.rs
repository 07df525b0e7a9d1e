//! The open loop: each call goes out at its intended moment, however many are still unanswered,
//! and its latency counts from that moment on. A system that falls behind can't hide it by making
//! its callers wait before they ask.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use hyper::header::HeaderValue;
use indicatif::ProgressBar;
use pimento_units::Share;
use pimento_units::id;
use pimento_units::share::PARTS;
use pimento_wire::api::Run;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock;
use crate::load::allowed::Allowed;
use crate::load::balancer::Balancer;
use crate::load::call::Call;
use crate::load::call::Reading;
use crate::load::client::Client;
use crate::load::client::Reason;
use crate::load::result::Collector;
use crate::load::result::Move;
use crate::load::result::Outcome;
use crate::load::result::Report;
use crate::load::result::Sample;
use crate::load::trace::Arrival;
use crate::shared::Shared;

/// How much longer than announced a caller waits. A refusal at the very end is still an answer.
const LATE: Duration = Duration::from_secs(2);

/// What a run needs besides its arrivals.
#[derive(Debug, Clone)]
pub struct Config {
    /// Addresses of the entry VMs, taken in turns.
    pub targets: Vec<String>,
    /// Operators' addresses of the same entry VMs, to see which are ready; empty to take all.
    pub operators: Vec<String>,
    /// What stands before the customer's name in its API key.
    pub prefix: String,
    /// Versions that the contracts allow.
    pub allowed: Allowed,
    /// How long callers say that they wait, in the `request-timeout` header.
    pub timeout: Duration,
    /// The share of refused calls that are sent again after `retry-after`.
    pub retries: Share,
    /// The longest `retry-after` that is waited for.
    pub patience: Duration,
}

/// A session as the caller knows it: its token, and the versions that answered under it.
#[derive(Debug, Clone)]
struct Session {
    customer: id::Customer,
    number: u32,
    token: HeaderValue,
    pins: Vec<id::Version>,
}

#[derive(Debug)]
struct Driver {
    config: Config,
    client: Client,
    balancer: Balancer,
    start: Instant,
    sessions: Shared<Vec<Session>>,
    keys: Vec<(CompactString, CompactString)>,
}

/// Makes the calls and adds up what came of them.
pub async fn drive(config: Config, arrivals: &[Arrival], progress: &ProgressBar) -> Report {
    let began = clock::now();
    let token = CancellationToken::new();
    // Ends the watch with this function, also if its future is dropped half-way.
    let _watch = token.clone().drop_guard();
    let balancer = Balancer::new(config.targets.clone());
    tokio::spawn(balancer.clone().watch(config.operators.clone(), token));
    let driver = Arc::new(Driver {
        config,
        client: Client::default(),
        balancer,
        start: Instant::now(),
        sessions: Shared::new(Vec::new()),
        keys: keys(arrivals),
    });
    let mut collector = Collector::default();
    let mut running = JoinSet::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        let due = tokio::time::sleep_until(driver.start + arrival.at);
        tokio::pin!(due);
        loop {
            tokio::select! {
                () = &mut due => break,
                Some(sample) = running.join_next() => {
                    take(&sample, &mut collector, progress);
                }
            }
        }
        let (driver, arrival) = (Arc::clone(&driver), arrival.clone());
        running.spawn(async move { driver.call(number, &arrival).await });
    }
    while let Some(sample) = running.join_next().await {
        take(&sample, &mut collector, progress);
    }
    collector.report(began, driver.start.elapsed())
}

fn take(sample: &Result<Sample, JoinError>, collector: &mut Collector, progress: &ProgressBar) {
    progress.inc(1);
    match sample {
        Ok(sample) => collector.add(sample),
        // A call whose task panicked is missing from the sums, which the judgement compares with
        // what was sent.
        Err(error) => log::error!("load: a call was lost: {error}"),
    }
}

/// A fresh request id for each label. They are version 7 UUIDs, so that their age can be read.
fn keys(arrivals: &[Arrival]) -> Vec<(CompactString, CompactString)> {
    let labels = arrivals.iter().filter_map(|arrival| {
        let label = arrival.idempotency.as_ref()?;
        Some(CompactString::from(format!("{} {label}", arrival.customer)))
    });
    let mut labels: Vec<CompactString> = labels.collect();
    labels.sort();
    labels.dedup();
    let key = |label| (label, Uuid::now_v7().to_string().into());
    labels.into_iter().map(key).collect()
}

impl Driver {
    async fn call(&self, number: usize, arrival: &Arrival) -> Sample {
        let intended = self.start + arrival.at;
        let mut sample = Sample {
            customer: arrival.customer.clone(),
            target: label(arrival),
            at: arrival.at,
            late: intended.elapsed(),
            first: None,
            last: None,
            gaps: Vec::new(),
            outcome: Outcome::Failed("not sent".into()),
            key: self.key(arrival),
            service: false,
            prompt: None,
            moved: None,
            retried: None,
        };
        let secret = format!("{}{}", self.config.prefix, arrival.customer);
        let mut call = match Call::new(arrival, number, &secret, sample.key.clone()) {
            Ok(call) => call,
            Err(reason) => {
                sample.outcome = Outcome::Failed(reason);
                return sample;
            }
        };
        sample.service = call.service();
        sample.prompt = call.prompt();
        call.timeout(self.config.timeout);
        let session = self.session(arrival);
        if let Some(session) = &session {
            call.session(session.token.clone());
        }
        let reading = self.send(number, &call).await;
        sample.last = Some(intended.elapsed());
        sample.first = reading.first.map(|first| first - intended);
        sample.gaps = reading.pieces.windows(2).map(|w| w[1] - w[0]).collect();
        sample.outcome = reading.outcome.clone();
        sample.moved = self.settle(arrival, session, &reading);
        sample.retried = self.retry(number, &call, &reading).await;
        sample
    }

    /// Sends a call; the answer must be there in time.
    async fn send(&self, number: usize, call: &Call) -> Reading {
        let turns = self.balancer.turns(number);
        let answer = async {
            let response = self.client.send(&call.message, turns).await?;
            Ok(call.read(response, &self.config.allowed).await)
        };
        let answer: Result<Result<Reading, Reason>, _> =
            tokio::time::timeout(self.config.timeout + LATE, answer).await;
        let reason = match answer {
            Ok(Ok(reading)) => return reading,
            Ok(Err(reason)) => reason,
            Err(_) => "no answer in time".into(),
        };
        Reading {
            outcome: Outcome::Failed(reason),
            first: None,
            pieces: Vec::new(),
            token: None,
            after: None,
        }
    }

    /// Sends a share of the refused calls again when they were told to, and says whether they were
    /// served then. A call told `not_run` may always be sent again.
    async fn retry(&self, number: usize, call: &Call, reading: &Reading) -> Option<bool> {
        let after = Duration::from_secs(reading.after?);
        let refused = matches!(
            reading.outcome,
            Outcome::Refused {
                run: Run::NotRun,
                ..
            }
        );
        let draw = xxh3_64_with_seed(&number.to_le_bytes(), 0) % u64::from(PARTS);
        let chosen = draw < u64::from(self.config.retries.parts());
        // A keyed call is counted by what its callers were told, so that it is left alone here.
        if !refused || !chosen || call.key.is_some() || after > self.config.patience {
            return None;
        }
        tokio::time::sleep(after).await;
        let again = self.send(number, call).await;
        Some(matches!(again.outcome, Outcome::Served(_)))
    }

    fn key(&self, arrival: &Arrival) -> Option<CompactString> {
        let label = arrival.idempotency.as_ref()?;
        let label = format!("{} {label}", arrival.customer);
        let place = self.keys.binary_search_by(|(l, _)| l.as_str().cmp(&label));
        Some(self.keys[place.ok()?].1.clone())
    }

    fn session(&self, arrival: &Arrival) -> Option<Session> {
        let number = arrival.session?;
        self.sessions.with(|sessions| {
            let same = |s: &&Session| s.number == number && s.customer == arrival.customer;
            sessions.iter().find(same).cloned()
        })
    }

    /// Keeps the token of the answer with the versions seen under it, and says whether the answer
    /// came from another version of a model than the ones before.
    fn settle(
        &self,
        arrival: &Arrival,
        before: Option<Session>,
        reading: &Reading,
    ) -> Option<Move> {
        let number = arrival.session?;
        let Outcome::Served(Some(version)) = &reading.outcome else {
            return None;
        };
        let mut pins = before.map(|session| session.pins).unwrap_or_default();
        let old = pins.iter().position(|pin| family(pin) == family(version));
        let old = old.map(|place| pins.remove(place));
        pins.push(version.clone());
        if let Some(token) = &reading.token {
            self.keep(Session {
                customer: arrival.customer.clone(),
                number,
                token: token.clone(),
                pins,
            });
        }
        let from = old.filter(|old| old != version)?;
        Some(Move {
            customer: arrival.customer.clone(),
            session: number,
            from,
            to: version.clone(),
        })
    }

    fn keep(&self, session: Session) {
        self.sessions.with(|sessions| {
            sessions.retain(|s| s.number != session.number || s.customer != session.customer);
            sessions.push(session);
        });
    }
}

/// Streamed and whole answers are counted apart: the first byte of a whole one is its last.
fn label(arrival: &Arrival) -> CompactString {
    let target = &arrival.target;
    if arrival.stream {
        format_compact!("{target} streamed")
    } else {
        format_compact!("{target}")
    }
}

/// The model that a version belongs to: what stands before the `@`.
fn family(version: &id::Version) -> &str {
    let name = version.as_str();
    name.split_once('@').map_or(name, |(family, _)| family)
}
