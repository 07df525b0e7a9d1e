//! Names of HTTP headers, lower case.

/// The caller's request id, a UUID; version 7 for calls that may not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The caller's session, issued and echoed by an entry VM.
pub const SESSION_TOKEN: &str = "session-token";
/// How long the caller waits for the whole answer, in seconds (decimals allowed).
pub const REQUEST_TIMEOUT: &str = "request-timeout";
/// Whole seconds after which a refused caller should ask again.
pub const RETRY_AFTER: &str = "retry-after";
/// The version that answered.
pub const MODEL_VERSION: &str = "model-version";
/// Whether a call was carried out: `not_run`, `ran` or `unknown`. Endpoints set it on refusals, we
/// set it on every error.
pub const RUN: &str = "run";
/// One attempt at an endpoint, a UUID.
pub const ATTEMPT: &str = "attempt-id";
/// Priority for an engine; lower goes first.
pub const PRIORITY: &str = "priority";
/// Fencing number of an order.
pub const FENCING: &str = "fencing-number";
/// The last event that the reader of a stream got, for resuming.
pub const LAST_EVENT: &str = "last-event-id";
/// The endpoint's incarnation, so that an answer from an earlier life is told apart.
pub const INCARNATION: &str = "incarnation";
