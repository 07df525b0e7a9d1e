//! An admitted request, with everything that its attempts need.

use std::sync::Arc;
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
use crate::deadline::Deadline;
use crate::headers::PromptPart;
use crate::headers::RequestInfo;
use crate::lifetime::Lifetime;
use crate::stage::Tracker;

/// An admitted request.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// What was read from its head.
    pub info: RequestInfo,
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// The result of its admission.
    pub grant: Grant,
    /// The service that it is sent to.
    pub pool: id::Pool,
    /// When its head was received.
    pub began: Moment,
    /// When the response must be complete, by the caller's and the route's timeout.
    pub deadline: Deadline,
    /// Pseudo-random number that is the same for all attempts of this request.
    pub random: u64,
    /// Identifies the request across its caller's retries, which have other ids; see [`digest`].
    pub digest: Digest,
    /// How far it has come.
    pub tracker: Arc<Tracker>,
    /// The life of this VM.
    pub lifetime: Lifetime,
}

impl AdmittedRequest {
    /// The path that its route was found by.
    #[must_use]
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Time left until its deadline, whether or not this VM lives as long. An endpoint that is told an earlier
    /// end breaks off there, which looks like a crash.
    #[must_use]
    pub fn left_by_deadline(&self, now: Moment) -> Duration {
        self.deadline.get().since(now)
    }

    /// When the response must be complete: by its deadline, and before this VM ends.
    #[must_use]
    pub fn bound(&self) -> Moment {
        self.lifetime.bound(self.deadline.get())
    }

    /// Time left until the response must be complete.
    #[must_use]
    pub fn left(&self, now: Moment) -> Duration {
        self.bound().since(now)
    }

    /// The prompt's parts that other requests can share, in order. The part after them is specific to
    /// this request or its session.
    pub fn shared_parts(&self) -> impl DoubleEndedIterator<Item = &PromptPart> {
        let (_, shared) = self.info.prompt_parts.split_last().unzip();
        shared.unwrap_or_default().iter()
    }

    /// Hash of the last prompt part that other requests can share.
    #[must_use]
    pub fn prefix(&self) -> Option<u64> {
        self.shared_parts().next_back().map(|part| part.hash)
    }

    /// The prompt as input of a model; none if its parts are unknown.
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

    /// Tokens of the prompt, and the maximum tokens of the answer.
    #[must_use]
    pub fn usage(&self) -> Option<(Tokens, Tokens)> {
        self.info.usage
    }
}

/// Pseudo-random number for a request, derived from its id.
#[must_use]
pub fn random(info: &RequestInfo) -> u64 {
    choice::hash(&info.id)
}

/// The digest of a request's customer, host, method, path with query, and body. The customer is
/// determined by the key, so no caller can produce the digest of another customer's request.
#[must_use]
pub fn digest(info: &RequestInfo, head: &request::Parts, body: &[u8], grant: &Grant) -> Digest {
    let customer = grant.customer.as_ref();
    let customer = customer.map_or("", |customer| customer.name.as_str());
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let texts = [customer, &info.host, head.method.as_str(), path];
    Digest::of(texts.into_iter().map(str::as_bytes).chain([body]))
}
