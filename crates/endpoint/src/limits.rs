//! Limits of what an endpoint may answer, for all clients of endpoints.

use std::time::Duration;

/// Maximum size of a response's head, in bytes. The buffer of a body has the same size.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of headers in a response's head, and of trailers after a body.
pub const MAX_HEADERS: usize = 100;

/// Maximum size of an error response's body, in bytes. It is buffered to be forwarded.
pub const MAX_ERROR_BODY_BYTES: usize = 64 << 10;

/// Maximum time for an error response's body. The endpoint has nothing to work on any more, and the request may
/// have to be sent to another one before its deadline.
pub const MAX_ERROR_BODY_TIME: Duration = Duration::from_secs(4);
