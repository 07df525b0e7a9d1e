//! Checks each answer against its call.

use std::fmt;

use hyper::HeaderMap;
use hyper::StatusCode;
use pimento_units::id;
use pimento_wire::api::Completion;
use pimento_wire::api::Error;
use pimento_wire::api::ErrorBody;
use pimento_wire::api::Run;
use pimento_wire::header;
use serde::Deserialize;
use serde::Serialize;

use crate::service::Receipt;
use crate::text;
use crate::text::Mark;

/// Why an answer failed its check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A partial answer was presented as complete.
    Partial,
    /// The answer belongs to another request.
    Foreign,
    /// The contract does not allow the version that answered.
    Version,
    /// The mark, the body and the header name different versions.
    Label,
    /// The body of an error does not have the documented format.
    ErrorBody,
    /// Header and body of an error differ on whether the call ran.
    RunHeader,
    /// A 429 with `not_run` has no `retry-after`.
    RetryAfter,
    /// The body does not have the documented format.
    Body,
    /// A plain service ran one request id more than once.
    Doubled,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Partial => "partial",
            Self::Foreign => "foreign",
            Self::Version => "version",
            Self::Label => "label",
            Self::ErrorBody => "error body",
            Self::RunHeader => "run header",
            Self::RetryAfter => "retry-after",
            Self::Body => "body",
            Self::Doubled => "doubled",
        })
    }
}

/// A model's complete answer, assembled from its chunks if it was streamed.
#[derive(Debug, Clone)]
pub struct ModelAnswer {
    /// The text.
    pub content: String,
    /// The version named in the body.
    pub model: String,
    /// The version named in the header.
    pub header: Option<String>,
    /// The number of tokens stated in the answer.
    pub tokens: u64,
}

impl ModelAnswer {
    /// Parses an answer that was not streamed.
    ///
    /// # Errors
    ///
    /// [`Violation::Body`].
    pub fn parse(headers: &HeaderMap, body: &[u8]) -> Result<Self, Violation> {
        let completion: Completion = serde_json::from_slice(body).map_err(|_| Violation::Body)?;
        let [choice] = completion.choices.as_slice() else {
            return Err(Violation::Body);
        };
        Ok(Self {
            content: choice.message.content.clone(),
            model: completion.model.into(),
            header: version_header(headers),
            tokens: completion.usage.completion_tokens,
        })
    }
}

/// The version named in the headers.
#[must_use]
pub fn version_header(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::MODEL_VERSION)?;
    value.to_str().ok().map(str::to_owned)
}

/// Checks a model's answer to `prompt` and returns the version that answered.
///
/// # Errors
///
/// The violation found.
pub fn answer(
    text: &ModelAnswer,
    prompt: &str,
    allowed: impl FnOnce(&id::Version) -> bool,
) -> Result<id::Version, Violation> {
    let mark: Mark = text.content.parse().map_err(|_| Violation::Partial)?;
    if mark.prompt != text::digest(prompt) {
        return Err(Violation::Foreign);
    }
    if !text::is_complete(&text.content, &mark, text.tokens) {
        return Err(Violation::Partial);
    }
    let matches = |name: &str| name == mark.version.as_str();
    if !matches(&text.model) || !text.header.as_deref().is_none_or(matches) {
        return Err(Violation::Label);
    }
    if !allowed(&mark.version) {
        return Err(Violation::Version);
    }
    Ok(mark.version)
}

/// Checks a plain service's answer to a call with this body hash and request id.
///
/// # Errors
///
/// The violation found.
pub fn receipt(body: &[u8], sent: u64, key: Option<&str>) -> Result<(), Violation> {
    let receipt: Receipt = serde_json::from_slice(body).map_err(|_| Violation::Body)?;
    if receipt.body != sent || receipt.key.as_deref() != key {
        return Err(Violation::Foreign);
    }
    if receipt.runs > 1 {
        return Err(Violation::Doubled);
    }
    Ok(())
}

/// Checks an error response and returns the error.
///
/// # Errors
///
/// The violation found.
pub fn error(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Result<Error, Violation> {
    let failure: ErrorBody = serde_json::from_slice(body).map_err(|_| Violation::ErrorBody)?;
    let error = failure.error;
    if error.code.is_empty() || error.kind.is_empty() || error.message.is_empty() {
        return Err(Violation::ErrorBody);
    }
    let run = headers.get(header::RUN).and_then(|run| run.to_str().ok());
    if run != Some(error.run.as_str()) {
        return Err(Violation::RunHeader);
    }
    let too_many = status == StatusCode::TOO_MANY_REQUESTS;
    if too_many && error.run == Run::NotRun && retry_after(headers).is_none() {
        return Err(Violation::RetryAfter);
    }
    Ok(error)
}

/// The `retry-after` header in whole seconds.
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}
