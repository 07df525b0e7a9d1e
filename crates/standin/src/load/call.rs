//! One call: what is sent for an arrival, and what its answer amounts to.

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
use pimento_wire::api::Message as Turn;
use pimento_wire::header;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::load::allowed::Allowed;
use crate::load::check;
use crate::load::check::Breach;
use crate::load::check::Text;
use crate::load::client;
use crate::load::client::Message;
use crate::load::result::Outcome;
use crate::load::trace::Arrival;
use crate::load::trace::Target;
use crate::text;

/// A call that is ready to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// What is sent.
    pub message: Message,
    /// The request id.
    pub key: Option<CompactString>,
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

/// What came back.
#[derive(Debug, Clone)]
pub struct Reading {
    /// How the call ended.
    pub outcome: Outcome,
    /// When the first byte of content came.
    pub first: Option<Instant>,
    /// When each piece of a stream came.
    pub pieces: Vec<Instant>,
    /// The session token, if one came.
    pub token: Option<HeaderValue>,
    /// Whole seconds after which to ask again.
    pub after: Option<u64>,
}

#[derive(Serialize)]
struct Order<'a> {
    number: usize,
    customer: &'a id::Customer,
    note: String,
}

impl Call {
    /// Makes the call for an arrival. The number makes its prompt unlike all others.
    ///
    /// # Errors
    ///
    /// If the key can't stand in a header or the body can't be written.
    pub fn new(
        arrival: &Arrival,
        number: usize,
        secret: &str,
        key: Option<CompactString>,
    ) -> Result<Self, CompactString> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(AUTHORIZATION, value(&format!("Bearer {secret}"))?);
        if let Some(key) = &key {
            let name = HeaderName::from_static(header::IDEMPOTENCY_KEY);
            headers.insert(name, value(key)?);
        }
        let (path, body, content) = match &arrival.target {
            Target::Class(class) => model(arrival, class, number)?,
            Target::Service(service) => order(arrival, service)?,
        };
        let message = Message {
            method: Method::POST,
            path,
            headers,
            body,
        };
        Ok(Self {
            message,
            key,
            content,
        })
    }

    /// Puts the session's token on the call.
    pub fn session(&mut self, token: HeaderValue) {
        let name = HeaderName::from_static(header::SESSION_TOKEN);
        self.message.headers.insert(name, token);
    }

    /// Says how long the caller waits for the whole answer.
    pub fn timeout(&mut self, timeout: Duration) {
        let name = HeaderName::from_static(header::REQUEST_TIMEOUT);
        let seconds = format!("{:.3}", timeout.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            self.message.headers.insert(name, seconds);
        }
    }

    /// Whether it goes to a plain service.
    #[must_use]
    pub const fn service(&self) -> bool {
        matches!(self.content, Content::Service { .. })
    }

    /// The hash of its prompt, for calls to models.
    #[must_use]
    pub fn prompt(&self) -> Option<u64> {
        match &self.content {
            Content::Model { prompt, .. } => Some(text::digest(prompt)),
            Content::Service { .. } => None,
        }
    }

    /// Reads and checks the answer.
    pub async fn read(&self, response: Response<Incoming>, allowed: &Allowed) -> Reading {
        let name = HeaderName::from_static(header::SESSION_TOKEN);
        let mut reading = Reading {
            outcome: Outcome::Failed("no answer".into()),
            first: None,
            pieces: Vec::new(),
            token: response.headers().get(name).cloned(),
            after: check::after(response.headers()),
        };
        let good = response.status().is_success();
        reading.outcome = match &self.content {
            Content::Model { stream: true, .. } if good => {
                self.stream(response, allowed, &mut reading).await
            }
            _ => self.whole(response, allowed, &mut reading).await,
        };
        reading
    }

    async fn whole(
        &self,
        response: Response<Incoming>,
        allowed: &Allowed,
        reading: &mut Reading,
    ) -> Outcome {
        let (status, headers, body) = match client::collect(response).await {
            Ok(answer) => answer,
            Err(reason) => return Outcome::Failed(reason),
        };
        reading.first = Some(Instant::now());
        if !status.is_success() {
            return refused(status, &headers, &body);
        }
        match &self.content {
            Content::Model { .. } => match Text::whole(&headers, &body) {
                Ok(text) => self.judge(&text, allowed),
                Err(breach) => Outcome::Broken(breach),
            },
            Content::Service { body: sent } => {
                match check::receipt(&body, *sent, self.key.as_deref()) {
                    Ok(()) => Outcome::Served(None),
                    Err(breach) => Outcome::Broken(breach),
                }
            }
        }
    }

    async fn stream(
        &self,
        response: Response<Incoming>,
        allowed: &Allowed,
        reading: &mut Reading,
    ) -> Outcome {
        let mut text = Text {
            content: String::new(),
            model: String::new(),
            header: check::named(response.headers()),
            tokens: 0,
        };
        let mut events = response.into_body().into_data_stream().eventsource();
        while let Some(event) = events.next().await {
            let Ok(event) = event else {
                return Outcome::Failed("stream cut off".into());
            };
            if event.data == DONE {
                return self.judge(&text, allowed);
            }
            if let Ok(failure) = serde_json::from_str::<ErrorBody>(&event.data) {
                return Outcome::Refused {
                    status: StatusCode::OK.as_u16(),
                    code: failure.error.code,
                    run: failure.error.run,
                };
            }
            let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
                return Outcome::Broken(Breach::Body);
            };
            take(chunk, &mut text, reading);
        }
        // A clean end without the end mark passes off part of an answer as all of it.
        Outcome::Broken(Breach::Partial)
    }

    fn judge(&self, text: &Text, allowed: &Allowed) -> Outcome {
        let Content::Model {
            customer,
            class,
            prompt,
            ..
        } = &self.content
        else {
            return Outcome::Broken(Breach::Body);
        };
        // Without contracts at hand any version passes.
        let allows = |version: &id::Version| {
            allowed
                .allows(customer, class, version)
                .unwrap_or(allowed.is_empty())
        };
        match check::answer(text, prompt, allows) {
            Ok(version) => Outcome::Served(Some(version)),
            Err(breach) => Outcome::Broken(breach),
        }
    }
}

