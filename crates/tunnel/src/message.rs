//! The messages that open a tunnel, and the frames of its bytes.

use std::time::Duration;

use bytes::Bytes;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum length of a frame, in bytes.
pub(crate) const MAX_FRAME: usize = 16 << 10;

/// What a VM asks of another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The endpoint to connect to.
    pub endpoint: id::Endpoint,
    /// After this time the tunnel is closed.
    pub lifetime: Duration,
}

/// The other VM's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The connection is made.
    Open,
    /// The endpoint refused the connection, or the VM knows that it takes no new work.
    Refused,
    /// The endpoint did not respond.
    TimedOut,
    /// The VM does not reach endpoints itself, or does not know this one.
    Unable,
    /// The VM has too many tunnels.
    Busy,
}

impl Reply {
    /// The name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Refused => "refused",
            Self::TimedOut => "timed_out",
            Self::Unable => "unable",
            Self::Busy => "busy",
        }
    }
}

/// The codec of frames.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Encodes a message as the content of a frame.
///
/// # Errors
///
/// If it can't be encoded.
pub(crate) fn encode(message: &impl Serialize) -> postcard::Result<Bytes> {
    postcard::to_stdvec(message).map(Bytes::from)
}
