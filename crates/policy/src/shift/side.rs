//! Which of the two versions of a shift a request uses.

/// One of the two versions of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that is replaced.
    Old,
    /// The version that was ordered.
    New,
}

/// How a shift has gone on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It has not ended.
    Running,
    /// It has ended with the new version in place.
    Done,
    /// It has ended with the old version in place, or the new version is known to be bad.
    RolledBack,
}

/// What is known when a request needs a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is known apart from the others, and all are looked up by name"
)]
pub struct Known {
    /// How the shift has gone on.
    pub progress: Progress,
    /// Whether the old version has usable endpoints.
    pub old_usable: bool,
    /// Whether the new version has usable endpoints.
    pub new_usable: bool,
    /// The version that the request's session used last; none if it has none, or is not known.
    pub last: Option<Side>,
    /// Whether sessions that used the old version stay there, and this may be one of them.
    pub pinned: bool,
    /// Whether the session is in the share that moves to the new version, and may join it.
    pub joins: bool,
    /// Whether the bound allows one more request to the new version.
    pub within_bound: bool,
}

impl Known {
    /// The version that the request uses; none if it may use neither now.
    #[must_use]
    pub const fn side(self) -> Option<Side> {
        match self.progress {
            Progress::Done if self.new_usable => Some(Side::New),
            Progress::RolledBack if self.old_usable => Some(Side::Old),
            Progress::Running => self.running_side(),
            Progress::Done | Progress::RolledBack => self.any_side(),
        }
    }

    const fn running_side(self) -> Option<Side> {
        if !self.old_usable || !self.new_usable {
            return self.any_side();
        }
        match self.last {
            // Its caller has answers of the new version, and must not get others again.
            Some(Side::New) => {
                if self.within_bound {
                    Some(Side::New)
                } else {
                    None
                }
            }
            _ if self.joins && !self.pinned && self.within_bound => Some(Side::New),
            _ => Some(Side::Old),
        }
    }

    /// Whichever version has usable endpoints.
    const fn any_side(self) -> Option<Side> {
        match (self.old_usable, self.new_usable) {
            (true, _) => Some(Side::Old),
            (false, true) => Some(Side::New),
            (false, false) => None,
        }
    }
}
