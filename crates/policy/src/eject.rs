//! Ejection of endpoints that fail or are far slower than their pool.
//!
//! An endpoint that fails fast has the fewest calls in flight, so that a least-loaded choice sends
//! it most of the requests; a slow one determines the pool's 95th percentile. An endpoint is
//! ejected after consecutive errors, or when its time per token stays above a multiple of the
//! pool's median. Only a share of the pool may be ejected at once, because shrinking a pool that
//! fails as a whole does not help. If that many are ejected already, an endpoint that fails takes
//! the place of the one whose ejection ends first. An endpoint returns after single probes have
//! succeeded, and each further ejection lasts longer.
//!
//! This is outlier detection as in Envoy (consecutive errors, bounded share, growing ejection time)
//! and failure accrual with probes as in Finagle.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;

/// Settings of a [`Health`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Consecutive errors that eject an endpoint. In a full pool two occur by chance, since a
    /// hedged call that lost counts as an error. More would leave a hanging endpoint in use for
    /// longer, because each of many nodes sends it a call only every few seconds and learns for
    /// itself.
    pub consecutive_errors: u32,
    /// Multiple of the pool's median time per token above which an endpoint is ejected. A full
    /// batch is about twice as slow as a moderately filled one, which must not eject.
    pub slow_factor: f64,
    /// Timed answers that an endpoint must have given before it can count as slow.
    pub min_samples: u32,
    /// Weight of a new answer in an endpoint's average.
    pub sample_weight: f64,
    /// The largest share of the pool that may be ejected at once.
    pub max_ejected_share: f64,
    /// How long the first ejection lasts.
    pub first_ejection: Duration,
    /// The longest duration of an ejection.
    pub longest_ejection: Duration,
    /// Consecutive probes that must succeed before an endpoint returns.
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

/// How long a sound endpoint may be silent, and a little.
pub const SILENCE: Duration = Duration::from_millis(1_200);

/// How often the pool's median is updated. It moves with the load of the whole pool, over seconds.
/// Sorting hundreds of endpoints at each answer would cost more than all other decisions.
pub const MEDIAN_INTERVAL: Duration = Duration::from_millis(250);

/// Largest pool in which an endpoint is compared with the median of the others, taken at each
/// answer. In a pool of two or three, the endpoint's own earlier times would be half of that
/// median, or all of it if the other endpoint fails, and a single slow moment would eject the only
/// endpoint that answers.
const SMALL_POOL: usize = 8;

/// How a call ended, with regard to the endpoint's health. [`crate::limit::Outcome`] is the same
/// with regard to its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Answered; the time counts towards the endpoint's speed.
    Served {
        /// Seconds per token.
        seconds_per_token: f64,
    },
    /// Answered, in a time that does not show the endpoint's speed, because answers differ in model
    /// and length.
    AnsweredUntimed,
    /// Failed or broke off.
    Failed,
    /// Gave no answer for too long. Of those within [`SILENCE`] of each other one counts: all calls of an
    /// endpoint that is silent for a moment fail together.
    Silent,
    /// Unrelated to health, such as a refusal for overload or a caller that disconnected.
    Unknown,
}

/// Whether an endpoint may get a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In use.
    Active,
    /// Ejected, but one call may probe it now.
    Probe,
    /// Ejected.
    Ejected,
}

#[derive(Debug, Clone)]
struct EndpointHealth {
    endpoint: id::Endpoint,
    /// Average seconds per token.
    seconds_per_token: f64,
    samples: u32,
    errors: u32,
    /// When the last silence that counted as an error was seen.
    silent_at: Option<Moment>,
    /// Ejections so far, less one for each return after successful probes. It determines how long
    /// the next ejection lasts.
    ejections: u32,
    /// When the ejection ends; none while in use.
    ejected_until: Option<Moment>,
    /// When a probe was sent that has not ended.
    probe_sent: Option<Moment>,
    /// Consecutive probes that succeeded.
    probes: u32,
}

/// The health of a pool's endpoints as one node sees it.
#[derive(Debug, Clone)]
pub struct Health {
    config: Config,
    /// Sorted by endpoint.
    members: Vec<EndpointHealth>,
    ejected: usize,
    median: Option<f64>,
    /// When the median was updated.
    median_at: Moment,
}

impl EndpointHealth {
    fn new(endpoint: id::Endpoint) -> Self {
        Self {
            endpoint,
            seconds_per_token: 0.0,
            samples: 0,
            errors: 0,
            silent_at: None,
            ejections: 0,
            ejected_until: None,
            probe_sent: None,
            probes: 0,
        }
    }

    fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// The state at `now`. A probe without an answer expires after `longest`, so that it does not
    /// keep the endpoint ejected for ever.
    fn state(&self, now: Moment, longest: Duration) -> State {
        match (self.ejected_until, self.probe_sent) {
            (None, _) => State::Active,
            (Some(until), _) if now < until => State::Ejected,
            (Some(_), Some(since)) if now < since + longest => State::Ejected,
            (Some(_), _) => State::Probe,
        }
    }

