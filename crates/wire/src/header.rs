//! Names of HTTP headers, in lower case.

/// The caller's request id, a UUID. Calls that may not be repeated need a version 7 UUID.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The caller's session, issued and echoed by an entry VM.
pub const SESSION_TOKEN: &str = "session-token";
/// The caller's timeout for the whole answer, in seconds (decimals allowed).
pub const REQUEST_TIMEOUT: &str = "request-timeout";
/// Whole seconds after which a refused caller should retry.
pub const RETRY_AFTER: &str = "retry-after";
/// The version that answered.
pub const MODEL_VERSION: &str = "model-version";
/// Whether a call was carried out: `not_run`, `ran` or `unknown`. Endpoints set it on refusals, entry
/// VMs on every error.
pub const RUN: &str = "run";
/// The id of an attempt at an endpoint, a UUID.
pub const ATTEMPT: &str = "attempt-id";
/// Priority at an engine; lower numbers are served first.
pub const PRIORITY: &str = "priority";
/// The fencing number of an order.
pub const FENCING: &str = "fencing-number";
/// The last event that the reader of a stream has received, for resuming the stream.
pub const LAST_EVENT: &str = "last-event-id";
/// The endpoint's incarnation, which identifies answers from an earlier incarnation.
pub const INCARNATION: &str = "incarnation";
