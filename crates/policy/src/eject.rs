//! Ejection of endpoints that fail or are far slower than their pool.
//!
//! **Load:** an endpoint that fails fast, hangs or is slow. **Without it:** the one that fails
//! fast has the fewest calls in flight, so that least-loaded choice sends it most requests; the
//! slow one sets the pool's 95th percentile. **How:** an endpoint goes out after consecutive
//! errors, or when its time for a token stays over a multiple of the pool's median. At most a
//! share of the pool is out, since a pool that fails as a whole is not helped by shrinking it; one that
//! fails when that many are out takes the place of the one that has been out for longest. It
//! comes back by single probes: first one call, then an ordinary share; each further ejection
//! lasts longer.
//!
//! **Grounds:** outlier detection as known from Envoy (consecutive errors, bounded share, growing
//! ejection time) and Finagle's failure accrual with probes.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;

/// Figures of a [`Pool`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Errors in a row that eject. Two come by chance in a full pool, where a call that was hedged
    /// and lost counts as one; more would leave a hanging endpoint in use for longer, since each of
    /// many nodes learns alone and sends it a call only every few seconds.
    pub consecutive_errors: u32,
    /// Times the pool's median time for a token that ejects. Above the two to one between a full
    /// batch and a middling one.
    pub slow_factor: f64,
    /// Answers that an endpoint must have given before it can be called slow.
    pub min_samples: u32,
    /// Weight of an answer in an endpoint's average.
    pub sample_weight: f64,
    /// The largest share of the pool that is out at once.
    pub max_ejected_share: f64,
    /// How long the first ejection lasts.
    pub first_ejection: Duration,
    /// How long any ejection lasts at most.
    pub longest_ejection: Duration,
    /// Probes in a row that must succeed before an endpoint is back.
    pub probes_to_return: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            consecutive_errors: 3,
            slow_factor: 2.5,
            min_samples: 3,
            sample_weight: 0.4,
            max_ejected_share: 0.34,
            first_ejection: Duration::from_secs(6),
            longest_ejection: Duration::from_secs(30),
            probes_to_return: 3,
        }
    }
}

/// How long a median holds. It moves with the load of the whole pool, over seconds; to sort
/// hundreds of endpoints at each answer would cost more than all else.
pub const MEDIAN_INTERVAL: Duration = Duration::from_millis(250);

/// Endpoints up to which the others' median is taken for each answer. In a pool of two or three an
/// endpoint's own times, a moment old, would be half of what it is held against, or all if the other
/// one fails: a single hiccup ejected the only endpoint that answered.
const FEW: usize = 8;

/// How a call ended, as far as the endpoint's health goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Answered, with the seconds for a token that it took.
    Served {
        /// Seconds for a token.
        seconds_per_token: f64,
    },
    /// Answered, in a time that says nothing of the endpoint's speed, as that of an answer by
    /// whichever model and of whichever length.
    AnsweredUntimed,
    /// Failed, cut off, or silent for too long.
    Failed,
    /// It says nothing about health, such as a refusal for overload or a caller that went away.
    Unknown,
}

/// Whether an endpoint may get a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In use.
    Active,
    /// Out, but one call may try it now.
    Probe,
    /// Out.
    Ejected,
}

#[derive(Debug, Clone)]
struct Member {
    endpoint: id::Endpoint,
    pace: f64,
    samples: u32,
    errors: u32,
    ejections: u32,
    until: Option<Moment>,
    probing: Option<Moment>,
    probes: u32,
}

/// The health of a pool's endpoints as one node sees it. Sorted by endpoint.
#[derive(Debug, Clone)]
pub struct Pool {
    config: Config,
    members: Vec<Member>,
    ejected: usize,
    median: Option<f64>,
    measured: Moment,
}

impl Member {
    fn new(endpoint: id::Endpoint) -> Self {
        Self {
            endpoint,
            pace: 0.0,
            samples: 0,
            errors: 0,
            ejections: 0,
            until: None,
            probing: None,
            probes: 0,
        }
    }

    fn out(&self) -> bool {
        self.until.is_some()
    }

    /// A probe whose answer never comes must not keep the endpoint out for ever: after the longest
    /// ejection the next one may go.
    fn state(&self, now: Moment, longest: Duration) -> State {
        match (self.until, self.probing) {
            (None, _) => State::Active,
            (Some(until), _) if now < until => State::Ejected,
            (Some(_), Some(since)) if now < since + longest => State::Ejected,
            (Some(_), _) => State::Probe,
        }
    }

