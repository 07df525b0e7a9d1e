//! Whether a response that nothing but the end of its connection ended is complete.

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_scheduler::Permit;

use super::Links;
use super::Target;

impl Links {
    /// Checks that an endpoint is still there after the end of its response. The connections of an
    /// endpoint that crashes end as well, and half a response would look complete to the caller.
    ///
    /// # Errors
    ///
    /// [`Fault::Interrupted`] if the endpoint accepts no connections any more.
    pub async fn check_end(&self, permit: &Permit) -> Result<(), Fault> {
        let target = Target {
            endpoint: permit.endpoint(),
            zone: permit.zone(),
            address: permit.address(),
            lifetime: Duration::ZERO,
        };
        if self.is_refused(target).await {
            return Err(Fault::Interrupted {
                reason: "the endpoint is gone at the end of its response".into(),
            });
        }
        Ok(())
    }
}