    /// Returns the endpoint to use and discards its earlier results.
    fn readmit(&mut self) {
        self.ejected_until = None;
        self.probe_sent = None;
        self.samples = 0;
        self.errors = 0;
    }

    fn record_silence(&mut self, now: Moment) {
        let same = |at: Moment| now.since(at) < SILENCE;
        if !self.silent_at.is_some_and(same) {
            self.silent_at = Some(now);
            self.errors = self.errors.saturating_add(1);
        }
    }

    fn record_time(&mut self, seconds_per_token: f64, weight: f64) {
        self.errors = 0;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.seconds_per_token = seconds_per_token;
        } else {
            self.seconds_per_token += weight * (seconds_per_token - self.seconds_per_token);
        }
    }
}

impl Health {
    /// Creates the health of a pool without endpoints.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            members: Vec::new(),
            ejected: 0,
            median: None,
            median_at: Moment::ZERO,
        }
    }

    /// Sets the endpoints of the pool, and inserts those that are new. Those that stay keep their
    /// state.
    pub fn set_endpoints(&mut self, endpoints: impl IntoIterator<Item = id::Endpoint>) {
        let mut members: Vec<EndpointHealth> =
            endpoints.into_iter().map(EndpointHealth::new).collect();
        members.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        members.dedup_by(|one, other| one.endpoint == other.endpoint);
        for member in &mut members {
            if let Some(place) = self.find(&member.endpoint) {
                *member = self.members[place].clone();
            }
        }
        self.ejected = members.iter().filter(|member| member.is_ejected()).count();
        self.members = members;
        self.readmit_excess();
    }

    /// Discards an endpoint's state after it restarted, since its former incarnation does not
    /// describe it.
    pub fn reset(&mut self, endpoint: &id::Endpoint) {
        if let Some(place) = self.find(endpoint) {
            let member = &mut self.members[place];
            self.ejected -= usize::from(member.is_ejected());
            *member = EndpointHealth::new(endpoint.clone());
        }
    }

    /// Readmits all endpoints and discards their errors, because what failed says nothing of them.
    pub fn readmit_all(&mut self) {
        for member in &mut self.members {
            member.readmit();
        }
        self.ejected = 0;
    }

    /// Readmits endpoints while more are ejected than the bound allows because others left, the one
    /// whose ejection ends first before the others. Otherwise the last endpoint of a pool, though
    /// healthy, would leave all calls waiting for seconds.
    fn readmit_excess(&mut self) {
        while self.ejected > self.max_ejected() {
            let ejected = self.members.iter_mut().filter(|member| member.is_ejected());
            let Some(member) = ejected.min_by_key(|member| member.ejected_until) else {
                return;
            };
            member.readmit();
            self.ejected -= 1;
        }
    }

    /// Whether an endpoint may get a call. An unknown endpoint may.
    #[must_use]
    pub fn state(&self, endpoint: &id::Endpoint, now: Moment) -> State {
        let place = self.find(endpoint);
        place.map_or(State::Active, |place| {
            self.members[place].state(now, self.config.longest_ejection)
        })
    }

    /// Whether an endpoint is in use and its last call did not fail. The times of another one may tell of its
    /// failure instead of its speed.
    #[must_use]
    pub fn is_sound(&self, endpoint: &id::Endpoint) -> bool {
        let place = self.find(endpoint);
        place.is_some_and(|place| {
            let member = &self.members[place];
            !member.is_ejected() && member.errors == 0
        })
    }

    /// When an endpoint may get calls again; [`Moment::ZERO`] for one that is in use.
    #[must_use]
    pub fn ejected_until(&self, endpoint: &id::Endpoint) -> Moment {
        let place = self.find(endpoint);
        let until = place.and_then(|place| self.members[place].ejected_until);
        until.unwrap_or(Moment::ZERO)
    }

    /// The states of all endpoints, sorted by endpoint, for a choice among many, where looking up
    /// each one would cost more than the choice itself. While [`ejected`](Self::ejected) is zero,
    /// all are active and this need not be called.
    pub fn states(&self, now: Moment) -> impl Iterator<Item = State> {
        let longest = self.config.longest_ejection;
        self.members.iter().map(move |m| m.state(now, longest))
    }

    /// An endpoint that is due for a probe. The caller sends it a short, repeatable call before it
    /// makes any other choice. Left to the ordinary choice, the endpoint would be probed late, or
    /// by many calls at once.
    #[must_use]
    pub fn probe_due(&self, now: Moment) -> Option<&id::Endpoint> {
        let longest = self.config.longest_ejection;
        let due = |member: &&EndpointHealth| member.state(now, longest) == State::Probe;
        self.members.iter().find(due).map(|member| &member.endpoint)
    }

    /// Records that a call is being sent, so that no second probe is sent meanwhile.
    pub fn record_sent(&mut self, endpoint: &id::Endpoint, now: Moment) {
        let Some(place) = self.find(endpoint) else {
            return;
        };
        let member = &mut self.members[place];
        if member.is_ejected() {
            member.probe_sent = Some(now);
        }
    }

    /// Records how a call ended.
    pub fn record(&mut self, endpoint: &id::Endpoint, outcome: Outcome, now: Moment) {
        let Some(place) = self.find(endpoint) else {
            return;
        };
        self.update_median(now);
        let weight = self.config.sample_weight;
        let member = &mut self.members[place];
        let was_probe = member.probe_sent.take().is_some();
        match outcome {
            Outcome::Served { seconds_per_token } => member.record_time(seconds_per_token, weight),
            Outcome::AnsweredUntimed => member.errors = 0,
            Outcome::Failed => member.errors = member.errors.saturating_add(1),
            Outcome::Silent => member.record_silence(now),
            Outcome::Unknown => return,
        }
        if member.is_ejected() {
            if was_probe {
                self.record_probe(place, outcome, now);
            }
        } else if self.is_bad(place) && self.can_eject() {
            self.eject(place, now);
        } else if self.is_failing(place) {
            self.replace_ejected(place, now);
        }
    }

    /// Ejects a failing endpoint in place of one that is already ejected and may be healthy by now.
    /// With the bound alone, the last endpoint in use would stay so after it was cut off, and all
    /// calls would go to it beside an endpoint that has recovered.
    fn replace_ejected(&mut self, place: usize, now: Moment) {
        let ejected = self.members.iter_mut().filter(|member| member.is_ejected());
        if let Some(member) = ejected.min_by_key(|member| member.ejected_until) {
            member.readmit();
            self.ejected -= 1;
            self.eject(place, now);
        }
    }

    /// Number of ejected endpoints.
    #[must_use]
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// The pool's median of seconds per token over the endpoints that answered, at most
    /// [`MEDIAN_INTERVAL`] old when an outcome is recorded.
    #[must_use]
    pub const fn median(&self) -> Option<f64> {
        self.median
    }

    fn update_median(&mut self, now: Moment) {
        if self.median.is_none() || now.since(self.median_at) >= MEDIAN_INTERVAL {
            self.median = self.pool_median();
            self.median_at = now;
        }
    }

    fn pool_median(&self) -> Option<f64> {
        median(self.members.iter())
    }

    /// The seconds per token that an endpoint is compared with; none if there is nothing to compare
    /// with, such as when no other endpoint of a small pool has answered.
    fn baseline(&self, place: usize) -> Option<f64> {
        if self.members.len() > SMALL_POOL {
            return self.median();
        }
        let others = self.members.iter().enumerate();
        median(others.filter(|(other, _)| *other != place).map(|(_, m)| m))
    }

    fn find(&self, endpoint: &id::Endpoint) -> Option<usize> {
        let place = self
            .members
            .binary_search_by(|member| member.endpoint.cmp(endpoint));
        place.ok()
    }

    fn is_bad(&self, place: usize) -> bool {
        let member = &self.members[place];
        self.is_failing(place)
            || (member.samples >= self.config.min_samples
                && self.is_slow(place, member.seconds_per_token))
    }

    fn is_failing(&self, place: usize) -> bool {
        self.members[place].errors >= self.config.consecutive_errors
    }

    fn is_slow(&self, place: usize, own: f64) -> bool {
        self.baseline(place)
            .is_some_and(|baseline| own > baseline * self.config.slow_factor)
    }

    /// Whether one more endpoint may be ejected.
    fn can_eject(&self) -> bool {
        self.ejected < self.max_ejected()
    }

    /// Number of endpoints that may be ejected: at least one, so that pools of two or three are
    /// protected too, but never all.
    fn max_ejected(&self) -> usize {
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
        self.ejected += usize::from(!member.is_ejected());
        let duration = first_ejection.saturating_mul(1 << member.ejections.min(16));
        member.ejections = member.ejections.saturating_add(1);
        member.ejected_until = Some(now + duration.min(longest_ejection));
        member.probe_sent = None;
        member.probes = 0;
    }

    /// Counts a successful probe towards the return; a failed one starts a longer ejection.
    fn record_probe(&mut self, place: usize, outcome: Outcome, now: Moment) {
        let healthy = match outcome {
            Outcome::Served { seconds_per_token } => !self.is_slow(place, seconds_per_token),
            Outcome::AnsweredUntimed => true,
            Outcome::Failed | Outcome::Silent | Outcome::Unknown => false,
        };
        if !healthy {
            self.eject(place, now);
            return;
        }
        let probes_to_return = self.config.probes_to_return;
        let member = &mut self.members[place];
        member.probes += 1;
        if member.probes >= probes_to_return {
            member.readmit();
            self.ejected -= 1;
            member.ejections = member.ejections.saturating_sub(1);
        }
    }
}

/// The median of seconds per token over the members that have timed answers.
fn median<'a>(members: impl Iterator<Item = &'a EndpointHealth>) -> Option<f64> {
    let known = members.filter(|member| member.samples > 0);
    let mut times: Vec<f64> = known.map(|member| member.seconds_per_token).collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}
