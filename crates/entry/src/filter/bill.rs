//! The bill: held by a second VM, or by the log, before the caller gets the last byte.

use pimento_contract::contract::Period;
use pimento_ledger::Bill;
use pimento_ledger::record::Item;
use pimento_units::Money;
use pimento_units::Tokens;
use pimento_units::id;
use pimento_wire::border::Run;

use super::Filter;
use super::budget::Fund;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

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
