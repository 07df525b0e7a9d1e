//! Loans between VMs of their shares of what endpoints take.

use std::time::Duration;

use pimento_policy::loan;
use pimento_policy::loan::Lent;
use pimento_policy::throttle::RateLimit;
use pimento_units::Moment;

use super::PoolState;
use crate::endpoint_limit::Kind;
use crate::endpoint_state::EndpointState;
use crate::participants::Participants;

impl PoolState {
    /// Sets the VMs that share the limits of endpoints from now on.
    pub fn set_participants(&mut self, participants: Participants, now: Moment) {
        self.sharing.participants = participants;
        self.apply_shares(now);
    }

    /// Counts a call that arrives.
    pub fn record_arrival(&mut self, now: Moment) {
        self.arrivals.record(now);
    }

    /// Returns the calls per second that this VM wants beyond its own shares.
    pub fn want(&mut self, now: Moment) -> f64 {
        let Some(share) = self.own_share(now) else {
            return 0.0;
        };
        loan::want(share, self.arrivals.rate(now))
    }

    /// Records what another VM wants.
    pub fn record_want(&mut self, vm: u64, rate: f64, asked: Moment, now: Moment) {
        self.sharing.loans.record_want(vm, rate, asked, now);
    }

    /// Lends to a VM what it may have of this VM's shares; nothing while calls of this VM wait.
    pub fn lend(&mut self, vm: u64, now: Moment) -> Option<Lent> {
        if self.queues.iter().any(|entry| !entry.queue.is_empty()) {
            return None;
        }
        let share = self.own_share(now)?;
        let demand = self.arrivals.rate(now);
        let before = self.sharing.loans.part_kept(now);
        let lent = self.sharing.loans.lend(vm, share, demand, now);
        if self.sharing.loans.part_kept(now) < before {
            self.apply_shares(now);
        }
        lent
    }

    /// Records a loan of another VM, which lasts for `term`.
    pub fn borrow(&mut self, vm: u64, part: f64, term: Duration, now: Moment) {
        self.sharing.loans.borrow(vm, part, now + term);
        self.apply_shares(now);
    }

    /// Ends the loans that are over. Returns whether this VM may use less than before.
    pub fn expire_loans(&mut self, now: Moment) -> bool {
        let expired = self.sharing.loans.expire(now);
        if expired.lent || expired.borrowed {
            self.apply_shares(now);
        }
        expired.borrowed
    }

    /// Returns whether calls would have their turns in time by this VM's shares alone, if `wait` is their wait
    /// at `rate`, which includes loans.
    pub fn is_in_time_without_loans(
        &self,
        wait: Duration,
        rate: f64,
        budget: Duration,
        now: Moment,
    ) -> bool {
        let kept = self.sharing.loans.part_kept(now);
        let own = self.own_share(now).map_or(rate, |share| share * kept);
        wait.as_secs_f64() * rate <= budget.as_secs_f64() * own
    }

    /// Returns what this VM's shares are worth without loans, in calls per second; none if some endpoint
    /// takes calls without a limit, so that there is nothing to lend or to want.
    fn own_share(&self, now: Moment) -> Option<f64> {
        let mut usable = self.endpoints.iter().filter(|state| state.member.usable);
        let first = self.own_share_of(usable.next()?, now)?;
        let others: Option<f64> = usable.map(|state| self.own_share_of(state, now)).sum();
        Some(first + others?)
    }

    fn own_share_of(&self, state: &EndpointState, now: Moment) -> Option<f64> {
        let participants = &self.sharing.participants;
        let (own, zone, key) = (participants.own(), &state.member.zone, state.name_hash);
        let limit = state
            .limit_of(Kind::Requests)
            .and_then(|known| known.limit());
        let limited = limit.map(|limit: RateLimit| participants.share(own, limit, zone, key));
        let cold = state.cold(now);
        let cold = cold.map(|cold| participants.cold_share(own, cold.bound(), zone, key));
        match (limited, cold) {
            (Some(limited), Some(cold)) => Some(limited.min(cold)),
            (limited, cold) => limited.or(cold),
        }
    }

    /// Sets what this VM may use of each endpoint.
    fn apply_shares(&mut self, now: Moment) {
        for index in 0..self.endpoints.len() {
            let sharing = &self.sharing;
            let state = &mut self.endpoints[index];
            let (zone, key) = (&state.member.zone, state.name_hash);
            if let Some(limited) = &mut state.rate_limit {
                limited.set_share(|limit| sharing.rate(limit, zone, key, now), now);
            }
            if let Some(cold) = &mut state.cold {
                cold.set_share(|bound| sharing.cold_rate(bound, zone, key, now), now);
            }
            let state = &self.endpoints[index];
            if let Some(mut brittle) = state.brittle {
                brittle.set_share(|limit| self.brittle_share(state, limit), now);
                self.endpoints[index].brittle = Some(brittle);
            }
        }
    }
}
