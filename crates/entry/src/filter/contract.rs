//! What the contract allows: which versions may answer now, and whether one still may when a call
//! is about to be sent.

use pimento_contract::Service;
use pimento_contract::State;
use pimento_contract::Version;
use pimento_contract::contract::Class;
use pimento_policy::session;
use pimento_policy::session::Pin;
use pimento_policy::session::View;
use pimento_units::id;

use super::Filter;
use super::identify::Request;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Finds the versions that may answer.
#[derive(Debug, Clone)]
pub struct Contract<'a>(pub &'a Node);

/// A request with versions that may answer it.
#[derive(Debug)]
pub struct Bound {
    /// The request.
    pub request: Request,
    /// The versions now, one for each model, sorted.
    pub pins: Vec<Pin>,
}

impl Filter<Request> for Contract<'_> {
    type Output = Bound;

    async fn apply(&self, request: Request) -> Result<Bound, Refusal> {
        let pins = self.pins(&request);
        if pins.is_empty() {
            return Err(none());
        }
        Ok(Bound { request, pins })
    }
}

/// No version may answer: all are withdrawn, or the contract was narrowed.
#[must_use]
pub fn none() -> Refusal {
    /// A roll-out or a new version may come any time; the operators decide.
    const AGAIN: std::time::Duration = std::time::Duration::from_secs(10);
    let message = "no version that the contract allows takes new work";
    Refusal::not_run(Code::NoVersion, message).retry_after(AGAIN)
}

impl Contract<'_> {
    /// The versions that the session uses by the configuration in force now.
    #[must_use]
    pub fn pins(&self, request: &Request) -> Vec<Pin> {
        let state = self.0.state.current();
        let quarantined = self.0.evidence.quarantined();
        let Some(class) = class(&state, &request.customer, &request.class.name) else {
            return Vec::new();
        };
        let view = self.view(&state, &quarantined);
        let known = &request.session.pins;
        let pins = session::versions(request.session.id, known, class, &view);
        one_of_each_model(pins, known)
    }

    /// The version, if new work of the class may go to it by the configuration in force now. Asked
    /// right before each call is sent: a version may be withdrawn, or the contract narrowed, while
    /// a request waits in the queue, between two steps of a cascade, or between two attempts.
    #[must_use]
    pub fn dispatch(
        &self,
        customer: &id::Customer,
        class_name: &id::Class,
        version: &id::Version,
    ) -> Option<Version> {
        let state = self.0.state.current();
        let quarantined = self.0.evidence.quarantined();
        let class = class(&state, customer, class_name)?;
        let view = self.view(&state, &quarantined);
        if !view.usable(class, version) {
            return None;
        }
        state.version(version).cloned()
    }

    /// The service, if the customer may call it by the configuration in force now.
    #[must_use]
    pub fn service(&self, customer: &id::Customer, name: &id::Service) -> Option<Service> {
        let state = self.0.state.current();
        let serves = state.contract(customer)?.allows_service(name);
        serves.then(|| state.service(name).cloned())?
    }

    fn view<'s>(&self, state: &'s State, quarantined: &'s [id::Version]) -> View<'s> {
        View {
            state,
            age: self.0.state.age(),
            max_age: self.0.config.stale_bound,
            quarantined,
        }
    }
}

/// Leaves one version of each model: the one that the session had before, or else the oldest.
///
/// Two versions of a model that no roll-out joins may both be allowed, such as a successor that is
/// still to be rolled in. If both were candidates, a session would be answered now by one and now
/// by the other, as the cascade finds them cheaper.
fn one_of_each_model(pins: Vec<Pin>, known: &[id::Version]) -> Vec<Pin> {
    let mut kept: Vec<Pin> = Vec::with_capacity(pins.len());
    for pin in pins {
        let rival = kept
            .iter_mut()
            .find(|rival| model(&rival.version).0 == model(&pin.version).0);
        match rival {
            None => kept.push(pin),
            Some(rival) => {
                let rank = |pin: &Pin| (!known.contains(&pin.version), model(&pin.version).1);
                if rank(&pin) < rank(rival) {
                    *rival = pin;
                }
            }
        }
    }
    kept
}

/// The model's name, and its version's number if it has one: `pimento-mini@2` is the second of
/// `pimento-mini`.
fn model(version: &id::Version) -> (&str, Option<u64>) {
    match version.as_str().split_once('@') {
        Some((model, number)) => (model, number.parse().ok()),
        None => (version.as_str(), None),
    }
}

fn class<'s>(state: &'s State, customer: &id::Customer, name: &id::Class) -> Option<&'s Class> {
    let contract = state.contract(customer)?;
    contract.classes.iter().find(|class| class.name == *name)
}
