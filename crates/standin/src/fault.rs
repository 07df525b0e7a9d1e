//! The fault table of a stand-in, set over HTTP while it runs.
//!
//! `PUT /faults` takes a [`Table`], `GET /faults` gives it back with the hits of each rule. Every
//! rule that matches a call adds its action. Shares are drawn by hashing the seed, the rule's place
//! and the number of the call, so that the same calls in the same order meet the same faults.

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

/// Rules with the seed that draws their shares.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The seed.
    #[serde(default)]
    pub seed: u64,
    /// The rules; all that match a call act on it, in this order.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Calls struck since the stand-in began, by this table and all before it. What is put here is
    /// not taken.
    #[serde(default)]
    pub struck: u64,
}

/// A fault and the calls that it strikes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Only calls by this method, upper case.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<CompactString>,
    /// Only calls whose path begins with this.
    #[serde(default)]
    pub path: CompactString,
    /// Only calls whose body holds this.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub body: CompactString,
    /// Matching calls that pass before the rule begins to act.
    #[serde(default)]
    pub after: u64,
    /// The most calls that it strikes; none for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calls: Option<u64>,
    /// The share of calls that it strikes.
    #[serde(default = "whole")]
    pub share: Share,
    /// What happens.
    pub action: Action,
    /// Calls that matched so far.
    #[serde(default)]
    pub seen: u64,
    /// Calls struck so far.
    #[serde(default)]
    pub hits: u64,
}

const fn whole() -> Share {
    Share::ONE
}

/// What happens to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The call waits before anything else happens.
    Delay {
        /// Milliseconds.
        ms: u64,
    },
    /// An error without effect.
    Refuse {
        /// HTTP status.
        status: u16,
        /// Seconds in `retry-after`.
        #[serde(default)]
        retry_after: Option<u64>,
        /// What the `run` header says; left out if none.
        #[serde(default)]
        run: Option<Run>,
    },
    /// No effect and no answer; the connection stays open.
    Hang,
    /// No effect; the connection is closed.
    Drop,
    /// The stand-in ends under the call, with all its connections, and is back at its address after
    /// a while as another life of itself.
    Crash {
        /// Milliseconds until it is back.
        back_ms: u64,
    },
    /// The effect takes place, then the connection is closed without an answer.
    LoseAnswer,
    /// The effect takes place, the answer comes later.
    Late {
        /// Milliseconds.
        ms: u64,
    },
    /// The effect takes place, the status is 200 and the body is not what was asked for.
    Garbage,
    /// The effect takes place, the connection is closed after this many events of a stream. A
    /// whole body is cut in its middle.
    Cut {
        /// Events that are sent.
        after: u64,
    },
    /// An event of a stream comes twice.
    Duplicate {
        /// Its number, from 0.
        event: u64,
    },
    /// An event of a stream comes after the next one.
    Reorder {
        /// Its number, from 0.
        event: u64,
    },
    /// An event of a stream is left out.
    Skip {
        /// Its number, from 0.
        event: u64,
    },
    /// A stream stops at an event and its connection stays open.
    Stall {
        /// The number of the first event that does not come.
        event: u64,
    },
}

impl Rule {
    /// A rule that strikes every call.
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

    /// Only calls by this method to paths that begin with `path`.
    #[must_use]
    pub fn on(mut self, method: &str, path: &str) -> Self {
        self.method = Some(method.into());
        self.path = path.into();
        self
    }

    /// Only calls whose body holds `text`.
    #[must_use]
    pub fn containing(mut self, text: &str) -> Self {
        self.body = text.into();
        self
    }

    /// Only the next `calls` calls.
    #[must_use]
    pub fn times(mut self, calls: u64) -> Self {
        self.calls = Some(calls);
        self
    }

    /// Only from the call number `after` (from 0) on.
    #[must_use]
    pub fn after(mut self, after: u64) -> Self {
        self.after = after;
        self
    }

    /// Only a share of the calls.
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

    fn strikes(&mut self, seed: u64) -> bool {
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

/// The table in force at a stand-in.
#[derive(Debug, Clone, Default)]
pub struct Faults(Shared<Table>);

impl Faults {
    /// Replaces the table.
    pub fn set(&self, table: Table) {
        self.0.with(|current| {
            let struck = current.struck;
            *current = Table { struck, ..table };
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

    /// What happens to the next call.
    #[must_use]
    pub fn draw(&self, call: &Call) -> Plan {
        let mut plan = Plan::default();
        self.0.with(|table| {
            let mut struck = false;
            for (place, rule) in (0..).zip(&mut table.rules) {
                let seed = table.seed.rotate_left(17) ^ place;
                if rule.matches(call) && rule.strikes(seed) {
                    plan.add(&rule.action);
                    struck = true;
                }
            }
            table.struck += u64::from(struck);
        });
        plan
    }
}

/// What happens to one call, by the time at which it does.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Wait before the effect.
    pub delay: Duration,
    /// What takes the place of the effect.
    pub instead: Option<Instead>,
    /// Wait between the effect and the answer.
    pub late: Duration,
    /// Whether the answer is lost.
    pub lose: bool,
    /// Whether the body is replaced by nonsense.
    pub garbage: bool,
    /// What happens to the events of a stream.
    pub mangle: Mangle,
}

/// What takes the place of a call's effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Instead {
    /// An error.
    Refuse {
        /// HTTP status.
        status: u16,
        /// Seconds in `retry-after`.
        retry_after: Option<u64>,
        /// The `run` header.
        run: Option<Run>,
    },
    /// Nothing, for ever.
    Hang,
    /// The connection is closed.
    Drop,
    /// The stand-in ends, and is back after this time.
    Crash {
        /// How long it is gone.
        back: Duration,
    },
}

/// What happens to the events of one stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Mangle {
    /// The connection is closed after this many events.
    pub cut: Option<u64>,
    /// Events that come twice.
    pub duplicate: Vec<u64>,
    /// Events that come after the next one.
    pub reorder: Vec<u64>,
    /// Events that are left out.
    pub skip: Vec<u64>,
    /// The first event that never comes.
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
                self.instead = Some(Instead::Refuse {
                    status: *status,
                    retry_after: *retry_after,
                    run: *run,
                });
            }
            Action::Hang => self.instead = Some(Instead::Hang),
            Action::Drop => self.instead = Some(Instead::Drop),
            Action::Crash { back_ms } => {
                let back = Duration::from_millis(*back_ms);
                self.instead = Some(Instead::Crash { back });
            }
            Action::LoseAnswer => self.lose = true,
            Action::Late { ms } => self.late += Duration::from_millis(*ms),
            Action::Garbage => self.garbage = true,
            Action::Cut { after } => self.mangle.cut = Some(*after),
            Action::Duplicate { event } => self.mangle.duplicate.push(*event),
            Action::Reorder { event } => self.mangle.reorder.push(*event),
            Action::Skip { event } => self.mangle.skip.push(*event),
            Action::Stall { event } => self.mangle.stall = Some(*event),
        }
    }
}
