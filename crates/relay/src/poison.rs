//! Requests under which endpoints end, as the entry VMs know them together.
//!
//! A VM that sees an endpoint end tells the others of each request that ran there, by datagrams, and
//! every VM counts by itself with [`pimento_policy::poison`]. Once a request is barred that is written
//! to the log, for VMs that start later or did not hear: [`Bars`] is folded from there. Nothing of this
//! asks anybody for each request.

mod bars;
mod ended;
mod keep;
mod word;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::choice;
use pimento_policy::poison::Crash;
use pimento_policy::poison::Table;
use pimento_policy::poison::Verdict;
use pimento_policy::poison::breaks::Breaks;
use pimento_policy::poison::breaks::Step;
use pimento_units::Digest;
use pimento_units::Moment;
use pimento_units::id;
use tokio::sync::Notify;

pub use self::bars::Bars;
pub use self::keep::start;
use self::word::Outbox;
pub use self::word::Word;
use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::node::millis;
use crate::registration::Registration;
use crate::topic::Log;

/// A VM that knows better than what it hears waits up to this long before it says so.
const CONTRADICTS: Duration = Duration::from_millis(300);

/// Changes that wait for the log at most.
const UNSAID: usize = 256;

/// What is to be written to the log of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// It is barred for so long.
    Bar(Duration),
    /// It is not barred any more.
    Drop,
}

/// What this VM knows of requests under which endpoints ended.
#[derive(Debug, Default)]
pub struct Poison {
    state: Mutex<State>,
    /// Told when there is something to tell to the zone.
    pub told: Notify,
    /// Told when there is something to write to the log.
    unsaid: Notify,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    /// What the VMs of the zone and of other zones are to be told.
    near: Outbox,
    far: Outbox,
    breaks: Breaks,
    /// Changes that are to be written to the log.
    unsaid: Vec<(Digest, Change)>,
}

impl State {
    /// Counts an end. A request that is cleared here is told of as such, to whoever does not know.
    fn count(&mut self, digest: Digest, crash: Crash, now: Moment) -> Verdict {
        let verdict = self.table.crashed(digest, crash, now);
        if verdict == Verdict::Cleared && self.table.contradicts(digest, now) {
            // Whoever else knows it hears of the end in the same moment; one says so.
            let wait = Duration::ZERO..CONTRADICTS;
            self.tell(Word::Answered { digest }, now + rand::random_range(wait));
        }
        log::debug!(digest:%, verdict:?; "poison: An endpoint ended under a request.");
        verdict
    }

    /// Tells all other VMs.
    fn tell(&mut self, word: Word, now: Moment) {
        self.near.push(word, now);
        self.far.push(word, now);
    }

    fn say(&mut self, digest: Digest, change: Change) {
        self.unsaid.retain(|(known, _)| *known != digest);
        if self.unsaid.len() >= UNSAID {
            log::warn!(digest:%; "poison: Too much to write, left out.");
            return;
        }
        self.unsaid.push((digest, change));
    }
}

impl Poison {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An endpoint ended here while requests ran there.
    fn crashed(&self, crash: Crash, digests: &[Digest], now: Moment) {
        let mut state = self.lock();
        for digest in digests {
            let verdict = state.count(*digest, crash, now);
            log::info!(digest:%, verdict:?; "poison: An endpoint ended here under a request.");
            if matches!(verdict, Verdict::Suspected(_) | Verdict::Barred) {
                state.tell(Word::crashed(*digest, crash), now);
            }
            if verdict == Verdict::Barred {
                self.bar(&mut state, *digest, now);
            }
        }
        drop(state);
        self.told.notify_one();
    }

    /// Has a bar written to the log.
    fn bar(&self, state: &mut State, digest: Digest, now: Moment) {
        let Some(lasts) = state.table.barred(digest, now) else {
            return;
        };
        log::warn!(digest:%, lasts_ms = millis(lasts); "poison: Barred.");
        state.say(digest, Change::Bar(lasts));
        self.unsaid.notify_one();
    }

