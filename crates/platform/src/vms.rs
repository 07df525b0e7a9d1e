//! The platform's lagging list of VMs.

use std::future::Future;

use pimento_wire::platform::Vms;
use snafu::Snafu;

/// The platform's list of VMs.
pub trait List: Clone + Send + Sync + 'static {
    /// The list as the platform knows it now; it may lag.
    fn list(&self) -> impl Future<Output = Result<Vms, Error>> + Send;
}

/// The list could not be had.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the VM list could not be had: {reason}"))]
pub struct Error {
    /// What happened.
    pub reason: String,
}
