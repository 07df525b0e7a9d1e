//! Connects to the endpoint of a permit, and what a failed connect means for it.

use pimento_scheduler::Permit;

use super::Attempts;
use crate::codec::Codec;
use crate::connection::Connection;
use crate::headers::HeaderCodec;
use crate::links::Target;
use crate::links::failure::Blame;
use crate::links::failure::Failure;
use crate::refusal::Refusal;
use crate::stage::Step;
use crate::topic::Log;

impl<P: HeaderCodec + Codec, L: Log> Attempts<'_, P, L> {
    /// Connects to the endpoint of a permit.
    ///
    /// # Errors
    ///
    /// [`Failure`]: nothing was sent.
    pub(super) async fn connect(&self, permit: &mut Permit) -> Result<Connection, Failure> {
        let links = &self.node.links;
        let tracker = &self.request.tracker;
        tracker.enter(Step::Connecting, self.node.now());
        let connection = links
            .connect(Target {
                endpoint: permit.endpoint(),
                zone: permit.zone(),
                address: permit.address(),
                lifetime: self.request.left_by_deadline(self.node.now()),
            })
            .await?;
        if links.are_suspect() {
            permit.set_untimed();
        }
        Ok(connection)
    }

    /// Records that no connection to an endpoint was made.
    pub(super) fn not_connected(
        &mut self,
        permit: Permit,
        failure: &Failure,
    ) -> Result<(), Refusal> {
        if failure.blame == Blame::Endpoint {
            self.record_declined(permit, &failure.fault, "not_run");
            return self.count_unreachable();
        }
        let message = "attempt: The endpoint is out of reach.";
        self.log_failure(&permit, &failure.fault, message);
        let metrics = &self.node.metrics;
        metrics.count_attempt(&self.request.pool, "out_of_reach");
        self.state.tried.push(permit.endpoint().clone());
        match failure.blame {
            Blame::Silence => permit.unanswered(),
            Blame::Endpoint | Blame::Links => {
                permit.lost();
                return self.count_unreachable();
            }
        }
        self.count_declined()
    }
}
