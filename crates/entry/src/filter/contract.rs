//! What the contract allows: which versions may answer at present, and whether a version still may when a
//! call is about to be sent.

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

/// Finds the versions that may answer a request.
#[derive(Debug, Clone)]
pub struct Contract<'a>(pub &'a Node);

/// A request with versions that may answer it.
#[derive(Debug)]
pub struct Resolved {
    /// The request.
    pub request: Request,
    /// The versions at present, one for each model, sorted.
    pub pins: Vec<Pin>,
}

impl Filter<Request> for Contract<'_> {
    type Output = Resolved;

    async fn apply(&self, request: Request) -> Result<Resolved, Refusal> {
        let pins = self.pins(&request);
        if pins.is_empty() {
            return Err(no_version());
        }
        Ok(Resolved { request, pins })
    }
}

/// The refusal when no version may answer, because all are withdrawn or the contract was narrowed.
#[must_use]
pub fn no_version() -> Refusal {
    /// Operators may start a roll-out or add a version at any time.
    const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(10);
    let message = "no version that the contract allows takes new work";
    Refusal::not_run(Code::NoVersion, message).retry_after(RETRY_AFTER)
}

impl Contract<'_> {
    /// The versions that the session uses under the present configuration.
    #[must_use]
    pub fn pins(&self, request: &Request) -> Vec<Pin> {
        let state = self.0.state.current();
        let quarantined = self.0.evidence.quarantined();
        let Some(class) = find_class(&state, &request.customer, &request.class.name) else {
            return Vec::new();
        };
        let view = self.view(&state, &quarantined);
        let pinned = &request.session.pins;
        let pins = session::versions(request.session.id, pinned, class, &view);
        one_of_each_model(pins, pinned)
    }

    /// The version, if the present configuration allows new work of the class at it. Must be called right
    /// before each call is sent: a version may be withdrawn, or the contract narrowed, while a request waits
    /// in the queue, between two steps of a cascade, or between two attempts.
    #[must_use]
    pub fn usable_version(
        &self,
        customer: &id::Customer,
        class_name: &id::Class,
        version: &id::Version,
    ) -> Option<Version> {
        let state = self.0.state.current();
        let quarantined = self.0.evidence.quarantined();
        let class = find_class(&state, customer, class_name)?;
        let view = self.view(&state, &quarantined);
        if !view.usable(class, version) {
            return None;
        }
        state.version(version).cloned()
    }

    /// The service, if the customer may call it under the present configuration.
    #[must_use]
    pub fn service(&self, customer: &id::Customer, name: &id::Service) -> Option<Service> {
        let state = self.0.state.current();
        let is_allowed = state.contract(customer)?.allows_service(name);
        is_allowed.then(|| state.service(name).cloned())?
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

/// Selects one version of each model: the one that the session used before, or else the oldest.
///
/// A contract may allow two versions of a model that no roll-out connects, such as a successor whose
/// roll-out has not begun. If both were candidates, the answers of a session would alternate between them,
/// as the cascade finds one or the other cheaper.
fn one_of_each_model(pins: Vec<Pin>, pinned: &[id::Version]) -> Vec<Pin> {
    let mut result: Vec<Pin> = Vec::with_capacity(pins.len());
    for pin in pins {
        let selected = result
            .iter_mut()
            .find(|selected| split_version(&selected.version).0 == split_version(&pin.version).0);
        match selected {
            None => result.push(pin),
            Some(selected) => {
                let rank = |pin: &Pin| {
                    (
                        !pinned.contains(&pin.version),
                        split_version(&pin.version).1,
                    )
                };
                if rank(&pin) < rank(selected) {
                    *selected = pin;
                }
            }
        }
    }
    result
}

/// Splits a version id into the model's name and the version's number, if it has one: `pimento-mini@2` is
/// version 2 of `pimento-mini`.
fn split_version(version: &id::Version) -> (&str, Option<u64>) {
    match version.as_str().split_once('@') {
        Some((model, number)) => (model, number.parse().ok()),
        None => (version.as_str(), None),
    }
}

fn find_class<'s>(
    state: &'s State,
    customer: &id::Customer,
    name: &id::Class,
) -> Option<&'s Class> {
    let contract = state.contract(customer)?;
    contract.classes.iter().find(|class| class.name == *name)
}
