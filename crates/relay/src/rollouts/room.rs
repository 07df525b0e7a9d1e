//! Room within the bound on requests that VMs of a group pass to each other.
//!
//! Each VM keeps to its own part of the bound. What a VM that stops has left would be lost, and one that starts
//! has nothing, although all sessions that come to it may have moved to the new version.

use std::time::Duration;

use pimento_policy::exposure::Forecast;
use pimento_policy::exposure::Room;
use pimento_units::Moment;
use pimento_units::Offset;

use super::Rollouts;
use super::handover::Loan;
use super::handover::Member;
use super::state::RolloutState;

/// A VM whose last word is older than this gets no room.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);

/// The least that is passed on.
const LEAST_ROOM: Room = Room::from_thousandths(250);

/// What a VM that stops keeps for streams that it may have to resume, in requests.
const STOPPING_RESERVE: f64 = 1.0;

/// Age of an order from which a VM that started with it knows its own rate of requests.
const RATE_TIME: Duration = Duration::from_secs(3);

/// What a VM that stops still does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// The VM that gets what this one doesn't need any more, if no VM wants it.
    pub successor: Option<u64>,
    /// How long callers may go on to use open connections.
    pub left: Duration,
}

impl Rollouts {
    /// Lends to a VM of the group what it wants and this one has left, and returns all that it was lent. A VM
    /// that stops leaves to its successor what nobody wants.
    pub fn lend(&mut self, vm: u64, stop: Option<Stop>, now: Moment) -> Vec<(Offset, Loan)> {
        let mut loans = Vec::new();
        for place in 0..self.newest.len() {
            let members = &self.newest[place].members;
            let Ok(member) = members.binary_search_by_key(&vm, |member| member.vm) else {
                continue;
            };
            let room = self.room_for(&self.newest[place], &members[member], stop, now);
            let rollout = &mut self.newest[place];
            let to = rollout.members[member].incarnation;
            if room >= LEAST_ROOM {
                rollout.transfers.lend(to, room);
                // It asks again with its next word, once it has this.
                rollout.members[member].want = Room::ZERO;
                log::debug!("rollout: Lending room for {room} requests to the new version.");
            }
            let total = rollout.transfers.lent_to(to).thousandths();
            if total > 0 {
                loans.push((rollout.offset(), Loan { to, total }));
            }
        }
        loans
    }

    /// What this VM lends to a member of its group now.
    fn room_for(
        &self,
        rollout: &RolloutState,
        member: &Member,
        stop: Option<Stop>,
        now: Moment,
    ) -> Room {
        let succeeds = stop.and_then(|stop| stop.successor) == Some(member.vm);
        let heard = now.since(member.heard) < MEMBER_TIMEOUT;
        let lends = rollout.is_running() && !rollout.is_bad() && heard;
        if !lends || member.want.is_zero() && !succeeds {
            return Room::ZERO;
        }
        let surplus = self.surplus(rollout, stop, now);
        if succeeds {
            surplus
        } else {
            surplus.min(member.want)
        }
    }

    /// What this VM will lack of room until the deadline.
    pub(super) fn want(&self, rollout: &RolloutState, now: Moment) -> Room {
        if !rollout.is_running() || rollout.is_bad() || rollout.is_over(now) {
            return Room::ZERO;
        }
        let want = rollout
            .bound(self.exposure)
            .want(rollout.sent(), &self.forecast(rollout, now));
        if want >= LEAST_ROOM { want } else { Room::ZERO }
    }

    /// What this VM can pass on.
    fn surplus(&self, rollout: &RolloutState, stop: Option<Stop>, now: Moment) -> Room {
        let bound = rollout.bound(self.exposure);
        let forecast = self.forecast(rollout, now);
        let Some(stop) = stop else {
            return bound.surplus(rollout.sent(), &forecast);
        };
        let end = rollout.age(now) + stop.left;
        let later = self.time_on_new(rollout, end);
        let soon = Forecast {
            left: forecast.left.min(stop.left),
            new: forecast.new.saturating_sub(later),
            ..forecast
        };
        let surplus = bound.surplus(rollout.sent(), &soon);
        Room::from_requests(surplus.requests() - STOPPING_RESERVE)
    }

    fn time_on_new(&self, rollout: &RolloutState, age: Duration) -> Duration {
        let time_limit = rollout.order.rollout.time_limit;
        let share = self.exposure.share;
        self.config.time_on_new(age, time_limit, share)
    }

    /// What this VM expects to send until the deadline.
    fn forecast(&self, rollout: &RolloutState, now: Moment) -> Forecast {
        let age = rollout.age(now);
        let time_limit = rollout.order.rollout.time_limit;
        let own = rollout.request_rate(now);
        let new = rollout.order.initial && now.since(rollout.order.read_at) < RATE_TIME;
        Forecast {
            rate: if new {
                own.max(rollout.mean_rate(now))
            } else {
                own
            },
            left: time_limit.saturating_sub(age),
            new: self.time_on_new(rollout, age),
        }
    }
}
