//! Requests that crash endpoints, as the entry VMs know them together.
//!
//! A VM that sees an endpoint crash reports each request that ran there to the other VMs by datagrams,
//! and every VM counts the reports by itself with [`pimento_policy::poison`]. A request that gets
//! blocked is also written to the log, for VMs that start later or missed the datagrams: [`Blocklist`]
//! is folded from those records. No check of a request waits for another process.
//!
//! The same goes for prompt parts that crash endpoints whatever else a prompt holds, by
//! [`pimento_policy::poison::parts`].

mod blocklist;
mod crash_check;
mod outbox;
mod part_report;
mod prompt_parts;
mod report;
mod writer;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::choice;
use pimento_policy::poison::Crash;
use pimento_policy::poison::Table;
use pimento_policy::poison::Verdict;
use pimento_policy::poison::broken_runs::Action;
use pimento_policy::poison::broken_runs::BrokenRuns;
use pimento_policy::poison::parts;
use pimento_policy::poison::parts::Suspect;
use pimento_units::Digest;
use pimento_units::Moment;
use pimento_units::id;
use tokio::sync::Notify;

pub use self::blocklist::Blocklist;
use self::blocklist::Subject;
use self::outbox::Outboxes;
pub use self::part_report::PartMessage;
use self::prompt_parts::PromptParts;
pub use self::report::Report;
pub use self::writer::start;
use crate::admitted::AdmittedRequest;
use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::node::millis;
use crate::registration::Registration;
use crate::topic::Log;

/// The longest random delay before a VM answers a crash report about a request that it knows to be
/// cleared.
const MAX_CLEARED_DELAY: Duration = Duration::from_millis(300);

/// Changes that wait to be written to the log, at most.
const MAX_PENDING_WRITES: usize = 256;

/// A change to the blocklist on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// Blocks the subject for this long.
    Block(Duration),
    /// Removes the subject.
    Unblock,
}

/// One execution of a request at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub digest: Digest,
    /// The parts of its prompt that other prompts may have.
    pub parts: Vec<Suspect>,
    /// When its connection broke or its answer was complete.
    pub ended: Moment,
}

/// What this VM knows of requests that crash endpoints.
#[derive(Debug, Default)]
pub struct Poison {
    state: Mutex<State>,
    /// Notified when there are reports to send to the zone.
    pub reports_due: Notify,
    /// Notified when there is a change to write to the log.
    writes_due: Notify,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    outboxes: Outboxes<Report>,
    parts: PromptParts,
    broken_runs: BrokenRuns<Run>,
    /// Changes to write to the log.
    pending_writes: Vec<(Subject, Change)>,
}

impl State {
    /// Counts a crash. If the request is cleared here, the other VMs are told so, as the one that
    /// reported the crash doesn't know it.
    fn count_crash(&mut self, digest: Digest, crash: Crash, now: Moment) -> Verdict {
        let verdict = self.table.record_crash(digest, crash, now);
        if verdict == Verdict::Cleared && self.table.should_announce_answer(digest, now) {
            // All VMs that know the answer receive the crash report at the same moment. With a random
            // delay one of them answers first, and the others cancel theirs.
            let delay = Duration::ZERO..MAX_CLEARED_DELAY;
            let at = now + rand::random_range(delay);
            self.outboxes.broadcast(Report::Answered { digest }, at);
        }
        log::debug!(digest:%, verdict:?; "poison: Counted a crash of an endpoint that ran the request.");
        verdict
    }

    /// Blocks and releases prompt parts. Crashes that a blocked part explains count against no request.
    fn evaluate_parts(&mut self, now: Moment) {
        let Some(changes) = self.parts.evaluate(now) else {
            return;
        };
        for crash in changes.explained {
            for digest in self.table.excuse(crash) {
                log::info!(digest:%; "poison: Request released, a prompt part explains the crashes.");
                self.schedule_write(Subject::Request(digest), Change::Unblock);
            }
        }
    }

    fn schedule_write(&mut self, subject: Subject, change: Change) {
        self.pending_writes.retain(|(known, _)| *known != subject);
        if self.pending_writes.len() >= MAX_PENDING_WRITES {
            log::warn!(subject:%; "poison: Too many changes wait to be written; this one is dropped.");
            return;
        }
        self.pending_writes.push((subject, change));
    }
}

