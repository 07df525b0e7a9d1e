//! Which of the two versions of a shift a request uses.

/// One of the two versions of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that is replaced.
    Old,
    /// The version that was ordered.
    New,
}

/// Why a request uses its version, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The new version has no usable endpoint.
    NoNewEndpoint,
    /// The old version has no usable endpoint.
    NoOldEndpoint,
    /// It is not known how the shift has gone on.
    Unknown,
    /// The new version is in place.
    Done,
    /// The old version is in place, or the new one is bad.
    RolledBack,
    /// Its session has used the new version.
    Kept,
    /// Its session stays on the old version.
    Pinned,
    /// It is in the share that uses the new version.
    InShare,
    /// It is not in that share.
    NotInShare,
    /// It is in that share, and the bound on requests is reached.
    BoundReached,
}

impl Reason {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoNewEndpoint => "no_new_endpoint",
            Self::NoOldEndpoint => "no_old_endpoint",
            Self::Unknown => "unknown",
            Self::Done => "done",
            Self::RolledBack => "rolled_back",
            Self::Kept => "kept",
            Self::Pinned => "pinned",
            Self::InShare => "in_share",
            Self::NotInShare => "not_in_share",
            Self::BoundReached => "bound_reached",
        }
    }
}

/// How a shift has gone on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It may have ended, and nobody was heard of it yet.
    Unknown,
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
    /// Whether the request is in the share that uses the new version.
    pub joins: bool,
    /// Whether its session may have moved to the new version elsewhere, which this node would not know.
    pub may_have_moved: bool,
    /// Whether the bound allows one more request to the new version.
    pub within_bound: bool,
}

impl Known {
    /// Why the request uses the version that [`side`](Self::side) tells.
    #[must_use]
    pub const fn reason(&self) -> Reason {
        if !self.new_usable {
            return Reason::NoNewEndpoint;
        }
        match self.progress {
            Progress::Done => Reason::Done,
            Progress::RolledBack => Reason::RolledBack,
            Progress::Unknown => Reason::Unknown,
            Progress::Running => match self.last {
                Some(Side::New) => Reason::Kept,
                _ if !self.old_usable => Reason::NoOldEndpoint,
                _ if self.pinned => Reason::Pinned,
                _ if !self.joins => Reason::NotInShare,
                _ if !self.within_bound => Reason::BoundReached,
                _ => Reason::InShare,
            },
        }
    }

    /// The version that the request uses; none if it may use neither now.
    #[must_use]
    pub const fn side(&self) -> Option<Side> {
        if !self.new_usable {
            return Some(Side::Old);
        }
        match self.progress {
            Progress::Done => Some(Side::New),
            // Its old version is back soon, and answers of a bad one are worse than none.
            Progress::RolledBack => self.old_side(),
            Progress::Unknown => match self.last {
                Some(Side::New) => self.new_side(),
                _ if self.old_usable => Some(Side::Old),
                _ => self.new_side(),
            },
            Progress::Running => self.running_side(),
        }
    }

    const fn running_side(self) -> Option<Side> {
        match self.last {
            // Its caller has answers of the new version, and must not get others again.
            Some(Side::New) => self.new_side(),
            _ if !self.old_usable => self.new_side(),
            _ if self.pinned || !self.joins => Some(Side::Old),
            _ if self.within_bound => Some(Side::New),
            // Its caller may have answers of the new version.
            _ if self.may_have_moved => None,
            _ => Some(Side::Old),
        }
    }

    const fn old_side(self) -> Option<Side> {
        if self.old_usable {
            Some(Side::Old)
        } else {
            None
        }
    }

    /// The new version, of which nothing is known yet, within its bound.
    const fn new_side(self) -> Option<Side> {
        if self.within_bound {
            Some(Side::New)
        } else {
            None
        }
    }
}