    /// Another VM tells. `far` if it is of another zone, whose words go on to this one. `writes` if this
    /// VM writes for the zone.
    pub fn hear(&self, word: Word, far: bool, writes: bool, now: Moment) {
        let mut state = self.lock();
        if far {
            state.near.pass(word, now);
            self.told.notify_one();
        }
        match word {
            Word::Crashed {
                digest,
                endpoint,
                life,
            } => {
                let verdict = state.count(digest, Crash { endpoint, life }, now);
                match verdict {
                    Verdict::Barred if writes => self.bar(&mut state, digest, now),
                    Verdict::Cleared => self.told.notify_one(),
                    _ => {}
                }
            }
            Word::Answered { digest } => {
                state.table.heard(digest, now);
                state.near.withdraw(word);
                state.far.withdraw(word);
            }
        }
    }

    /// What the zone is to be told now.
    pub fn near(&self, now: Moment) -> Vec<Word> {
        self.lock().near.take(now)
    }

    /// What other zones are to be told now.
    pub fn far(&self, now: Moment) -> Vec<Word> {
        self.lock().far.take(now)
    }

    /// Suspects that are not barred, and requests that are.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.lock().table.counts()
    }
}

/// An answer to a request was whole.
pub fn answered<P: HeaderCodec + Codec, L: Log>(node: &Node<P, L>, digest: Digest) {
    let now = boot::now();
    let poison = &node.poison;
    let mut state = poison.lock();
    if state.table.answered(digest, now) {
        log::info!(digest:%; "poison: Cleared by a whole answer.");
        state.tell(Word::Answered { digest }, now);
        poison.told.notify_one();
    }
    if node.blocks.view(|bars| bars.barred(digest, now)).is_some() {
        state.say(digest, Change::Drop);
        poison.unsaid.notify_one();
    }
}

/// How long a request is still barred; none if it may be sent.
pub fn barred<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    digest: Digest,
) -> Option<Duration> {
    let now = boot::now();
    let table = &node.poison.lock().table;
    // The VM that wrote the bar may not have heard of the answer.
    if table.clears(digest, now) {
        return None;
    }
    let on_log = node.blocks.view(|bars| bars.barred(digest, now));
    table.barred(digest, now).max(on_log)
}

/// A run failed at an endpoint. Where its connection ended, the endpoint may have ended as well.
pub fn failed<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    digest: Digest,
    endpoint: &id::Endpoint,
    fault: &Fault,
) {
    if !fault.is_cut() {
        return;
    }
    let known = node.directory.view(|view| view.member(endpoint).cloned());
    // One that leaves ends what runs there in its own time.
    let Some(member) = known.filter(|member| !member.entry.leaving) else {
        return;
    };
    let crash = Crash {
        endpoint: choice::key(endpoint.as_str()),
        life: Some(member.entry.started_unix_ms),
    };
    let step = node.poison.lock().breaks.broke(digest, crash);
    match step {
        Step::Count => node.poison.crashed(crash, &[digest], boot::now()),
        Step::Look => {
            let node = node.clone();
            // Bounded in time, and of no use to a VM that ends.
            tokio::spawn(async move { watch(&node, &member.entry, crash).await });
        }
        Step::Wait => {}
    }
}

/// Waits until it is known whether an endpoint ended, and counts that for all that ran there.
async fn watch<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    entry: &Registration,
    crash: Crash,
) {
    let proof = ended::look(node, entry).await;
    let digests = node.poison.lock().breaks.looked(crash, proof.is_some());
    log::info!(
        endpoint = entry.id.as_str(),
        proof = proof.map(ended::Proof::as_str),
        runs = digests.len();
        "poison: Runs broke off."
    );
    if proof.is_some() {
        node.poison.crashed(crash, &digests, boot::now());
    }
}
