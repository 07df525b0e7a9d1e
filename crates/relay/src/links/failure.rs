//! Why an endpoint was not connected, and what that says of it.

use std::io;

use compact_str::CompactString;
use nix::errno::Errno;
use pimento_endpoint::Fault;
use pimento_tunnel::message::Reply;

/// What a failed connect says of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blame {
    /// The endpoint refused it.
    Endpoint,
    /// The endpoint did not respond, and may just be silent for a moment.
    Silence,
    /// This VM's links may be lost.
    Links,
}

/// Why an endpoint was not connected. Nothing was sent.
#[derive(Debug)]
pub struct Failure {
    /// The fault, a [`Fault::Unreachable`].
    pub fault: Fault,
    /// What it says of.
    pub blame: Blame,
}

impl Failure {
    pub(super) fn new(error: &impl ToString, blame: Blame) -> Self {
        Self {
            fault: Fault::Unreachable {
                reason: CompactString::from(error.to_string()),
            },
            blame,
        }
    }
}

impl From<&io::Error> for Blame {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Self::Silence,
            // A VM without descriptors would eject all endpoints.
            _ if matches!(error.raw_os_error(), Some(EMFILE | ENFILE)) => Self::Links,
            _ => Self::Endpoint,
        }
    }
}

/// Error numbers of a process and of a machine that have no descriptors left.
const EMFILE: i32 = Errno::EMFILE as i32;
const ENFILE: i32 = Errno::ENFILE as i32;

impl From<Reply> for Blame {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::TimedOut => Self::Silence,
            _ => Self::Endpoint,
        }
    }
}
