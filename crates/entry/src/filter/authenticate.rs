//! Authentication: finds the customer of an API key.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use pimento_contract::State;
use pimento_contract::contract::Key;
use pimento_units::id;

use super::Filter;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Retry delay while the node has no configuration. A new node has read the log or asked a peer within it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Finds the customer.
#[derive(Debug, Clone)]
pub struct Authenticate<'a>(pub &'a Node);

/// An authenticated caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The customer that the API key belongs to.
    pub customer: id::Customer,
    /// The configuration in which the key was found.
    pub state: Arc<State>,
}

impl Filter<&HeaderMap> for Authenticate<'_> {
    type Output = Caller;

    async fn apply(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let state = self.0.state.current();
        if !self.0.state.ready() {
            let message = "this entry VM has no configuration yet";
            return Err(Refusal::not_run(Code::NotReady, message).retry_after(RETRY_AFTER));
        }
        let secret = bearer(headers)?;
        let contract = state
            .contract_for_key(Key::of(secret))
            .ok_or_else(|| Refusal::not_run(Code::UnknownKey, "no contract has this API key"))?;
        Ok(Caller {
            customer: contract.customer.clone(),
            state,
        })
    }
}

fn bearer(headers: &HeaderMap) -> Result<&str, Refusal> {
    let message = "send the API key as `Authorization: Bearer KEY`";
    let missing = || Refusal::not_run(Code::MissingKey, message);
    let value = headers.get(AUTHORIZATION).ok_or_else(missing)?;
    let text = value.to_str().map_err(|_| missing())?;
    let (scheme, secret) = text.split_once(' ').ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case("bearer") || secret.trim().is_empty() {
        return Err(missing());
    }
    Ok(secret.trim())
}
