//! Who may give orders about a resource, and under which fencing number.
//!
//! A take follows the one before it by offset, and is accepted from another holder only once the
//! lease before has run out by the log's clock. The accepted record's offset is the fencing number:
//! it rises with every change of holder, so that an endpoint that compares numbers refuses the
//! orders of a holder that was paused past its lease.

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

/// The last accepted take of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// What is leased.
    pub resource: id::Resource,
    /// Who holds it.
    pub holder: id::Node,
    /// The fencing number: offset of the holder's first take in an unbroken row.
    pub fencing: Offset,
    /// Offset of the last accepted take, which the next one must name.
    pub last: Offset,
    /// Id of the last accepted take.
    pub record: id::Record,
    /// End by the log's clock.
    pub until: Wall,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The lease is taken or renewed under this fencing number.
    Accepted(Offset),
    /// The lease is given up.
    Released,
    /// Another take came first, or the lease before has not run out.
    Refused,
    /// The record was read before.
    Repeated,
}

impl Fold {
    /// Applies the record at `offset`; `at` is when the log took it.
    pub fn apply(&mut self, offset: Offset, at: Wall, hold: &LeaseRecord) -> Verdict {
        match hold {
            LeaseRecord::Acquire(take) => self.take(offset, at, take),
            LeaseRecord::Release(release) => self.release(at, release),
        }
    }

    /// The last accepted take of a resource. It may have run out.
    #[must_use]
    pub fn lease(&self, resource: &id::Resource) -> Option<&Lease> {
        let place = self.place(resource).ok()?;
        self.leases.get(place)
    }

    fn take(&mut self, offset: Offset, at: Wall, take: &Acquire) -> Verdict {
        let until = at + take.span.duration();
        let place = match self.place(&take.resource) {
            Ok(place) => place,
            Err(place) => {
                if take.previous.is_some() {
                    return Verdict::Refused;
                }
                self.leases.insert(place, Lease::new(offset, until, take));
                return Verdict::Accepted(offset);
            }
        };
        let lease = &mut self.leases[place];
        if lease.record == take.id {
            return Verdict::Repeated;
        }
        if take.previous != Some(lease.last) {
            return Verdict::Refused;
        }
        let running = at < lease.until;
        let same = lease.holder == take.holder;
        if running && !same {
            return Verdict::Refused;
        }
        // A renewal after the end gets a new number: somebody may have waited the lease out and be
        // about to act, though no take of theirs is on the log yet.
        let fencing = if running { lease.fencing } else { offset };
        *lease = Lease {
            fencing,
            ..Lease::new(offset, until, take)
        };
        Verdict::Accepted(fencing)
    }

    fn release(&mut self, at: Wall, release: &Release) -> Verdict {
        let Ok(place) = self.place(&release.resource) else {
            return Verdict::Refused;
        };
        let lease = &mut self.leases[place];
        if lease.holder != release.holder || lease.fencing != release.fencing {
            return Verdict::Refused;
        }
        lease.until = lease.until.min(at);
        Verdict::Released
    }

    fn place(&self, resource: &id::Resource) -> Result<usize, usize> {
        self.leases
            .binary_search_by(|lease| lease.resource.cmp(resource))
    }
}

impl Lease {
    fn new(offset: Offset, until: Wall, take: &Acquire) -> Self {
        Self {
            resource: take.resource.clone(),
            holder: take.holder.clone(),
            fencing: offset,
            last: offset,
            record: take.id,
            until,
        }
    }
}
