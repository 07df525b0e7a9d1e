//! A call: builds the request for an arrival, and reads and checks its answer.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::api::Chunk;
use pimento_wire::api::DONE;
use pimento_wire::api::ErrorBody;
use pimento_wire::api::Message as ChatMessage;
use pimento_wire::header;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::load::allowed::AllowedVersions;
use crate::load::check;
use crate::load::check::ModelAnswer;
use crate::load::check::Violation;
use crate::load::client;
use crate::load::client::Message;
use crate::load::result::Outcome;
use crate::load::trace::Arrival;
use crate::load::trace::Target;
use crate::text;

/// A call that is ready to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request.
    pub message: Message,
    /// The request id.
    pub request_id: Option<CompactString>,
    content: Content,
}

#[derive(Debug, Clone)]
enum Content {
    Model {
        customer: id::Customer,
        class: id::Class,
        prompt: String,
        stream: bool,
    },
    Service {
        body: u64,
    },
}

/// The answer to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The outcome of the call.
    pub outcome: Outcome,
    /// When the first byte of content arrived.
    pub first_byte: Option<Instant>,
    /// When each chunk of a stream arrived.
    pub chunks: Vec<Instant>,
    /// The session token, if the answer has one.
    pub session_token: Option<HeaderValue>,
    /// `retry-after` in seconds.
    pub retry_after: Option<u64>,
}

/// The body of a call to the plain service.
#[derive(Serialize)]
struct ServiceOrder<'a> {
    number: usize,
    customer: &'a id::Customer,
    note: String,
}

impl Call {
    /// Builds the call for an arrival. `number` makes its prompt unique.
    ///
    /// # Errors
    ///
    /// If a key is not a valid header value or the body can't be encoded.
    pub fn new(
        arrival: &Arrival,
        number: usize,
        api_key: &str,
        request_id: Option<CompactString>,
    ) -> Result<Self, CompactString> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(AUTHORIZATION, header_value(&format!("Bearer {api_key}"))?);
        if let Some(id) = &request_id {
            let name = HeaderName::from_static(header::IDEMPOTENCY_KEY);
            headers.insert(name, header_value(id)?);
        }
        let (path, body, content) = match &arrival.target {
            Target::Class(class) => model_request(arrival, class, number)?,
            Target::Service(service) => service_request(arrival, service)?,
        };
        let message = Message {
            method: Method::POST,
            path,
            headers,
            body,
        };
        Ok(Self {
            message,
            request_id,
            content,
        })
    }

    /// Sets the session token.
    pub fn set_session(&mut self, token: HeaderValue) {
        let name = HeaderName::from_static(header::SESSION_TOKEN);
        self.message.headers.insert(name, token);
    }

    /// Sets the `request-timeout` header.
    pub fn set_timeout(&mut self, timeout: Duration) {
        let name = HeaderName::from_static(header::REQUEST_TIMEOUT);
        let seconds = format!("{:.3}", timeout.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            self.message.headers.insert(name, seconds);
        }
    }

    /// Whether the target is a plain service.
    #[must_use]
    pub const fn is_service(&self) -> bool {
        matches!(self.content, Content::Service { .. })
    }

    /// The hash of the prompt; none for calls to services.
    #[must_use]
    pub fn prompt(&self) -> Option<u64> {
        match &self.content {
            Content::Model { prompt, .. } => Some(text::digest(prompt)),
            Content::Service { .. } => None,
        }
    }

    /// Reads and checks the answer.
    pub async fn read(&self, response: Response<Incoming>, allowed: &AllowedVersions) -> Answer {
        let name = HeaderName::from_static(header::SESSION_TOKEN);
        let mut answer = Answer {
            outcome: Outcome::Failed("no answer".into()),
            first_byte: None,
            chunks: Vec::new(),
            session_token: response.headers().get(name).cloned(),
            retry_after: check::retry_after(response.headers()),
        };
        let success = response.status().is_success();
        answer.outcome = match &self.content {
            Content::Model { stream: true, .. } if success => {
                self.stream(response, allowed, &mut answer).await
            }
            _ => self.whole(response, allowed, &mut answer).await,
        };
        answer
    }

    async fn whole(
        &self,
        response: Response<Incoming>,
        allowed: &AllowedVersions,
        answer: &mut Answer,
    ) -> Outcome {
        let (status, headers, body) = match client::collect(response).await {
            Ok(answer) => answer,
            Err(reason) => return Outcome::Failed(reason),
        };
        answer.first_byte = Some(Instant::now());
        if !status.is_success() {
            return refused(status, &headers, &body);
        }
        match &self.content {
            Content::Model { .. } => match ModelAnswer::parse(&headers, &body) {
                Ok(text) => self.check(&text, allowed),
                Err(violation) => Outcome::Broken(violation),
            },
            Content::Service { body: sent } => {
                match check::receipt(&body, *sent, self.request_id.as_deref()) {
                    Ok(()) => Outcome::Served(None),
                    Err(violation) => Outcome::Broken(violation),
                }
            }
        }
    }

    async fn stream(
        &self,
        response: Response<Incoming>,
        allowed: &AllowedVersions,
        answer: &mut Answer,
    ) -> Outcome {
        let mut text = ModelAnswer {
            content: String::new(),
            model: String::new(),
            header: check::version_header(response.headers()),
            tokens: 0,
        };
        let mut events = response.into_body().into_data_stream().eventsource();
        while let Some(event) = events.next().await {
            let Ok(event) = event else {
                return Outcome::Failed("stream cut off".into());
            };
            if event.data == DONE {
                return self.check(&text, allowed);
            }
            if let Ok(failure) = serde_json::from_str::<ErrorBody>(&event.data) {
                return Outcome::Refused {
                    status: StatusCode::OK.as_u16(),
                    code: failure.error.code,
                    run: failure.error.run,
                };
            }
            let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
                return Outcome::Broken(Violation::Body);
            };
            add_chunk(chunk, &mut text, answer);
        }
        // A stream that ends cleanly without the end mark presents a partial answer as complete.
        Outcome::Broken(Violation::Partial)
    }

    fn check(&self, text: &ModelAnswer, allowed: &AllowedVersions) -> Outcome {
        let Content::Model {
            customer,
            class,
            prompt,
            ..
        } = &self.content
        else {
            return Outcome::Broken(Violation::Body);
        };
        // Without contracts, any version is allowed.
        let allows = |version: &id::Version| {
            allowed
                .allows(customer, class, version)
                .unwrap_or(allowed.is_empty())
        };
        match check::answer(text, prompt, allows) {
            Ok(version) => Outcome::Served(Some(version)),
            Err(violation) => Outcome::Broken(violation),
        }
    }
}

