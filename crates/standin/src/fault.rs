//! The fault table of a stand-in, which can be replaced over HTTP while the stand-in runs.
//!
//! `PUT /faults` sets a [`Table`], and `GET /faults` returns it with the hits of each rule. The
//! actions of all rules that apply to a call are combined. Shares are drawn by hashing the seed,
//! the rule's index and the number of the call, so the same calls in the same order get the same
//! faults.

use std::time::Duration;

use compact_str::CompactString;
use pimento_units::Share;
use pimento_units::share::PARTS;
use pimento_wire::api::Run;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::server::Call;
use crate::shared::Shared;

/// Fault rules and the seed for their shares.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The seed.
    #[serde(default)]
    pub seed: u64,
    /// The rules, applied to a call in this order.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Calls affected by faults since the stand-in started, including those by previous tables.
    /// Ignored in `PUT /faults`.
    #[serde(default, rename = "struck")]
    pub affected: u64,
}

/// A fault and the calls it affects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Matches calls with this method, in upper case.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<CompactString>,
    /// Matches calls whose path starts with this.
    #[serde(default)]
    pub path: CompactString,
    /// Matches calls whose body contains this.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub body: CompactString,
    /// The number of matching calls to skip before the rule applies.
    #[serde(default)]
    pub after: u64,
    /// The maximum number of calls affected; none for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calls: Option<u64>,
    /// The share of calls affected.
    #[serde(default = "default_share")]
    pub share: Share,
    /// The fault.
    pub action: Action,
    /// Calls matched so far.
    #[serde(default)]
    pub seen: u64,
    /// Calls affected so far.
    #[serde(default)]
    pub hits: u64,
}

const fn default_share() -> Share {
    Share::ONE
}

/// A fault injected into a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Delays the call before anything else.
    Delay {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Responds with an error; the call has no effect.
    Refuse {
        /// HTTP status.
        status: u16,
        /// The `retry-after` header, in seconds.
        #[serde(default)]
        retry_after: Option<u64>,
        /// The `run` header.
        #[serde(default)]
        run: Option<Run>,
    },
    /// Sends no answer and keeps the connection open; the call has no effect.
    Hang,
    /// Closes the connection; the call has no effect.
    Drop,
    /// Crashes the stand-in and closes all its connections. It listens on the same address again
    /// later, with a new incarnation.
    Crash {
        /// Milliseconds until it listens again.
        back_ms: u64,
    },
    /// Closes the connection without an answer; the call takes effect.
    LoseAnswer,
    /// Delays the answer; the call takes effect before the delay.
    Late {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Responds with status 200 and an invalid body; the call takes effect.
    Garbage,
    /// Closes the connection after some events of a stream, or in the middle of a whole body; the
    /// call takes effect.
    Cut {
        /// The number of events sent.
        after: u64,
    },
    /// Sends an event of a stream twice.
    Duplicate {
        /// The event's number, from 0.
        event: u64,
    },
    /// Sends an event of a stream after the next one.
    Reorder {
        /// The event's number, from 0.
        event: u64,
    },
    /// Omits an event of a stream.
    Skip {
        /// The event's number, from 0.
        event: u64,
    },
    /// Stops a stream at an event and keeps the connection open.
    Stall {
        /// The number of the first event not sent, from 0.
        event: u64,
    },
}

impl Rule {
    /// A rule that applies to every call.
    #[must_use]
    pub fn new(action: Action) -> Self {
        Self {
            method: None,
            path: CompactString::default(),
            body: CompactString::default(),
            after: 0,
            calls: None,
            share: Share::ONE,
            action,
            seen: 0,
            hits: 0,
        }
    }

    /// Limits the rule to calls with this method whose path starts with `path`.
    #[must_use]
    pub fn on(mut self, method: &str, path: &str) -> Self {
        self.method = Some(method.into());
        self.path = path.into();
        self
    }

    /// Limits the rule to calls whose body contains `text`.
    #[must_use]
    pub fn containing(mut self, text: &str) -> Self {
        self.body = text.into();
        self
    }

    /// Limits the rule to at most `calls` calls.
    #[must_use]
    pub fn times(mut self, calls: u64) -> Self {
        self.calls = Some(calls);
        self
    }

    /// Skips the first `after` matching calls.
    #[must_use]
    pub fn after(mut self, after: u64) -> Self {
        self.after = after;
        self
    }

    /// Limits the rule to a share of the calls.
    #[must_use]
    pub fn share(mut self, share: Share) -> Self {
        self.share = share;
        self
    }

    fn matches(&self, call: &Call) -> bool {
        let method = self.method.as_deref();
        let method = method.is_none_or(|method| method == call.method.as_str());
        let text = self.body.as_bytes();
        let body = text.is_empty() || call.body.windows(text.len()).any(|part| part == text);
        method && call.path.starts_with(self.path.as_str()) && body
    }

    fn applies(&mut self, seed: u64) -> bool {
        let number = self.seen;
        self.seen += 1;
        if number < self.after || self.calls.is_some_and(|calls| self.hits >= calls) {
            return false;
        }
        let draw = xxh3_64_with_seed(&number.to_le_bytes(), seed) % u64::from(PARTS);
        if draw >= u64::from(self.share.parts()) {
            return false;
        }
        self.hits += 1;
        true
    }
}

/// The active fault table of a stand-in. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Faults(Shared<Table>);

impl Faults {
    /// Replaces the table, and keeps the total of affected calls.
    pub fn set(&self, table: Table) {
        self.0.with(|current| {
            let affected = current.affected;
            *current = Table { affected, ..table };
        });
    }

    /// Replaces the rules and keeps the seed.
    pub fn set_rules(&self, rules: impl IntoIterator<Item = Rule>) {
        let rules = rules.into_iter().collect();
        self.0.with(|table| table.rules = rules);
    }

    /// Removes all rules.
    pub fn clear(&self) {
        self.set_rules([]);
    }

    /// The table with its counters.
    #[must_use]
    pub fn table(&self) -> Table {
        self.0.with(|table| table.clone())
    }

    /// Applies the rules to the next call, updates their counters and returns the combined faults.
    #[must_use]
    pub fn plan(&self, call: &Call) -> Plan {
        let mut plan = Plan::default();
        self.0.with(|table| {
            let mut affected = false;
            for (index, rule) in (0..).zip(&mut table.rules) {
                let seed = table.seed.rotate_left(17) ^ index;
                if rule.matches(call) && rule.applies(seed) {
                    plan.add(&rule.action);
                    affected = true;
                }
            }
            table.affected += u64::from(affected);
        });
        plan
    }
}

/// The combined faults of one call, in the order in which they occur.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Delay before the call is handled.
    pub delay: Duration,
    /// Replaces the handling of the call.
    pub replacement: Option<Replacement>,
    /// Delay between the effect and the answer.
    pub answer_delay: Duration,
    /// Whether the connection is closed instead of answering.
    pub lose_answer: bool,
    /// Whether the response is replaced by one with an invalid body.
    pub garbage: bool,
    /// Faults of the response body.
    pub stream: StreamFaults,
}

