//! Checks of each answer against what was asked.

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

/// A promise that an answer broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Breach {
    /// Part of an answer was passed off as a whole one.
    Partial,
    /// The answer belongs to another request.
    Foreign,
    /// The contract does not allow the version that answered.
    Version,
    /// The answer's places that name the version differ.
    Label,
    /// The body of an error is not of the documented form.
    ErrorBody,
    /// Header and body of an error say different things about whether the call ran.
    RunHeader,
    /// A refusal for load without `retry-after`.
    RetryAfter,
    /// A body that is not of the documented form.
    Body,
    /// A plain service ran one id more than once.
    Doubled,
}

impl fmt::Display for Breach {
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

/// A model's answer, put together.
#[derive(Debug, Clone)]
pub struct Text {
    /// The text.
    pub content: String,
    /// The version that the body names.
    pub model: String,
    /// The version that the header names.
    pub header: Option<String>,
    /// Tokens that the answer says it has.
    pub tokens: u64,
}

impl Text {
    /// The text of a whole answer.
    ///
    /// # Errors
    ///
    /// [`Breach::Body`].
    pub fn whole(headers: &HeaderMap, body: &[u8]) -> Result<Self, Breach> {
        let completion: Completion = serde_json::from_slice(body).map_err(|_| Breach::Body)?;
        let [choice] = completion.choices.as_slice() else {
            return Err(Breach::Body);
        };
        Ok(Self {
            content: choice.message.content.clone(),
            model: completion.model.into(),
            header: named(headers),
            tokens: completion.usage.completion_tokens,
        })
    }
}

/// The version that the headers name.
#[must_use]
pub fn named(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::MODEL_VERSION)?;
    value.to_str().ok().map(str::to_owned)
}

/// Checks a model's answer to `prompt`, and gives the version that answered.
///
/// # Errors
///
/// The promise that it broke.
pub fn answer(
    text: &Text,
    prompt: &str,
    allowed: impl FnOnce(&id::Version) -> bool,
) -> Result<id::Version, Breach> {
    let mark: Mark = text.content.parse().map_err(|_| Breach::Partial)?;
    if mark.of != text::digest(prompt) {
        return Err(Breach::Foreign);
    }
    if !text::whole(&text.content, &mark, text.tokens) {
        return Err(Breach::Partial);
    }
    let same = |name: &str| name == mark.by.as_str();
    if !same(&text.model) || !text.header.as_deref().is_none_or(same) {
        return Err(Breach::Label);
    }
    if !allowed(&mark.by) {
        return Err(Breach::Version);
    }
    Ok(mark.by)
}

/// Checks a plain service's answer to a call with this body and key.
///
/// # Errors
///
/// The promise that it broke.
pub fn receipt(body: &[u8], sent: u64, key: Option<&str>) -> Result<(), Breach> {
    let receipt: Receipt = serde_json::from_slice(body).map_err(|_| Breach::Body)?;
    if receipt.body != sent || receipt.key.as_deref() != key {
        return Err(Breach::Foreign);
    }
    if receipt.runs > 1 {
        return Err(Breach::Doubled);
    }
    Ok(())
}

/// Checks an error, and gives what it says.
///
/// # Errors
///
/// The promise that it broke.
pub fn error(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Result<Error, Breach> {
    let failure: ErrorBody = serde_json::from_slice(body).map_err(|_| Breach::ErrorBody)?;
    let error = failure.error;
    if error.code.is_empty() || error.kind.is_empty() || error.message.is_empty() {
        return Err(Breach::ErrorBody);
    }
    let run = headers.get(header::RUN).and_then(|run| run.to_str().ok());
    if run != Some(error.run.as_str()) {
        return Err(Breach::RunHeader);
    }
    let busy = status == StatusCode::TOO_MANY_REQUESTS;
    if busy && error.run == Run::NotRun && after(headers).is_none() {
        return Err(Breach::RetryAfter);
    }
    Ok(error)
}

/// Whole seconds after which a refused caller should ask again.
#[must_use]
pub fn after(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}