    /// In use again, with nothing held against it.
    fn back(&mut self) {
        self.until = None;
        self.probing = None;
        self.samples = 0;
        self.errors = 0;
    }

    fn learn(&mut self, pace: f64, weight: f64) {
        self.errors = 0;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.pace = pace;
        } else {
            self.pace += weight * (pace - self.pace);
        }
    }
}

impl Pool {
    /// A pool without endpoints.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            members: Vec::new(),
            ejected: 0,
            median: None,
            measured: Moment::ZERO,
        }
    }

    /// Keeps exactly these endpoints, with what is known of those that stay.
    pub fn retain(&mut self, endpoints: impl IntoIterator<Item = id::Endpoint>) {
        let mut members: Vec<Member> = endpoints.into_iter().map(Member::new).collect();
        members.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        members.dedup_by(|one, other| one.endpoint == other.endpoint);
        for member in &mut members {
            if let Some(place) = self.find(&member.endpoint) {
                *member = self.members[place].clone();
            }
        }
        self.ejected = members.iter().filter(|member| member.out()).count();
        self.members = members;
        self.readmit();
    }

    /// An endpoint has started again: what its former life did says nothing of it.
    pub fn reset(&mut self, endpoint: &id::Endpoint) {
        if let Some(place) = self.find(endpoint) {
            let member = &mut self.members[place];
            self.ejected -= usize::from(member.out());
            *member = Member::new(endpoint.clone());
        }
    }

    /// Takes endpoints back in use while more are out than may be, since others left: the one whose
    /// time ends first goes first. Held to its time, the last endpoint of a pool left all calls
    /// waiting for seconds though it was well.
    fn readmit(&mut self) {
        while self.ejected > self.most() {
            let out = self.members.iter_mut().filter(|member| member.out());
            let Some(member) = out.min_by_key(|member| member.until) else {
                return;
            };
            member.back();
            self.ejected -= 1;
        }
    }

    /// Whether an endpoint may get a call. An unknown one may.
    #[must_use]
    pub fn state(&self, endpoint: &id::Endpoint, now: Moment) -> State {
        let place = self.find(endpoint);
        place.map_or(State::Active, |place| {
            self.members[place].state(now, self.config.longest_ejection)
        })
    }

    /// When an endpoint may get calls again; [`Moment::ZERO`] for one that is in use.
    #[must_use]
    pub fn ejected_until(&self, endpoint: &id::Endpoint) -> Moment {
        let place = self.find(endpoint);
        let until = place.and_then(|place| self.members[place].until);
        until.unwrap_or(Moment::ZERO)
    }

    /// The states of all endpoints, sorted by endpoint: for a choice among many, where a search for
    /// each would cost more than the choice itself. While [`ejected`](Self::ejected) is zero all are in, and
    /// it need not be asked.
    pub fn states(&self, now: Moment) -> impl Iterator<Item = State> {
        let longest = self.config.longest_ejection;
        self.members.iter().map(move |m| m.state(now, longest))
    }

    /// An endpoint that is due for a probe. To be sent a short, repeatable call before any other
    /// choice is made: by choice alone it would be tried late, or by many calls at once.
    #[must_use]
    pub fn probe_due(&self, now: Moment) -> Option<&id::Endpoint> {
        let longest = self.config.longest_ejection;
        let due = |member: &&Member| member.state(now, longest) == State::Probe;
        self.members.iter().find(due).map(|member| &member.endpoint)
    }

    /// Says that a call is being sent, so that no second probe goes along.
    pub fn record_sent(&mut self, endpoint: &id::Endpoint, now: Moment) {
        let Some(place) = self.find(endpoint) else {
            return;
        };
        let member = &mut self.members[place];
        if member.out() {
            member.probing = Some(now);
        }
    }

    /// Learns how a call ended.
    pub fn record(&mut self, endpoint: &id::Endpoint, outcome: Outcome, now: Moment) {
        let Some(place) = self.find(endpoint) else {
            return;
        };
        self.measure(now);
        let weight = self.config.sample_weight;
        let member = &mut self.members[place];
        let probing = member.probing.take().is_some();
        match outcome {
            Outcome::Served { seconds_per_token } => member.learn(seconds_per_token, weight),
            Outcome::AnsweredUntimed => member.errors = 0,
            Outcome::Failed => member.errors = member.errors.saturating_add(1),
            Outcome::Unknown => return,
        }
        if member.out() {
            if probing {
                self.probed(place, outcome, now);
            }
        } else if self.bad(place) && self.spare() {
            self.eject(place, now);
        } else if self.failing(place) {
            self.swap(place, now);
        }
    }

    /// Puts an endpoint that fails out in place of one that is out already and may be well by now. With
    /// the bound alone, the last one in use kept its place when it was cut off, and all calls went to it
    /// beside an endpoint that had recovered.
    fn swap(&mut self, place: usize, now: Moment) {
        let out = self.members.iter_mut().filter(|member| member.out());
        if let Some(member) = out.min_by_key(|member| member.until) {
            member.back();
            self.ejected -= 1;
            self.eject(place, now);
        }
    }

    /// Endpoints that are out.
    #[must_use]
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// The pool's median of seconds for a token, over the endpoints that answered, as of the last
    /// [`MEDIAN_INTERVAL`].
    #[must_use]
    pub const fn median(&self) -> Option<f64> {
        self.median
    }

    fn measure(&mut self, now: Moment) {
        if self.median.is_none() || now.since(self.measured) >= MEDIAN_INTERVAL {
            self.median = self.middle();
            self.measured = now;
        }
    }

    fn middle(&self) -> Option<f64> {
        middle(self.members.iter())
    }

    /// What an endpoint's pace is held against; none if no other endpoint has answered.
    fn usual(&self, place: usize) -> Option<f64> {
        if self.members.len() > FEW {
            return self.median();
        }
        let others = self.members.iter().enumerate();
        middle(others.filter(|(other, _)| *other != place).map(|(_, m)| m))
    }

    fn find(&self, endpoint: &id::Endpoint) -> Option<usize> {
        let place = self
            .members
            .binary_search_by(|member| member.endpoint.cmp(endpoint));
        place.ok()
    }

    fn bad(&self, place: usize) -> bool {
        let member = &self.members[place];
        self.failing(place)
            || (member.samples >= self.config.min_samples && self.slow(place, member.pace))
    }

    fn failing(&self, place: usize) -> bool {
        self.members[place].errors >= self.config.consecutive_errors
    }

    fn slow(&self, place: usize, own: f64) -> bool {
        self.usual(place)
            .is_some_and(|usual| own > usual * self.config.slow_factor)
    }

    /// Whether one more may go out.
    fn spare(&self) -> bool {
        self.ejected < self.most()
    }

    /// Endpoints that may be out. At least one always may, so that pools of two or three are
    /// protected too, but never the last one.
    fn most(&self) -> usize {
        let total = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let most =
            crate::number::floor_u32(f64::from(total) * self.config.max_ejected_share).max(1);
        most.min(total.saturating_sub(1)) as usize
    }

    fn eject(&mut self, place: usize, now: Moment) {
        let Config {
            first_ejection,
            longest_ejection,
            ..
        } = self.config;
        let member = &mut self.members[place];
        self.ejected += usize::from(!member.out());
        let lasts = first_ejection.saturating_mul(1 << member.ejections.min(16));
        member.ejections = member.ejections.saturating_add(1);
        member.until = Some(now + lasts.min(longest_ejection));
        member.probing = None;
        member.probes = 0;
    }

    /// A good probe counts towards coming back; a bad one begins a longer ejection.
    fn probed(&mut self, place: usize, outcome: Outcome, now: Moment) {
        let well = match outcome {
            Outcome::Served { seconds_per_token } => !self.slow(place, seconds_per_token),
            Outcome::AnsweredUntimed => true,
            Outcome::Failed | Outcome::Unknown => false,
        };
        if !well {
            self.eject(place, now);
            return;
        }
        let probes = self.config.probes_to_return;
        let member = &mut self.members[place];
        member.probes += 1;
        if member.probes >= probes {
            member.back();
            self.ejected -= 1;
            member.ejections = member.ejections.saturating_sub(1);
        }
    }
}

/// The median of the paces of those that answered.
fn middle<'a>(members: impl Iterator<Item = &'a Member>) -> Option<f64> {
    let known = members.filter(|member| member.samples > 0);
    let mut paces: Vec<f64> = known.map(|member| member.pace).collect();
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len() / 2).copied()
}
