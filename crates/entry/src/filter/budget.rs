//! Sets aside the most that the request can cost, and room for its bill.
//!
//! Both are taken before anything is sent: money that is not there afterwards can't be had back
//! from an endpoint, and a bill that finds no room would be lost.

use pimento_contract::Contract;
use pimento_contract::Subject;
use pimento_contract::contract::Class;
use pimento_coordination::bills;
use pimento_coordination::grants;
use pimento_coordination::grants::Account;
use pimento_coordination::grants::Hold;
use pimento_units::Moment;
use pimento_units::Money;
use pimento_units::Tokens;
use pimento_units::id;
use pimento_wire::api::Chat;

use super::Filter;
use super::contract::Bound;
use crate::estimate;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Reserves money and a bill's place.
#[derive(Debug, Clone)]
pub struct Budget<'a>(pub &'a Node);

/// Money and a bill's place for one request.
#[derive(Debug)]
pub struct Fund {
    /// The money.
    pub hold: Hold,
    /// The place.
    pub slot: bills::Slot,
    /// How much was set aside.
    pub most: Money,
}

/// A request that can be paid for.
#[derive(Debug)]
pub struct Funded {
    /// The request with its versions.
    pub bound: Bound,
    /// What pays for it.
    pub fund: Fund,
    /// The most tokens that an answer may have.
    pub output: Tokens,
}

impl Filter<Bound> for Budget<'_> {
    type Output = Funded;

    async fn apply(&self, bound: Bound) -> Result<Funded, Refusal> {
        let request = &bound.request;
        let output = limit(&request.chat, &request.class);
        let most = self.most(&request.chat, &request.class, output);
        let deadline = request.identity.deadline;
        let fund = self.reserve(&request.customer, most, deadline).await?;
        Ok(Funded {
            bound,
            fund,
            output,
        })
    }
}

/// The most tokens that an answer may have.
fn limit(chat: &Chat, class: &Class) -> Tokens {
    let asked = chat.max_tokens.map_or(class.output, Tokens);
    asked.min(class.output)
}

impl Budget<'_> {
    /// The most that any version of the class would charge.
    fn most(&self, chat: &Chat, class: &Class, output: Tokens) -> Money {
        let state = self.0.state.current();
        let input = estimate::longest(chat);
        let versions = class.versions.iter().filter_map(|id| state.version(id));
        let charges = versions.map(|version| version.price.of(input, output));
        charges.max().unwrap_or_default()
    }

    /// Sets aside money and a bill's place.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if there is neither.
    pub async fn reserve(
        &self,
        customer: &id::Customer,
        most: Money,
        deadline: Moment,
    ) -> Result<Fund, Refusal> {
        let slot = self.0.outbox.reserve().map_err(|error| {
            let after = self.0.config.platform_timeout;
            Refusal::not_run(Code::BillsOut, error.to_string()).retry_after(after)
        })?;
        let state = self.0.state.current();
        let contract = state.contract(customer).ok_or_else(gone)?;
        let account = Account {
            contract,
            revision: state.revision(&subject(contract)),
            now: self.0.clock.wall(),
        };
        let nodes = self.0.nodes();
        let deadline = self.0.clock.instant(deadline);
        let wallet = &self.0.wallet;
        let mut hold = wallet.reserve(account, most, nodes, deadline).await;
        if matches!(hold, Err(grants::Error::Out { .. }))
            && wallet.borrow(account, most, &self.0.mesh).await
        {
            hold = wallet.reserve(account, most, nodes, deadline).await;
        }
        let hold = hold.map_err(|error| refusal(&error))?;
        Ok(Fund { hold, slot, most })
    }
}

fn subject(contract: &Contract) -> Subject {
    Subject::Contract(contract.customer.clone())
}

fn gone() -> Refusal {
    Refusal::not_run(Code::UnknownKey, "the contract has ended")
}

fn refusal(error: &grants::Error) -> Refusal {
    let message = error.to_string();
    match *error {
        grants::Error::Exhausted { after } => {
            Refusal::not_run(Code::SpendLimit, message).retry_after(after)
        }
        grants::Error::Out { after } => {
            Refusal::not_run(Code::SpendWait, message).retry_after(after)
        }
    }
}