/// What happens instead of handling a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replacement {
    /// An error response.
    Refuse {
        /// HTTP status.
        status: u16,
        /// The `retry-after` header, in seconds.
        retry_after: Option<u64>,
        /// The `run` header.
        run: Option<Run>,
    },
    /// No answer; the connection stays open.
    Hang,
    /// The connection is closed.
    Drop,
    /// The stand-in crashes and restarts.
    Crash {
        /// Time until it listens again.
        downtime: Duration,
    },
}

/// Faults of the events of one stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// The number of events after which the connection is closed.
    pub cut: Option<u64>,
    /// Events sent twice.
    pub duplicate: Vec<u64>,
    /// Events sent after the next one.
    pub reorder: Vec<u64>,
    /// Events omitted.
    pub skip: Vec<u64>,
    /// The first event that is never sent.
    pub stall: Option<u64>,
}

impl Plan {
    fn add(&mut self, action: &Action) {
        match action {
            Action::Delay { ms } => self.delay += Duration::from_millis(*ms),
            Action::Refuse {
                status,
                retry_after,
                run,
            } => {
                self.replacement = Some(Replacement::Refuse {
                    status: *status,
                    retry_after: *retry_after,
                    run: *run,
                });
            }
            Action::Hang => self.replacement = Some(Replacement::Hang),
            Action::Drop => self.replacement = Some(Replacement::Drop),
            Action::Crash { back_ms } => {
                let downtime = Duration::from_millis(*back_ms);
                self.replacement = Some(Replacement::Crash { downtime });
            }
            Action::LoseAnswer => self.lose_answer = true,
            Action::Late { ms } => self.answer_delay += Duration::from_millis(*ms),
            Action::Garbage => self.garbage = true,
            Action::Cut { after } => self.stream.cut = Some(*after),
            Action::Duplicate { event } => self.stream.duplicate.push(*event),
            Action::Reorder { event } => self.stream.reorder.push(*event),
            Action::Skip { event } => self.stream.skip.push(*event),
            Action::Stall { event } => self.stream.stall = Some(*event),
        }
    }
}
