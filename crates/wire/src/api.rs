//! The API for callers: chat completions in the widely used format, and the error body.
//!
//! Unknown fields are accepted and not forwarded, so that existing client libraries work unchanged.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error as _;

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Chat {
    /// A class of the contract, or `auto`. In a request to an engine, the version.
    pub model: CompactString,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed as server-sent events. Some client libraries send null, which
    /// means false.
    #[serde(default, deserialize_with = "or_default")]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u64>,
    /// Sampling temperature.
    #[serde(
        default,
        deserialize_with = "finite",
        skip_serializing_if = "Option::is_none"
    )]
    pub temperature: Option<f32>,
}

/// Rejects numbers that are too large for `f32`: they are read as infinite and would be sent to the
/// engine as null.
fn finite<'de, D>(deserializer: D) -> Result<Option<f32>, D::Error>
where
    D: Deserializer<'de>,
{
    let number = Option::<f32>::deserialize(deserializer)?;
    if number.is_some_and(|number| !number.is_finite()) {
        return Err(D::Error::custom("the temperature is out of range"));
    }
    Ok(number)
}

fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Option::deserialize(deserializer).map(Option::unwrap_or_default)
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: CompactString,
    /// The text. Client libraries send it as a string, as a list of text parts, or as null.
    #[serde(deserialize_with = "content")]
    pub content: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Part {
    Text { text: String },
}

fn content<'de, D>(deserializer: D) -> Result<String, D::Error>
where
    D: Deserializer<'de>,
{
    let text = |part: Part| match part {
        Part::Text { text } => text,
    };
    Ok(match Option::<Content>::deserialize(deserializer)? {
        None => String::new(),
        Some(Content::Text(text)) => text,
        Some(Content::Parts(parts)) => parts.into_iter().map(text).collect(),
    })
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// `chatcmpl-` and the request id.
    pub id: CompactString,
    /// `chat.completion`.
    pub object: CompactString,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The version that answered.
    pub model: CompactString,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Tokens used.
    pub usage: Usage,
}

/// A choice of a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// `stop` or `length`.
    pub finish_reason: CompactString,
}

/// Token counts of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// `chatcmpl-` and the request id.
    pub id: CompactString,
    /// `chat.completion.chunk`.
    pub object: CompactString,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The version that answers.
    pub model: CompactString,
    /// Exactly one choice.
    pub choices: Vec<ChunkChoice>,
    /// Tokens used; set on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A choice of one event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The text that this event adds.
    pub delta: Delta,
    /// Set on the last event.
    pub finish_reason: Option<CompactString>,
}

/// Text that one event adds to the answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Set on the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<CompactString>,
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// The data of the event that ends a complete stream.
pub const DONE: &str = "[DONE]";

/// Response to `GET /v1/models`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Models {
    /// `list`.
    pub object: CompactString,
    /// The classes that the contract allows.
    pub data: Vec<Model>,
}

/// One value that a caller may send as `model`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The class's name.
    pub id: CompactString,
    /// `model`.
    pub object: CompactString,
    /// The customer.
    pub owned_by: CompactString,
}

/// The body of every error, and the data of the error event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: Error,
}

/// An error as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// A coarse kind as in the widely used format: `invalid_request_error`, `rate_limit_error`, …
    #[serde(rename = "type")]
    pub kind: CompactString,
    /// A stable code for programs.
    pub code: CompactString,
    /// A description for people.
    pub message: String,
    /// Whether the call was carried out.
    pub run: Run,
}

/// Whether a call was carried out, as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No endpoint started the call.
    NotRun,
    /// The call ran.
    Ran,
    /// The call may have run.
    Unknown,
}

impl Run {
    /// The value in bodies and headers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
