//! What a VM that stops may still begin.

use std::time::Duration;

use super::Attempts;
use super::Overrides;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::refusal::Refusal;
use crate::table::Kind;
use crate::topic::Log;

/// Least time for an attempt of a plain call.
const MIN_CALL: Duration = Duration::from_millis(300);

/// Least time for a stream, for what an estimate doesn't know of the endpoint's queue.
const MIN_STREAM: Duration = Duration::from_secs(1);

/// Least time for a stream that is resumed. One that is cut in the queue of its new endpoint could have been
/// resumed through another VM instead.
const MIN_RESUMPTION: Duration = Duration::from_millis(2_500);

impl<P: HeaderCodec + Codec, L: Log> Attempts<'_, P, L> {
    /// Refuses the request if this VM gives its final responses. A request that ends frees its slot, which
    /// would send the next one that waits there to an endpoint, too late for a response.
    pub(super) fn check_not_ending(&self) -> Result<(), Refusal> {
        if self.node.lifetime.finish.is_cancelled() {
            return Err(Refusal::stopping(self.may_have_run()));
        }
        Ok(())
    }

    /// Refuses the request if this VM stops and an attempt that begins now is not expected to end before. The
    /// caller would see an answer that is cut, while another VM can still give a whole one.
    pub(super) fn check_can_end(&self, overrides: &Overrides) -> Result<(), Refusal> {
        if self.can_end(overrides) {
            return Ok(());
        }
        Err(Refusal::stopping(self.may_have_run()))
    }

    /// Whether this VM lives as long as an attempt that begins now is expected to take.
    #[must_use]
    pub fn can_end(&self, overrides: &Overrides) -> bool {
        let lifetime = &self.node.lifetime;
        let now = self.node.now();
        lifetime
            .finish_at()
            .is_none_or(|end| end.since(now) >= self.expected_time(overrides))
    }

    fn least_time(&self, overrides: &Overrides) -> Duration {
        if self.request.grant.route.kind != Kind::Stream {
            MIN_CALL
        } else if overrides.last_event_id.is_some() {
            MIN_RESUMPTION
        } else {
            MIN_STREAM
        }
    }

    /// How long an attempt is expected to take, as far as that is known. What is left of a stream that is
    /// resumed is not.
    fn expected_time(&self, overrides: &Overrides) -> Duration {
        let begin = self.estimate(overrides);
        let begin = begin.map_or(Duration::ZERO, |begin| begin.time_to_first_token());
        let rest = if overrides.last_event_id.is_some() {
            Duration::ZERO
        } else {
            self.node
                .cascade
                .expected_generation(self.request, overrides)
        };
        (begin + rest).max(self.least_time(overrides))
    }
}
