//! What this VM may use of what endpoints take from all VMs together: its shares, less what it lends, and
//! what other VMs lend to it.

use pimento_policy::cold;
use pimento_policy::loan::Book;
use pimento_policy::throttle::RateLimit;
use pimento_units::Moment;
use pimento_units::id;

use crate::participants::Participants;

/// The shares and loans of one pool's endpoints. Shares of brittle endpoints' slots are not lent.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sharing {
    pub participants: Participants,
    pub loans: Book,
}

impl Sharing {
    /// Returns the rate that this VM may use, from the share of each VM.
    fn usable(&self, share: impl Fn(u64) -> f64, now: Moment) -> f64 {
        let own = share(self.participants.own()) * self.loans.part_kept(now);
        let borrowed = self.loans.borrowed(now).map(|(vm, part)| share(vm) * part);
        own + borrowed.sum::<f64>()
    }

    /// Returns what this VM may use of an endpoint's limit, in requests per second.
    pub fn rate(&self, limit: RateLimit, zone: &id::Zone, endpoint: u64, now: Moment) -> f64 {
        let share = |vm| self.participants.share(vm, limit, zone, endpoint);
        self.usable(share, now)
    }

    /// Returns what this VM may use of the calls to a cold endpoint, in calls per second.
    pub fn cold_rate(
        &self,
        bound: cold::Bound,
        zone: &id::Zone,
        endpoint: u64,
        now: Moment,
    ) -> f64 {
        let share = |vm| self.participants.cold_share(vm, bound, zone, endpoint);
        self.usable(share, now)
    }
}