fn take(chunk: Chunk, text: &mut Text, reading: &mut Reading) {
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
        reading.first.get_or_insert(now);
        reading.pieces.push(now);
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
        Err(breach) => Outcome::Broken(breach),
    }
}

fn value(text: &str) -> Result<HeaderValue, CompactString> {
    let value = HeaderValue::from_str(text);
    value.map_err(|_| "a key can't stand in a header".into())
}

fn model(
    arrival: &Arrival,
    class: &id::Class,
    number: usize,
) -> Result<(String, Bytes, Content), CompactString> {
    let customer = &arrival.customer;
    let output = arrival.output.0;
    let mut prompt = format!("question {number} of {customer}: answer in {output} tokens");
    for word in 0..arrival.prompt.0 {
        prompt.push_str(PAD[usize::try_from(word).unwrap_or(0) % PAD.len()]);
    }
    let system =
        format!("You answer {class} requests for {customer}, briefly and in one language.");
    let chat = Chat {
        model: class.as_str().into(),
        messages: vec![turn("system", system), turn("user", prompt.clone())],
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

/// Words that bring a prompt to its length.
const PAD: [&str; 4] = [" degreaser", " gasket", " bearing", " rinse"];

fn turn(role: &str, content: String) -> Turn {
    Turn {
        role: role.into(),
        content,
    }
}

/// A call sent again on the same id has the same body, since it is made from the same label.
fn order(
    arrival: &Arrival,
    service: &id::Service,
) -> Result<(String, Bytes, Content), CompactString> {
    let label = arrival.idempotency.as_deref().unwrap_or_default();
    let words = usize::try_from(arrival.prompt.0).unwrap_or(0);
    let order = Order {
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
