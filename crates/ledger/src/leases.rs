//! Leases on resources, with fencing numbers.
//!
//! A record that acquires a lease names the offset of the accepted record before it. Another holder's
//! record is accepted only after the previous lease has expired by the log's clock. The offset of the
//! accepted record is the fencing number. It rises with each change of holder, so an endpoint that
//! compares numbers refuses orders from a holder that was paused past the end of its lease.

use pimento_units::Offset;
use pimento_units::Wall;
use pimento_units::id;

use crate::record::Acquire;
use crate::record::LeaseRecord;
use crate::record::Release;

/// The fold of the leases stream. Sorted by resource.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    leases: Vec<Lease>,
}

/// The last accepted lease of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The leased resource.
    pub resource: id::Resource,
    /// The node that holds it.
    pub holder: id::Node,
    /// The fencing number: offset of the record that acquired the lease. Renewals before the end keep
    /// it.
    pub fencing: Offset,
    /// Offset of the last accepted record, which the next one must name.
    pub last: Offset,
    /// Id of the last accepted record.
    pub record: id::Record,
    /// End of the lease by the log's clock.
    pub until: Wall,
}

/// How a record was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The lease is acquired or renewed under this fencing number.
    Accepted(Offset),
    /// The lease is released.
    Released,
    /// Another record came first, the lease of another holder has not expired, or a release names a
    /// holder or fencing number that is not the current one.
    Refused,
    /// The record is a copy of the last accepted one.
    Repeated,
}

impl Fold {
    /// Applies the record at `offset`; `at` is the time at which the log accepted it.
    pub fn apply(&mut self, offset: Offset, at: Wall, record: &LeaseRecord) -> Verdict {
        match record {
            LeaseRecord::Acquire(acquire) => self.acquire(offset, at, acquire),
            LeaseRecord::Release(release) => self.release(at, release),
        }
    }

    /// The last accepted lease of a resource. It may have expired.
    #[must_use]
    pub fn lease(&self, resource: &id::Resource) -> Option<&Lease> {
        let position = self.position(resource).ok()?;
        self.leases.get(position)
    }

    fn acquire(&mut self, offset: Offset, at: Wall, acquire: &Acquire) -> Verdict {
        let until = at + acquire.span.duration();
        let position = match self.position(&acquire.resource) {
            Ok(position) => position,
            Err(position) => {
                if acquire.previous.is_some() {
                    return Verdict::Refused;
                }
                self.leases
                    .insert(position, Lease::new(offset, until, acquire));
                return Verdict::Accepted(offset);
            }
        };
        let lease = &mut self.leases[position];
        if lease.record == acquire.id {
            return Verdict::Repeated;
        }
        if acquire.previous != Some(lease.last) {
            return Verdict::Refused;
        }
        let running = at < lease.until;
        let same = lease.holder == acquire.holder;
        if running && !same {
            return Verdict::Refused;
        }
        // A renewal after the end gets a new number: another node may have waited for the end and be
        // about to act, although its record is not on the log yet.
        let fencing = if running { lease.fencing } else { offset };
        *lease = Lease {
            fencing,
            ..Lease::new(offset, until, acquire)
        };
        Verdict::Accepted(fencing)
    }

    fn release(&mut self, at: Wall, release: &Release) -> Verdict {
        let Ok(position) = self.position(&release.resource) else {
            return Verdict::Refused;
        };
        let lease = &mut self.leases[position];
        if lease.holder != release.holder || lease.fencing != release.fencing {
            return Verdict::Refused;
        }
        lease.until = lease.until.min(at);
        Verdict::Released
    }

    fn position(&self, resource: &id::Resource) -> Result<usize, usize> {
        self.leases
            .binary_search_by(|lease| lease.resource.cmp(resource))
    }
}

impl Lease {
    fn new(offset: Offset, until: Wall, acquire: &Acquire) -> Self {
        Self {
            resource: acquire.resource.clone(),
            holder: acquire.holder.clone(),
            fencing: offset,
            last: offset,
            record: acquire.id,
            until,
        }
    }
}
