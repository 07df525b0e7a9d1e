//! Reserves the maximum charge of a request, and capacity for its bill.
//!
//! Both are reserved before anything is sent. Otherwise, a request that has run might turn out not to be
//! covered by the customer's money, or its bill might find no capacity and be lost.

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
use super::contract::Resolved;
use crate::estimate;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Reserves money and capacity for the bill.
#[derive(Debug, Clone)]
pub struct Budget<'a>(pub &'a Node);

/// Money and capacity for the bill of one request.
#[derive(Debug)]
pub struct Reservation {
    /// The reserved money.
    pub hold: Hold,
    /// The capacity for the bill.
    pub bill_permit: bills::BillPermit,
    /// The amount reserved, which the charge never exceeds.
    pub max_charge: Money,
}

/// A request with its reservation.
#[derive(Debug)]
pub struct Funded {
    /// The request with its versions.
    pub resolved: Resolved,
    /// The reservation that pays for it.
    pub reservation: Reservation,
    /// Maximum number of tokens in an answer.
    pub max_output: Tokens,
}

impl Filter<Resolved> for Budget<'_> {
    type Output = Funded;

    async fn apply(&self, resolved: Resolved) -> Result<Funded, Refusal> {
        let request = &resolved.request;
        let max_output = max_output(&request.chat, &request.class);
        let max_charge = self.max_charge(&request.chat, &request.class, max_output);
        let deadline = request.identity.work_deadline();
        let reservation = self
            .reserve(&request.customer, max_charge, deadline)
            .await?;
        Ok(Funded {
            resolved,
            reservation,
            max_output,
        })
    }
}

/// Maximum number of tokens in an answer.
fn max_output(chat: &Chat, class: &Class) -> Tokens {
    let requested = chat.max_tokens.map_or(class.output, Tokens);
    requested.min(class.output)
}

impl Budget<'_> {
    /// Highest charge of any version of the class.
    fn max_charge(&self, chat: &Chat, class: &Class, output: Tokens) -> Money {
        let state = self.0.state.current();
        let input = estimate::max_prompt_tokens(chat);
        let versions = class.versions.iter().filter_map(|id| state.version(id));
        let charges = versions.map(|version| version.price.of(input, output));
        charges.max().unwrap_or_default()
    }

    /// Reserves money and capacity for the bill.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if either is not available.
    pub async fn reserve(
        &self,
        customer: &id::Customer,
        max_charge: Money,
        deadline: Moment,
    ) -> Result<Reservation, Refusal> {
        let bill_permit = self.0.outbox.reserve().map_err(|error| {
            let after = self.0.config.platform_timeout;
            Refusal::not_run(Code::BillsUnavailable, error.to_string()).retry_after(after)
        })?;
        let state = self.0.state.current();
        let contract = state.contract(customer).ok_or_else(contract_ended)?;
        let account = Account {
            contract,
            revision: state.revision(&subject(contract)),
            now: self.0.clock.wall(),
        };
        let nodes = self.0.live_vms();
        let deadline = self.0.clock.instant(deadline);
        let wallet = &self.0.wallet;
        let mut hold = wallet.reserve(account, max_charge, nodes, deadline).await;
        if matches!(hold, Err(grants::Error::Unavailable { .. }))
            && wallet
                .request_transfers(account, max_charge, &self.0.mesh)
                .await
        {
            hold = wallet.reserve(account, max_charge, nodes, deadline).await;
        }
        let hold = hold.map_err(|error| refusal(&error))?;
        Ok(Reservation {
            hold,
            bill_permit,
            max_charge,
        })
    }
}

fn subject(contract: &Contract) -> Subject {
    Subject::Contract(contract.customer.clone())
}

fn contract_ended() -> Refusal {
    Refusal::not_run(Code::UnknownKey, "the contract has ended")
}

fn refusal(error: &grants::Error) -> Refusal {
    let message = error.to_string();
    match *error {
        grants::Error::Exhausted { retry_after } => {
            Refusal::not_run(Code::SpendLimit, message).retry_after(retry_after)
        }
        grants::Error::Unavailable { retry_after } => {
            Refusal::not_run(Code::SpendWait, message).retry_after(retry_after)
        }
    }
}