fn add_chunk(chunk: Chunk, text: &mut ModelAnswer, answer: &mut Answer) {
    let now = Instant::now();
    text.model = chunk.model.into();
    if let Some(usage) = chunk.usage {
        text.tokens = usage.completion_tokens;
    }
    let pieces = chunk.choices.into_iter();
    for piece in pieces.filter_map(|choice| choice.delta.content) {
        if piece.is_empty() {
            continue;
        }
        answer.first_byte.get_or_insert(now);
        answer.chunks.push(now);
        text.content.push_str(&piece);
    }
}

fn refused(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Outcome {
    match check::error(status, headers, body) {
        Ok(error) => Outcome::Refused {
            status: status.as_u16(),
            code: error.code,
            run: error.run,
        },
        Err(violation) => Outcome::Broken(violation),
    }
}

fn header_value(text: &str) -> Result<HeaderValue, CompactString> {
    let value = HeaderValue::from_str(text);
    value.map_err(|_| "a key is no valid header value".into())
}

fn model_request(
    arrival: &Arrival,
    class: &id::Class,
    number: usize,
) -> Result<(String, Bytes, Content), CompactString> {
    let customer = &arrival.customer;
    let output = arrival.output.0;
    let mut prompt = format!("question {number} of {customer}: answer in {output} tokens");
    for word in 0..arrival.prompt.0 {
        prompt.push_str(FILLER[usize::try_from(word).unwrap_or(0) % FILLER.len()]);
    }
    let system =
        format!("You answer {class} requests for {customer}, briefly and in one language.");
    let chat = Chat {
        model: class.as_str().into(),
        messages: vec![
            chat_message("system", system),
            chat_message("user", prompt.clone()),
        ],
        stream: arrival.stream,
        max_tokens: Some(output),
        temperature: None,
    };
    let body = serde_json::to_vec(&chat).map_err(|error| CompactString::from(error.to_string()))?;
    let content = Content::Model {
        customer: customer.clone(),
        class: class.clone(),
        prompt,
        stream: arrival.stream,
    };
    Ok(("/v1/chat/completions".to_owned(), body.into(), content))
}

/// Filler words for prompts.
const FILLER: [&str; 4] = [" degreaser", " gasket", " bearing", " rinse"];

fn chat_message(role: &str, content: String) -> ChatMessage {
    ChatMessage {
        role: role.into(),
        content,
    }
}

/// The body depends only on the label and the size, so a repeat with the same id has the same body.
fn service_request(
    arrival: &Arrival,
    service: &id::Service,
) -> Result<(String, Bytes, Content), CompactString> {
    let label = arrival.idempotency.as_deref().unwrap_or_default();
    let words = usize::try_from(arrival.prompt.0).unwrap_or(0);
    let order = ServiceOrder {
        number: words,
        customer: &arrival.customer,
        note: format!("{label}{}", " drum".repeat(words)),
    };
    let body = serde_json::to_vec(&order);
    let body = body.map_err(|error| CompactString::from(error.to_string()))?;
    let content = Content::Service {
        body: xxh3_64(&body),
    };
    Ok((format!("/services/{service}/orders"), body.into(), content))
}
