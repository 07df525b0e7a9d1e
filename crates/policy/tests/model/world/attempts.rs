//! Attempts: how a request is sent, hedged, retried and finished.

use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::eject;
use pimento_policy::hedge;
use pimento_policy::limit;
use pimento_policy::retry;
use pimento_units::Tokens;

use super::super::engine::Progress;
use super::super::engine::Work;
use super::super::float;
use super::super::node::moment;
use super::super::scenario::CLASSES;
use super::super::scenario::Kind;
use super::Answer;
use super::Attempt;
use super::DELAYS;
use super::Event;
use super::FAILURE_DELAY;
use super::Request;
use super::World;

impl World {
    pub(super) fn send(&mut self, request: usize) -> bool {
        let Request { arrival, node, .. } = self.requests[request];
        let tried = self.requests[request].tried.clone();
        let sender = &mut self.nodes[node];
        let Some(endpoint) = sender.choose(&arrival, &tried, self.now) else {
            return false;
        };
        let name = sender.endpoint(endpoint).clone();
        sender.health.record_sent(&name, moment(self.now));
        assert!(
            sender.limiters[endpoint].acquire(),
            "a chosen endpoint has room"
        );
        let across = usize::from(endpoint % 3 != sender.zone);
        let left = arrival.at + CLASSES[arrival.class].timeout - self.now;
        let hedge = hedge::delay(
            &sender.tails[arrival.class],
            hedge::Attempt {
                repeatable: true,
                long: arrival.class == 2,
                time_left: Duration::from_secs_f64(left.max(0.0)),
            },
        );
        let hedge = hedge.filter(|_| sender.mechanisms.hedge && tried.is_empty());
        let timeout = hedge::first_token_timeout(&sender.tails[arrival.class]);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            endpoint,
            sent: self.now,
            first: false,
            open: true,
            reached: true,
        });
        let state = &mut self.requests[request];
        state.attempts += 1;
        state.tried.push(endpoint);
        state.open_attempts.push(attempt);
        self.at(self.now + DELAYS[across], Event::Reach(attempt));
        if let Some(delay) = hedge {
            self.at(self.now + delay.as_secs_f64(), Event::Hedge(attempt));
        }
        if let Some(timeout) = timeout {
            self.at(
                self.now + timeout.as_secs_f64(),
                Event::FirstTokenTimeout(attempt),
            );
        }
        true
    }

    pub(super) fn reach(&mut self, attempt: usize) {
        let Attempt {
            request,
            endpoint,
            open,
            ..
        } = self.attempts[attempt];
        if !open {
            return;
        }
        let fault = self.engines[endpoint].fault(self.now);
        self.attempts[attempt].reached = fault != Some(Kind::Gone);
        let fails = match fault {
            Some(Kind::Gone) => true,
            Some(Kind::Fail(share)) => self.random.unit() < share,
            _ => false,
        };
        if fails {
            self.at(self.now + FAILURE_DELAY, Event::Fail(attempt));
            return;
        }
        let Request { arrival, node, .. } = self.requests[request];
        let work = Work {
            attempt,
            priority: if self.nodes[node].mechanisms.fair {
                CLASSES[arrival.class].priority
            } else {
                0
            },
            input: arrival.input,
            output: arrival.output,
            prefix: arrival.prefix,
        };
        self.engines[endpoint].push(self.now, work);
        self.wake(endpoint);
    }

    pub(super) fn wake(&mut self, engine: usize) {
        if let Some(at) = self.engines[engine].next() {
            let generation = self.engines[engine].generation;
            self.at(at.max(self.now), Event::Engine(engine, generation));
        }
    }

    pub(super) fn progress(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        for progress in self.engines[engine].step(self.now) {
            match progress {
                Progress::First(attempt) => self.first_token(attempt),
                Progress::End(attempt) => self.finish(attempt),
            }
        }
        self.wake(engine);
    }

    /// Handles the first token, on which the other attempts at the request are cancelled.
    pub(super) fn first_token(&mut self, attempt: usize) {
        let Attempt {
            request,
            sent,
            open,
            ..
        } = self.attempts[attempt];
        if !open {
            return;
        }
        self.attempts[attempt].first = true;
        let Request {
            arrival,
            node,
            first,
            ..
        } = self.requests[request];
        if first.is_none() {
            self.requests[request].first = Some(self.now);
        }
        let took = Duration::from_secs_f64(self.now - sent);
        self.nodes[node].tails[arrival.class].record(took, moment(self.now));
        for other in self.requests[request].open_attempts.clone() {
            if other != attempt {
                self.drop_call(other);
                self.close(other, limit::Outcome::Unknown, eject::Outcome::Failed);
            }
        }
    }

    pub(super) fn finish(&mut self, attempt: usize) {
        let Attempt {
            request,
            sent,
            open,
            ..
        } = self.attempts[attempt];
        if !open {
            return;
        }
        let Request { arrival, node, .. } = self.requests[request];
        let tokens = admission::work(Tokens(arrival.input), Tokens(arrival.output));
        let took = Duration::from_secs_f64(self.now - sent);
        let seconds_per_token = took.as_secs_f64() / float(tokens.0.max(1));
        let served = limit::Outcome::Served { tokens, took };
        let owner = &mut self.nodes[node];
        owner.gate.record(tokens, took, moment(self.now));
        owner.lengths[arrival.class].record(Tokens(arrival.output));
        owner.customers[arrival.customer].record_success(moment(self.now));
        owner.pool.record_success(moment(self.now));
        self.close(
            attempt,
            served,
            eject::Outcome::Served { seconds_per_token },
        );
        self.finish_request(request, Answer::Served);
        self.dispatch(node);
    }

    /// Releases the slot and records the outcome for the endpoint's health.
    pub(super) fn close(&mut self, attempt: usize, load: limit::Outcome, health: eject::Outcome) {
        let Attempt {
            request,
            endpoint,
            open,
            ..
        } = self.attempts[attempt];
        if !open {
            return;
        }
        self.attempts[attempt].open = false;
        let now = self.now;
        let state = &mut self.requests[request];
        state.open_attempts.retain(|other| *other != attempt);
        let node = &mut self.nodes[state.node];
        node.limiters[endpoint].release(load);
        let name = node.endpoint(endpoint).clone();
        node.health.record(&name, health, moment(now));
    }

    pub(super) fn drop_call(&mut self, attempt: usize) {
        if self.attempts[attempt].open {
            let endpoint = self.attempts[attempt].endpoint;
            self.engines[endpoint].cancel(self.now, attempt);
            self.wake(endpoint);
        }
    }

    /// Abandons an attempt that had no first token for too long if another attempt is open or the
    /// retry budget allows one. Otherwise the attempt continues, since the caller has no other.
    pub(super) fn first_token_timeout(&mut self, attempt: usize) {
        let Attempt {
            request,
            open,
            first,
            ..
        } = self.attempts[attempt];
        if !open || first {
            return;
        }
        let only_attempt = self.requests[request].open_attempts.len() == 1;
        if only_attempt && !self.try_retry(request, true) {
            return;
        }
        self.drop_call(attempt);
        self.close(attempt, limit::Outcome::Unknown, eject::Outcome::Failed);
        if only_attempt {
            let node = self.requests[request].node;
            self.nodes[node].retries.push_back(request);
            self.dispatch(node);
        }
    }

    /// Decides whether a request is retried, and withdraws the retry from the budgets if so.
    pub(super) fn try_retry(&mut self, request: usize, reached: bool) -> bool {
        let Request {
            arrival,
            node,
            attempts,
            ..
        } = self.requests[request];
        let owner = &mut self.nodes[node];
        let failure = retry::Failure {
            repeatable: true,
            attempts,
            run_time: owner.gate.run_time(owner.estimate(&arrival)),
            deadline: moment(arrival.at + CLASSES[arrival.class].timeout),
        };
        let now = moment(self.now);
        if !owner.mechanisms.budget {
            return attempts < retry::MAX_ATTEMPTS;
        }
        if !reached {
            return retry::can_retry_unsent(failure, now);
        }
        retry::try_retry(
            failure,
            &mut owner.customers[arrival.customer],
            &mut owner.pool,
            now,
        )
    }

    pub(super) fn fail(&mut self, attempt: usize, health: eject::Outcome) {
        let Attempt {
            request,
            open,
            reached,
            ..
        } = self.attempts[attempt];
        if !open {
            return;
        }
        self.close(attempt, limit::Outcome::Unknown, health);
        if !self.requests[request].open_attempts.is_empty() {
            return;
        }
        let node = self.requests[request].node;
        if self.try_retry(request, reached) {
            self.nodes[node].retries.push_back(request);
        } else {
            self.finish_request(request, Answer::Failed);
        }
        self.dispatch(node);
    }

    pub(super) fn hedge(&mut self, attempt: usize) {
        let Attempt {
            request,
            first,
            open,
            ..
        } = self.attempts[attempt];
        if !open || first || self.requests[request].answer != Answer::Pending {
            return;
        }
        let Request { arrival, node, .. } = self.requests[request];
        let now = moment(self.now);
        let owner = &mut self.nodes[node];
        if !owner.customers[arrival.customer].can_withdraw(now) || !owner.pool.withdraw(now) {
            return;
        }
        let paid = owner.customers[arrival.customer].withdraw(now);
        if !self.send(request) && paid {
            self.nodes[node].pool.refund();
            self.nodes[node].customers[arrival.customer].refund();
        }
    }
}
