//! The bill: held by a second VM, or by the log, before the caller gets the last byte.

use pimento_contract::contract::Period;
use pimento_ledger::Bill;
use pimento_ledger::record::Item;
use pimento_units::Money;
use pimento_units::Tokens;
use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::api::Run;
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_128_with_seed;

use super::Filter;
use super::budget::Fund;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// What a repeatable request is billed under: the caller's id and the call together. A caller who
/// sends many calls under one id gets an answer to each, and would else pay for the first alone; the
/// same call sent again is still one bill.
#[must_use]
pub fn subject(request: id::Request, call: u64) -> id::Request {
    id::Request(Uuid::from_u128(xxh3_128_with_seed(
        request.0.as_bytes(),
        call,
    )))
}

/// What a model request is billed under. Whole or streamed, it is the same call.
#[must_use]
pub fn chat(request: id::Request, chat: &Chat) -> id::Request {
    let mut hash = Xxh3::new();
    for message in &chat.messages {
        for part in [message.role.as_str(), message.content.as_str()] {
            hash.update(part.as_bytes());
            hash.update(&[0]);
        }
    }
    hash.update(chat.model.as_bytes());
    subject(request, hash.digest())
}

/// Makes the bill safe.
#[derive(Debug, Clone)]
pub struct Billing<'a>(pub &'a Node);

/// An answer that is to be billed.
#[derive(Debug)]
pub struct Answered {
    /// The request.
    pub request: id::Request,
    /// Who pays.
    pub customer: id::Customer,
    /// The class of a model request.
    pub class: Option<id::Class>,
    /// What answered.
    pub item: Item,
    /// The price of the answer.
    pub price: Money,
    /// What all attempts and steps cost us.
    pub cost: Money,
    /// Prompt tokens.
    pub input: Tokens,
    /// Generated tokens.
    pub output: Tokens,
    /// What pays for it.
    pub fund: Fund,
}

impl Filter<Answered> for Billing<'_> {
    type Output = ();

    async fn apply(&self, answered: Answered) -> Result<(), Refusal> {
        let node = self.0;
        let period = Period(answered.fund.hold.period());
        let charge = answered.price.min(answered.fund.most);
        let bill = Bill {
            request: answered.request,
            customer: answered.customer,
            class: answered.class,
            item: answered.item,
            charge,
            cost: answered.cost,
            input: answered.input,
            output: answered.output,
            node: node.config.node.clone(),
            period: period.0,
            at: node.clock.wall(),
        };
        let deadline = tokio::time::Instant::now() + node.config.bill_timeout;
        let held = answered.fund.slot.hold(&bill, deadline).await;
        // Settled only now: an answer that is withheld is not charged, and its money is free again.
        if held.is_ok() {
            let _ = answered.fund.hold.settle(charge);
        }
        held.map_err(|error| {
            log::error!(
                "bills: The answer of {} is withheld: {error}.",
                bill.request
            );
            let message = "the answer was made, but its bill could not be made safe";
            Refusal::new(Code::BillsOut, message, Run::Ran).retry_after(node.config.bill_timeout)
        })
    }
}
