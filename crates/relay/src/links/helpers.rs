//! The VMs through which endpoints can be reached, and which of them to ask.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;

/// Time for which a VM that could not help is not asked again.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a VM that helped is told what endpoints announced. Most responses have begun by then.
const USE_MEMORY: Duration = Duration::from_secs(5);

/// What is known of another VM's own links. The variants are in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It is alive and reached an endpoint not long ago.
    Reaches,
    /// Its last report was that its links are up.
    Reported,
    /// It has not reported its links, and may run a version that serves no tunnels.
    Unknown,
}

/// Another VM that may serve tunnels.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Where it accepts tunnels.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: id::Zone,
    /// What is known of its links.
    pub standing: Standing,
}

/// The VMs that may help.
#[derive(Debug, Default)]
pub struct Helpers {
    all: Vec<Helper>,
    /// VMs that could not help, and until when they are not asked.
    failed: Vec<(SocketAddr, Moment)>,
    /// VMs that helped, and when last.
    used: Vec<(SocketAddr, Moment)>,
}

impl Helpers {
    /// Replaces the VMs that may help.
    pub fn set(&mut self, helpers: Vec<Helper>) {
        self.all = helpers;
    }

    /// Whether there are none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The number of VMs that are known to reach endpoints.
    #[must_use]
    pub fn reaching(&self) -> usize {
        let reaching = self.all.iter().filter(|h| h.standing == Standing::Reaches);
        reaching.count()
    }

    /// Records that a VM could not help.
    pub fn record_failed(&mut self, address: SocketAddr, now: Moment) {
        self.failed.retain(|(_, until)| now < *until);
        self.failed.push((address, now + FAILURE_PAUSE));
    }

    /// Records that a VM helped.
    pub fn record_used(&mut self, address: SocketAddr, now: Moment) {
        self.used
            .retain(|(known, at)| *known != address && now.since(*at) < USE_MEMORY);
        self.used.push((address, now));
    }

    /// The VMs that helped not long ago.
    #[must_use]
    pub fn recent(&self, now: Moment) -> Vec<SocketAddr> {
        let recent = self.used.iter();
        let recent = recent.filter(|(_, at)| now.since(*at) < USE_MEMORY);
        recent.map(|(address, _)| *address).collect()
    }

    /// The VM to ask for an endpoint in `zone`; `None` if there is none. Traffic between zones has a price,
    /// so that VMs of the own zone come first. Among equal ones `random` spreads the load.
    #[must_use]
    pub fn choose(
        &self,
        own: &id::Zone,
        zone: &id::Zone,
        random: u64,
        now: Moment,
    ) -> Option<SocketAddr> {
        let failed = |helper: &&Helper| {
            let mut failed = self.failed.iter();
            failed.any(|(address, until)| *address == helper.address && now < *until)
        };
        let rank = |helper: &Helper| {
            let distance = if helper.zone == *own {
                0
            } else {
                1 + u8::from(helper.zone != *zone)
            };
            (helper.standing, distance)
        };
        let usable = || self.all.iter().filter(|helper| !failed(helper));
        let best = usable().map(rank).min()?;
        let equal: Vec<&Helper> = usable().filter(|helper| rank(helper) == best).collect();
        let count = u64::try_from(equal.len()).unwrap_or(u64::MAX);
        let index = usize::try_from(random % count).unwrap_or_default();
        Some(equal[index].address)
    }
}
