//! Responses to callers.

use bytes::Bytes;
use compact_str::CompactString;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use pimento_serve::ReplyBody;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::api::Choice;
use pimento_wire::api::Completion;
use pimento_wire::api::Message;
use pimento_wire::header;
use serde::Serialize;

use crate::filter::delivery::Answer;

/// Values of the headers of a model answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The version that answered.
    pub version: CompactString,
    /// The session token.
    pub token: String,
}

impl Head {
    /// Builds a streamed response.
    #[must_use]
    pub fn stream(&self, body: ReplyBody) -> Response<ReplyBody> {
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        self.insert_headers(headers);
        response
    }

    /// Builds a complete, non-streamed response.
    #[must_use]
    pub fn whole(&self, request: id::Request, now: Wall, answer: Answer) -> Response<ReplyBody> {
        let completion = Completion {
            id: compact_str::format_compact!("chatcmpl-{request}"),
            object: CompactString::const_new("chat.completion"),
            created: now.millis() / 1_000,
            model: self.version.clone(),
            choices: vec![Choice {
                index: 0,
                message: Message {
                    role: CompactString::const_new("assistant"),
                    content: answer.text,
                },
                finish_reason: answer.finish,
            }],
            usage: answer.usage,
        };
        let mut response = json(&completion);
        self.insert_headers(response.headers_mut());
        response
    }

    fn insert_headers(&self, headers: &mut HeaderMap) {
        insert_header(headers, header::MODEL_VERSION, &self.version);
        insert_header(headers, header::SESSION_TOKEN, &self.token);
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A JSON response with status 200.
#[must_use]
pub fn json(body: &impl Serialize) -> Response<ReplyBody> {
    // All keys of the response types are strings, so encoding can't fail.
    let body = serde_json::to_vec(body).unwrap_or_default();
    raw(StatusCode::OK, "application/json", body)
}

/// A response with any status and content type.
#[must_use]
pub fn raw(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
