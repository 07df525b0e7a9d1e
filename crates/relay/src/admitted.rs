//! A request that was let in, with all that its attempts need.

use std::time::Duration;

use bytes::Bytes;
use hyper::http::request;
use pimento_policy::choice;
use pimento_policy::engine;
use pimento_policy::engine::Prompt;
use pimento_units::Digest;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use crate::admit::Grant;
use crate::headers::RequestInfo;

/// A request that was let in.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// What its head says.
    pub info: RequestInfo,
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// What it may do.
    pub grant: Grant,
    /// The service that it goes to.
    pub pool: id::Pool,
    /// When its head had come.
    pub began: Moment,
    /// When its caller and its route expect the whole answer.
    pub deadline: Moment,
    /// Bits that are the same for each attempt of this request.
    pub random: u64,
    /// What it shares with its caller's later tries, which have ids of their own; see [`digest`].
    pub digest: Digest,
}

impl AdmittedRequest {
    /// The path that its route was found by.
    #[must_use]
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Time left until the answer must be whole.
    #[must_use]
    pub fn left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Hash of the longest beginning of the prompt that other requests share: the last part belongs
    /// to the request itself.
    #[must_use]
    pub fn prefix(&self) -> Option<u64> {
        let (_, shared) = self.info.prompt_parts.split_last()?;
        shared.last().map(|part| part.hash)
    }

    /// The prompt for a model; none if its parts are not known.
    #[must_use]
    pub fn prompt(&self, model: &id::Version) -> Option<Prompt> {
        let parts = self.info.prompt_parts.iter().map(|part| engine::Part {
            hash: part.hash,
            tokens: part.tokens,
        });
        let parts: Vec<engine::Part> = parts.collect();
        (!parts.is_empty()).then(|| Prompt {
            model: choice::hash(model.as_str()),
            parts,
        })
    }

    /// Tokens of the prompt, and the most of the answer.
    #[must_use]
    pub fn usage(&self) -> Option<(Tokens, Tokens)> {
        self.info.usage
    }
}

/// Bits for a request's draws, from its id.
#[must_use]
pub fn random(info: &RequestInfo) -> u64 {
    choice::hash(&info.id)
}

/// The digest of a request's customer, host, method, path and body. Nobody can make another customer's
/// request look like one of their own, as the customer's name is known by the key.
#[must_use]
pub fn digest(info: &RequestInfo, head: &request::Parts, body: &[u8], grant: &Grant) -> Digest {
    let customer = grant.customer.as_ref();
    let customer = customer.map_or("", |customer| customer.name.as_str());
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let texts = [customer, &info.host, head.method.as_str(), path];
    Digest::of(texts.into_iter().map(str::as_bytes).chain([body]))
}
