//! Attempts: how a request is sent, hedged, repeated and ended.

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
use super::FAILING;
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
        let silence = hedge::first_token_timeout(&sender.tails[arrival.class]);
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
        state.live.push(attempt);
        self.at(self.now + DELAYS[across], Event::Reach(attempt));
        if let Some(delay) = hedge {
            self.at(self.now + delay.as_secs_f64(), Event::Hedge(attempt));
        }
        if let Some(silence) = silence {
            self.at(self.now + silence.as_secs_f64(), Event::Silence(attempt));
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
            self.at(self.now + FAILING, Event::Fail(attempt));
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
        for made in self.engines[engine].step(self.now) {
            match made {
                Progress::First(attempt) => self.first(attempt),
                Progress::End(attempt) => self.finish(attempt),
            }
        }
        self.wake(engine);
    }

    /// The first token: the other attempts at this request are cancelled.
    pub(super) fn first(&mut self, attempt: usize) {
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
        for other in self.requests[request].live.clone() {
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
        owner.customers[arrival.customer].success(moment(self.now));
        owner.pool.success(moment(self.now));
        self.close(
            attempt,
            served,
            eject::Outcome::Served { seconds_per_token },
        );
        self.settle(request, Answer::Served);
        self.dispatch(node);
    }

    /// Gives the slot back and tells the endpoint's health.
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
        state.live.retain(|other| *other != attempt);
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

    /// An attempt without a first token for too long is given up for another one, if one is paid
    /// for; otherwise it is all that the caller has.
    pub(super) fn silent(&mut self, attempt: usize) {
        let Attempt {
            request,
            open,
            first,
            ..
        } = self.attempts[attempt];
        if !open || first {
            return;
        }
        let alone = self.requests[request].live.len() == 1;
        if alone && !self.again(request, true) {
            return;
        }
        self.drop_call(attempt);
        self.close(attempt, limit::Outcome::Unknown, eject::Outcome::Failed);
        if alone {
            let node = self.requests[request].node;
            self.nodes[node].redo.push_back(request);
            self.dispatch(node);
        }
    }

    /// Whether a request is tried again; draws on the budgets if so.
    pub(super) fn again(&mut self, request: usize, reached: bool) -> bool {
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
        if !self.requests[request].live.is_empty() {
            return;
        }
        let node = self.requests[request].node;
        if self.again(request, reached) {
            self.nodes[node].redo.push_back(request);
        } else {
            self.settle(request, Answer::Failed);
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