impl Poison {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a crash that this VM saw, for each request that ran there, and reports it to the others.
    fn record_crash(&self, crash: Crash, runs: &[Run], now: Moment) {
        let mut state = self.lock();
        let suspects = parts::merge(runs.iter().flat_map(|run| &run.parts));
        if let Some(at) = runs.iter().map(|run| run.ended).min() {
            state.parts.record_crash(crash, at, &suspects, now);
        }
        for Run { digest, .. } in runs {
            let verdict = state.count_crash(*digest, crash, now);
            log::info!(digest:%, verdict:?; "poison: An endpoint crashed while it ran a request of this VM.");
            if matches!(verdict, Verdict::Suspected(_) | Verdict::Blocked) {
                state
                    .outboxes
                    .broadcast(Report::crashed(*digest, crash), now);
            }
            if verdict == Verdict::Blocked {
                self.schedule_block(&mut state, *digest, now);
            }
        }
        drop(state);
        self.reports_due.notify_one();
    }

    /// Schedules the write of a block to the log.
    fn schedule_block(&self, state: &mut State, digest: Digest, now: Moment) {
        let Some(duration) = state.table.blocked_for(digest, now) else {
            return;
        };
        log::warn!(digest:%, lasts_ms = millis(duration); "poison: Request blocked.");
        state.schedule_write(Subject::Request(digest), Change::Block(duration));
        self.writes_due.notify_one();
    }

    /// Takes in another VM's report. A report from another zone (`remote`) is forwarded within this
    /// zone. `writes` is set if this VM writes to the log for its zone.
    pub fn receive(&self, report: Report, remote: bool, writes: bool, now: Moment) {
        let mut state = self.lock();
        if remote {
            state.outboxes.forward(report, now);
            self.reports_due.notify_one();
        }
        match report {
            Report::Crashed {
                digest,
                endpoint,
                incarnation,
            } => {
                let verdict = state.count_crash(
                    digest,
                    Crash {
                        endpoint,
                        incarnation,
                    },
                    now,
                );
                match verdict {
                    Verdict::Blocked if writes => self.schedule_block(&mut state, digest, now),
                    Verdict::Cleared => self.reports_due.notify_one(),
                    _ => {}
                }
            }
            Report::Answered { digest } => {
                state.table.merge_answer(digest, now);
                state.outboxes.cancel(|known| *known == report);
            }
        }
    }

    /// Takes in another VM's report of a prompt part, like [`receive`](Self::receive).
    pub fn receive_part(&self, message: PartMessage, remote: bool, now: Moment) {
        self.lock().parts.receive(message.decode(now), remote, now);
        if remote {
            self.reports_due.notify_one();
        }
    }

    /// The reports to send to the zone now.
    pub fn take_zone_reports(&self, now: Moment) -> Vec<Report> {
        self.lock().outboxes.take_zone(now)
    }

    /// The reports to send to other zones now.
    pub fn take_remote_reports(&self, now: Moment) -> Vec<Report> {
        self.lock().outboxes.take_remote(now)
    }

    /// The reports of prompt parts to send to the zone now.
    pub fn take_zone_parts(&self, now: Moment) -> Vec<PartMessage> {
        let due = self.lock().parts.outboxes.take_zone(now);
        due.iter().map(|report| report.encode(now)).collect()
    }

    /// The reports of prompt parts to send to other zones now.
    pub fn take_remote_parts(&self, now: Moment) -> Vec<PartMessage> {
        let due = self.lock().parts.outboxes.take_remote(now);
        due.iter().map(|report| report.encode(now)).collect()
    }

    /// The numbers of suspects that are not blocked and of blocked requests.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.lock().table.counts()
    }

    /// The number of blocked prompt parts.
    #[must_use]
    pub fn blocked_parts(&self) -> usize {
        self.lock().parts.table.blocked_count()
    }
}

