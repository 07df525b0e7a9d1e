//! Open-loop load: each call is sent at its scheduled time, no matter how many are still
//! unanswered, and its latency is measured from that time. A system that falls behind therefore
//! can't hide it by delaying the next calls (coordinated omission).

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
use crate::load::allowed::AllowedVersions;
use crate::load::balancer::Balancer;
use crate::load::call::Answer;
use crate::load::call::Call;
use crate::load::client::Client;
use crate::load::client::Reason;
use crate::load::result::Collector;
use crate::load::result::Outcome;
use crate::load::result::Report;
use crate::load::result::Sample;
use crate::load::result::VersionChange;
use crate::load::trace::Arrival;
use crate::shared::Shared;

/// How much longer a caller waits than its `request-timeout` says, so that a refusal sent right at
/// the deadline still counts as an answer.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Config {
    /// Addresses of the entry VMs, used round-robin.
    pub targets: Vec<String>,
    /// Operators' addresses of the same entry VMs, polled for readiness. Empty treats all as ready.
    pub operators: Vec<String>,
    /// Prefix of API keys; the customer's name follows it.
    pub key_prefix: String,
    /// Versions allowed by the contracts.
    pub allowed: AllowedVersions,
    /// The value of the `request-timeout` header.
    pub timeout: Duration,
    /// The share of refused calls that are retried after `retry-after`.
    pub retries: Share,
    /// Calls with a longer `retry-after` are not retried.
    pub max_retry_after: Duration,
}

/// A session as the caller sees it: its latest token, and the latest version of each model that
/// answered in it.
#[derive(Debug, Clone)]
struct Session {
    customer: id::Customer,
    number: u32,
    token: HeaderValue,
    versions: Vec<id::Version>,
}

#[derive(Debug)]
struct Driver {
    config: Config,
    client: Client,
    balancer: Balancer,
    start: Instant,
    sessions: Shared<Vec<Session>>,
    request_ids: Vec<(CompactString, CompactString)>,
}

/// Sends the calls and aggregates their results.
pub async fn drive(config: Config, arrivals: &[Arrival], progress: &ProgressBar) -> Report {
    let started = clock::now();
    let token = CancellationToken::new();
    // Stops the readiness polling when this function ends, also if its future is dropped early.
    let _watch = token.clone().drop_guard();
    let balancer = Balancer::new(config.targets.clone());
    tokio::spawn(balancer.clone().watch(config.operators.clone(), token));
    let driver = Arc::new(Driver {
        config,
        client: Client::default(),
        balancer,
        start: Instant::now(),
        sessions: Shared::new(Vec::new()),
        request_ids: request_ids(arrivals),
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
                    record(&sample, &mut collector, progress);
                }
            }
        }
        let (driver, arrival) = (Arc::clone(&driver), arrival.clone());
        running.spawn(async move { driver.call(number, &arrival).await });
    }
    while let Some(sample) = running.join_next().await {
        record(&sample, &mut collector, progress);
    }
    collector.report(started, driver.start.elapsed())
}

fn record(sample: &Result<Sample, JoinError>, collector: &mut Collector, progress: &ProgressBar) {
    progress.inc(1);
    match sample {
        Ok(sample) => collector.add(sample),
        // A call whose task panicked is missing from the counts, which the judgement compares with
        // what was sent.
        Err(error) => log::error!("load: the task of a call failed: {error}"),
    }
}

/// A new request id for each customer and label, sorted. They are version 7 UUIDs, so that their
/// age can be read from them.
fn request_ids(arrivals: &[Arrival]) -> Vec<(CompactString, CompactString)> {
    let labels = arrivals.iter().filter_map(|arrival| {
        let label = arrival.idempotency.as_ref()?;
        Some(CompactString::from(format!("{} {label}", arrival.customer)))
    });
    let mut labels: Vec<CompactString> = labels.collect();
    labels.sort();
    labels.dedup();
    let id = |label| (label, Uuid::now_v7().to_string().into());
    labels.into_iter().map(id).collect()
}

impl Driver {
    async fn call(&self, number: usize, arrival: &Arrival) -> Sample {
        let scheduled = self.start + arrival.at;
        let mut sample = Sample {
            customer: arrival.customer.clone(),
            target: row_label(arrival),
            at: arrival.at,
            late: scheduled.elapsed(),
            first: None,
            last: None,
            gaps: Vec::new(),
            outcome: Outcome::Failed("not sent".into()),
            request_id: self.request_id(arrival),
            service: false,
            prompt: None,
            version_change: None,
            retried: None,
        };
        let api_key = format!("{}{}", self.config.key_prefix, arrival.customer);
        let mut call = match Call::new(arrival, number, &api_key, sample.request_id.clone()) {
            Ok(call) => call,
            Err(reason) => {
                sample.outcome = Outcome::Failed(reason);
                return sample;
            }
        };
        sample.service = call.is_service();
        sample.prompt = call.prompt();
        call.set_timeout(self.config.timeout);
        let session = self.session(arrival);
        if let Some(session) = &session {
            call.set_session(session.token.clone());
        }
        let answer = self.send(number, &call).await;
        sample.last = Some(scheduled.elapsed());
        sample.first = answer.first_byte.map(|first| first - scheduled);
        sample.gaps = answer.chunks.windows(2).map(|w| w[1] - w[0]).collect();
        sample.outcome = answer.outcome.clone();
        sample.version_change = self.update_session(arrival, session, &answer);
        sample.retried = self.retry(number, &call, &answer).await;
        sample
    }

