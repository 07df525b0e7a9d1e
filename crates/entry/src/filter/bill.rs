//! Billing: a second VM or the log must hold the bill before the caller gets the last byte.

use std::time::Duration;

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
use super::budget::Reservation;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Time for storing a bill that is left even at the end of this VM, so that the answer still reaches its caller.
const MIN_STORE_TIME: Duration = Duration::from_millis(200);

/// The id under which a repeatable request is billed, derived from the caller's id and the call's hash.
///
/// A caller that sends different calls under one id gets an answer to each, and must pay for each. The same
/// call sent again is billed once.
#[must_use]
pub fn billing_id(request: id::Request, call: u64) -> id::Request {
    id::Request(Uuid::from_u128(xxh3_128_with_seed(
        request.0.as_bytes(),
        call,
    )))
}

/// The id under which a model request is billed. Streaming or not makes no difference.
#[must_use]
pub fn chat_billing_id(request: id::Request, chat: &Chat) -> id::Request {
    let mut hash = Xxh3::new();
    for message in &chat.messages {
        for part in [message.role.as_str(), message.content.as_str()] {
            hash.update(part.as_bytes());
            hash.update(&[0]);
        }
    }
    hash.update(chat.model.as_bytes());
    billing_id(request, hash.digest())
}

/// Has the bill stored by a second VM or the log.
#[derive(Debug, Clone)]
pub struct Billing<'a>(pub &'a Node);

/// An answer to bill.
#[derive(Debug)]
pub struct Answered {
    /// The id under which the request is billed.
    pub request: id::Request,
    /// The customer that pays.
    pub customer: id::Customer,
    /// The class of a model request.
    pub class: Option<id::Class>,
    /// The version or service that answered.
    pub item: Item,
    /// The price of the answer.
    pub price: Money,
    /// Cost of all attempts and steps to the operator.
    pub cost: Money,
    /// Prompt tokens.
    pub input: Tokens,
    /// Generated tokens.
    pub output: Tokens,
    /// The reservation that pays for it.
    pub reservation: Reservation,
}

impl Filter<Answered> for Billing<'_> {
    type Output = ();

    async fn apply(&self, answered: Answered) -> Result<(), Refusal> {
        let node = self.0;
        let period = Period(answered.reservation.hold.period());
        let charge = answered.price.min(answered.reservation.max_charge);
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
        let now = node.clock.now();
        let deadline = node.end.bound(now + node.config.bill_timeout);
        let deadline = node
            .clock
            .instant(deadline.max(now + MIN_STORE_TIME.min(node.config.bill_timeout)));
        let stored = answered
            .reservation
            .bill_permit
            .store(&bill, deadline)
            .await;
        // The reservation is settled only once the bill is stored. An answer that is withheld is not charged,
        // and its money is released.
        if stored.is_ok() {
            let _ = answered.reservation.hold.settle(charge);
        }
        stored.map_err(|error| {
            log::error!(
                "bills: The answer of {} is withheld: {error}.",
                bill.request
            );
            let message = "the request ran, but its bill could not be stored";
            Refusal::new(Code::BillsUnavailable, message, Run::Ran)
                .retry_after(node.config.bill_timeout)
        })
    }
}