/// Records that a request got a complete answer. This clears a suspect and removes its block from the
/// log. If the answer is a `success`, it also shows that the prompt's parts are sound.
pub fn record_answer<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, run: &Run, success: bool) {
    let now = boot::now();
    let poison = &node.poison;
    let digest = run.digest;
    let mut state = poison.lock();
    if state.table.record_answer(digest, now) {
        log::info!(digest:%; "poison: Request cleared by a complete answer.");
        state.outboxes.broadcast(Report::Answered { digest }, now);
        poison.reports_due.notify_one();
    }
    let subject = Subject::Request(digest);
    if node
        .blocklist
        .view(|list| list.remaining(subject, now))
        .is_some()
    {
        state.schedule_write(subject, Change::Unblock);
        poison.writes_due.notify_one();
    }
    for part in run.parts.iter().filter(|_| success) {
        if state.parts.record_sound(part.id, part.since, now) {
            poison.reports_due.notify_one();
        }
    }
}

/// How long a request is still blocked, by itself or by a part of its prompt; none if it may be sent.
pub fn block_remaining<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    request: &AdmittedRequest,
) -> Option<Duration> {
    let now = boot::now();
    let state = &mut *node.poison.lock();
    state.evaluate_parts(now);
    let on_log = |subject| node.blocklist.view(|list| list.remaining(subject, now));
    let digest = request.digest;
    // The VM that wrote the block may have missed the report of the answer.
    let by_itself = (!state.table.is_cleared(digest, now)).then(|| {
        let on_log = on_log(Subject::Request(digest));
        state.table.blocked_for(digest, now).max(on_log)
    });
    let parts = &state.parts.table;
    let by_part = request.shared_parts().map(|part| {
        let id = parts::Id(part.hash);
        let on_log = on_log(Subject::Part(id)).filter(|_| !parts.is_acquitted(id));
        parts.blocked_for(id, now).max(on_log)
    });
    by_part.max().flatten().max(by_itself.flatten())
}

/// Whether a part of a request's prompt is the one that most likely crashes endpoints at present, although it
/// is not blocked yet.
pub fn is_prime_suspect<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    request: &AdmittedRequest,
) -> bool {
    let now = boot::now();
    let parts = &node.poison.lock().parts.table;
    let mut ids = request.shared_parts().map(|part| parts::Id(part.hash));
    ids.any(|id| parts.is_prime_suspect(id, now))
}

/// Records that a run failed at an endpoint. If its connection broke, the endpoint may have crashed.
pub fn record_failure<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    run: Run,
    endpoint: &id::Endpoint,
    fault: &Fault,
) {
    if !fault.is_interrupted() {
        return;
    }
    let known = node.directory.view(|view| view.member(endpoint).cloned());
    // An endpoint that leaves closes its connections on purpose.
    let Some(member) = known.filter(|member| !member.registration.leaving) else {
        return;
    };
    // One that falls over when it turns many requests away does so whatever it runs.
    if node
        .scheduler
        .pool(&member.registration.pool)
        .is_brittle(endpoint)
    {
        return;
    }
    let crash = Crash {
        endpoint: choice::hash(endpoint.as_str()),
        incarnation: Some(member.registration.started_unix_ms),
    };
    let step = node.poison.lock().broken_runs.record(run, crash);
    match step {
        Action::Count(run) => node.poison.record_crash(crash, &[run], boot::now()),
        Action::Probe => {
            let node = node.clone();
            // The task is bounded in time, and may be dropped when the VM stops.
            tokio::spawn(async move { confirm_crash(&node, &member.registration, crash).await });
        }
        Action::Wait => {}
    }
}

/// Waits until it is known whether an endpoint crashed; if so, counts the crash for all requests that
/// ran there.
async fn confirm_crash<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    registration: &Registration,
    crash: Crash,
) {
    let evidence = crash_check::wait_for_crash(node, registration).await;
    let runs = node
        .poison
        .lock()
        .broken_runs
        .resolve(crash, evidence.is_some());
    log::info!(
        endpoint = registration.id.as_str(),
        proof = evidence.map(crash_check::CrashEvidence::as_str),
        runs = runs.len();
        "poison: Connections of running requests broke."
    );
    if evidence.is_some() {
        node.poison.record_crash(crash, &runs, boot::now());
    }
}