    /// Sends a call and reads its answer, with a timeout.
    async fn send(&self, number: usize, call: &Call) -> Answer {
        let targets = self.balancer.order(number);
        let answer = async {
            let response = self.client.send(&call.message, targets).await?;
            Ok(call.read(response, &self.config.allowed).await)
        };
        let answer: Result<Result<Answer, Reason>, _> =
            tokio::time::timeout(self.config.timeout + ANSWER_MARGIN, answer).await;
        let reason = match answer {
            Ok(Ok(answer)) => return answer,
            Ok(Err(reason)) => reason,
            Err(_) => "no answer in time".into(),
        };
        Answer {
            outcome: Outcome::Failed(reason),
            first_byte: None,
            chunks: Vec::new(),
            session_token: None,
            retry_after: None,
        }
    }

    /// Retries a share of the refused calls after `retry-after`, and returns whether the retry was
    /// served; none without a retry. Only calls refused with `not_run` are retried: they are always
    /// safe to repeat.
    async fn retry(&self, number: usize, call: &Call, answer: &Answer) -> Option<bool> {
        let after = Duration::from_secs(answer.retry_after?);
        let refused = matches!(
            answer.outcome,
            Outcome::Refused {
                run: Run::NotRun,
                ..
            }
        );
        let draw = xxh3_64_with_seed(&number.to_le_bytes(), 0) % u64::from(PARTS);
        let chosen = draw < u64::from(self.config.retries.parts());
        // Calls with a request id are judged by all answers given for that id, so they are not
        // retried.
        if !refused || !chosen || call.request_id.is_some() || after > self.config.max_retry_after {
            return None;
        }
        tokio::time::sleep(after).await;
        let retry = self.send(number, call).await;
        Some(matches!(retry.outcome, Outcome::Served(_)))
    }

    fn request_id(&self, arrival: &Arrival) -> Option<CompactString> {
        let label = arrival.idempotency.as_ref()?;
        let label = format!("{} {label}", arrival.customer);
        let index = self
            .request_ids
            .binary_search_by(|(l, _)| l.as_str().cmp(&label));
        Some(self.request_ids[index.ok()?].1.clone())
    }

    fn session(&self, arrival: &Arrival) -> Option<Session> {
        let number = arrival.session?;
        self.sessions.with(|sessions| {
            let same = |s: &&Session| s.number == number && s.customer == arrival.customer;
            sessions.iter().find(same).cloned()
        })
    }

    /// Stores the session token of the answer and the version that sent it. Returns the change if
    /// an earlier answer in the session came from another version of the same model.
    fn update_session(
        &self,
        arrival: &Arrival,
        previous: Option<Session>,
        answer: &Answer,
    ) -> Option<VersionChange> {
        let number = arrival.session?;
        let Outcome::Served(Some(version)) = &answer.outcome else {
            return None;
        };
        let mut versions = previous.map(|session| session.versions).unwrap_or_default();
        let old = versions
            .iter()
            .position(|known| model(known) == model(version));
        let old = old.map(|index| versions.remove(index));
        versions.push(version.clone());
        if let Some(token) = &answer.session_token {
            self.store_session(Session {
                customer: arrival.customer.clone(),
                number,
                token: token.clone(),
                versions,
            });
        }
        let from = old.filter(|old| old != version)?;
        Some(VersionChange {
            customer: arrival.customer.clone(),
            session: number,
            from,
            to: version.clone(),
        })
    }

    fn store_session(&self, session: Session) {
        self.sessions.with(|sessions| {
            sessions.retain(|s| s.number != session.number || s.customer != session.customer);
            sessions.push(session);
        });
    }
}

/// The target's name in results. Streamed answers get rows of their own, because the first byte of
/// a whole answer arrives with its last.
fn row_label(arrival: &Arrival) -> CompactString {
    let target = &arrival.target;
    if arrival.stream {
        format_compact!("{target} streamed")
    } else {
        format_compact!("{target}")
    }
}

/// The model of a version: the part before the `@`.
fn model(version: &id::Version) -> &str {
    let name = version.as_str();
    name.split_once('@').map_or(name, |(model, _)| model)
}
