//! The last run of a request, for the detection of what crashes endpoints.

use hyper::StatusCode;
use pimento_policy::poison::parts;
use pimento_policy::poison::parts::Suspect;

use super::Attempts;
use crate::boot;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::poison;
use crate::topic::Log;

/// Parts of a prompt that are compared when endpoints crash, at most.
const MAX_REPORTED_PARTS: usize = 32;

impl<P: HeaderCodec + Codec, L: Log> Attempts<'_, P, L> {
    /// Records that a complete response was received. Whatever its status, the endpoint did not crash on the
    /// request.
    pub fn response_complete(&self, status: StatusCode) {
        poison::record_answer(self.node, &self.run(), status.is_success());
    }

    /// The last run of the request, which ends now.
    #[must_use]
    pub fn run(&self) -> poison::Run {
        let parts = self.request.shared_parts().take(MAX_REPORTED_PARTS);
        let parts = parts.enumerate().map(|(place, part)| Suspect {
            id: parts::Id(part.hash),
            leads: place == 0,
            begun: self.state.answer_begun,
            since: self.state.run_since,
        });
        poison::Run {
            digest: self.request.digest,
            parts: parts.collect(),
            ended: boot::now(),
        }
    }
}
