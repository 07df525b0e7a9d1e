//! Loans of a VM's share of what endpoints take from all VMs together.
//!
//! Shares of a limit are equal, as if callers were spread over the VMs. If most callers come to one VM, it
//! refuses them although its neighbours leave theirs unused. A VM therefore lends a part of its shares to
//! one that wants more.
//!
//! The sum never exceeds the limit: the lender gives up the part before it tells the borrower, and takes it
//! back only after the borrower has stopped to use it. Clocks of VMs can't be compared, and the word of a loan
//! may be lost, or late by any time. So the term of a loan begins for the borrower when it asked, by its own
//! clock, and for the lender when it lends, which is later.

use std::time::Duration;

use pimento_units::Moment;

/// Time for which a borrower uses a loan, from when it asked. It asks several times within it.
pub const TERM: Duration = Duration::from_millis(2_500);

/// Time for which a lender goes without what it lent, from when it lends. The difference is for clocks that
/// do not run alike.
const LENDER_TERM: Duration = Duration::from_millis(2_600);

/// How much more than its calls a VM wants and keeps, so that uneven arrivals are served.
const HEADROOM: f64 = 1.3;

/// Smallest part of its shares that a VM lends.
const MIN_PART: f64 = 0.2;

/// The longest time that a call may wait for its turn if that comes only by loans, which may end.
pub const MAX_WAIT: Duration = Duration::from_millis(400);

/// A loan between this VM and another one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Loan {
    /// Hash of the other VM's name.
    vm: u64,
    /// The part of the lender's shares, from 0 to 1.
    part: f64,
    until: Moment,
}

/// What another VM wants.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Want {
    vm: u64,
    /// Calls per second beyond its own shares.
    rate: f64,
    /// When it asked, by its own clock.
    asked: Moment,
    until: Moment,
}

/// A loan to another VM, which must be told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lent {
    /// The part of this VM's shares, from 0 to 1.
    pub part: f64,
    /// When the other VM asked, by its own clock.
    pub asked: Moment,
}

/// Which loans are over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expired {
    /// Some that this VM gave.
    pub lent: bool,
    /// Some that it took.
    pub borrowed: bool,
}

/// The loans of one VM in one pool, and what other VMs of its group want.
#[derive(Debug, Clone, Default)]
pub struct Book {
    lent: Vec<Loan>,
    /// Sorted by VM.
    borrowed: Vec<Loan>,
    /// Sorted by VM.
    wants: Vec<Want>,
}

impl Book {
    /// Records what another VM wants, in calls per second beyond its own shares. It asked at `asked`, by its own
    /// clock.
    pub fn record_want(&mut self, vm: u64, rate: f64, asked: Moment, now: Moment) {
        let want = Want {
            vm,
            rate,
            asked,
            until: now + TERM,
        };
        let place = self.wants.partition_point(|known| known.vm < vm);
        if self.wants.get(place).is_some_and(|known| known.vm == vm) {
            self.wants[place] = want;
        } else {
            self.wants.insert(place, want);
        }
    }

    /// Lends to a VM what it may have of this VM's shares, which are worth `share` calls per second while
    /// this VM's callers send `demand`.
    pub fn lend(&mut self, vm: u64, share: f64, demand: f64, now: Moment) -> Option<Lent> {
        let wants = self.wants.iter().filter(|want| now < want.until);
        let wanted: f64 = wants.clone().map(|want| want.rate).sum();
        let Want { rate, asked, .. } = *wants.clone().find(|want| want.vm == vm)?;
        if rate <= 0.0 || share <= 0.0 {
            return None;
        }
        let unused = (1.0 - demand * HEADROOM / share).max(0.0);
        let others = self.part_lent(now, |loan| loan.vm != vm);
        let part = (unused * rate / wanted).min(1.0 - others);
        if part < MIN_PART {
            return None;
        }
        let until = now + LENDER_TERM;
        self.lent.retain(|loan| loan.vm != vm || loan.part > part);
        self.lent.push(Loan { vm, part, until });
        Some(Lent { part, asked })
    }

    /// Records a loan of another VM until a moment, which replaces its last one.
    pub fn borrow(&mut self, vm: u64, part: f64, until: Moment) {
        let part = part.clamp(0.0, 1.0);
        let loan = Loan { vm, part, until };
        let place = self.borrowed.partition_point(|known| known.vm < vm);
        if self.borrowed.get(place).is_some_and(|known| known.vm == vm) {
            self.borrowed[place] = loan;
        } else {
            self.borrowed.insert(place, loan);
        }
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Moment) -> Expired {
        let (lent, borrowed) = (self.lent.len(), self.borrowed.len());
        self.lent.retain(|loan| now < loan.until);
        self.borrowed.retain(|loan| now < loan.until);
        self.wants.retain(|want| now < want.until);
        Expired {
            lent: self.lent.len() < lent,
            borrowed: self.borrowed.len() < borrowed,
        }
    }

    /// The part of this VM's shares that it may use itself.
    #[must_use]
    pub fn part_kept(&self, now: Moment) -> f64 {
        (1.0 - self.part_lent(now, |_| true)).max(0.0)
    }

    /// The part that is lent to some VMs. Of several loans to one VM the largest counts, as the word of a
    /// smaller one may be late.
    fn part_lent(&self, now: Moment, counts: impl Fn(&Loan) -> bool) -> f64 {
        let open = self.lent.iter().filter(|loan| now < loan.until);
        let mut largest: Vec<Loan> = Vec::new();
        for loan in open.filter(|loan| counts(loan)) {
            match largest.iter_mut().find(|known| known.vm == loan.vm) {
                Some(known) => known.part = known.part.max(loan.part),
                None => largest.push(*loan),
            }
        }
        largest.iter().map(|loan| loan.part).sum()
    }

    /// The lenders and the parts of their shares that this VM may use.
    pub fn borrowed(&self, now: Moment) -> impl Iterator<Item = (u64, f64)> {
        let open = self.borrowed.iter().filter(move |loan| now < loan.until);
        open.map(|loan| (loan.vm, loan.part))
    }
}

/// Returns the calls per second that a VM wants beyond its own shares.
#[must_use]
pub fn want(share: f64, demand: f64) -> f64 {
    (demand * HEADROOM - share).max(0.0)
}

/// Time over which calls are counted.
const COUNT_PERIOD: Duration = Duration::from_millis(500);

/// Part of the last period's rate in the mean, if it is lower. A higher one counts at once: a VM that lent
/// too much would refuse its own callers until the loans are over.
const DECAY: f64 = 0.5;

/// The rate at which calls arrive.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Meter {
    count: u32,
    since: Moment,
    mean: f64,
}

impl Meter {
    /// Counts a call.
    pub fn record(&mut self, now: Moment) {
        self.roll(now);
        self.count = self.count.saturating_add(1);
    }

    /// Returns the mean rate in calls per second.
    pub fn rate(&mut self, now: Moment) -> f64 {
        self.roll(now);
        let current = f64::from(self.count) / COUNT_PERIOD.as_secs_f64();
        self.mean.max(current)
    }

    fn roll(&mut self, now: Moment) {
        let elapsed = now.since(self.since);
        if elapsed < COUNT_PERIOD {
            return;
        }
        let rate = f64::from(self.count) / elapsed.as_secs_f64();
        self.mean = rate.max(self.mean + (rate - self.mean) * DECAY);
        // After a silence the mean says nothing any more.
        if elapsed > 2 * COUNT_PERIOD {
            self.mean = rate;
        }
        self.count = 0;
        self.since = now;
    }
}
