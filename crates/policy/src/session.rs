//! Which versions a session uses: its pinned versions, as long as they are usable.
//!
//! Entry VMs and zones share no memory, and versions come and go. Without pins, a session would
//! change its version whenever the balancer picks another VM, and a session pinned for ever would
//! go on with a withdrawn version. The caller carries its pins in the session token. For each model
//! that the class allows, the pinned version is used while it serves, is allowed and is not
//! quarantined here; otherwise the roll-outs decide, and the pin changes.
//!
//! A node whose configuration is older than a bound can't know whether a version that was still in
//! roll-out has been withdrawn meanwhile. It uses only versions that are not in roll-out, for pins
//! too.

use std::time::Duration;

use pimento_contract::Rollout;
use pimento_contract::State;
use pimento_contract::contract::Class;
use pimento_contract::rollout::Status;
use pimento_contract::version;
use pimento_units::id;

use crate::rollout;

/// What a node knows at the time of a decision: the configuration, its age and its own evidence.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The configuration in force here.
    pub state: &'a State,
    /// How long ago the configuration was last known to be current.
    pub age: Duration,
    /// The largest age at which versions in roll-out are used.
    pub max_age: Duration,
    /// Versions that this node does not use because of its own evidence, sorted.
    pub quarantined: &'a [id::Version],
}

/// A version that the session uses for one of the class's models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    /// The version.
    pub version: id::Version,
    /// Whether the session was pinned to it before. If not, the caller gets a new token.
    pub was_pinned: bool,
}

impl View<'_> {
    fn is_stale(&self) -> bool {
        self.age > self.max_age
    }

    /// Whether new work of `class` may go to `version`.
    #[must_use]
    pub fn usable(&self, class: &Class, version: &id::Version) -> bool {
        let known = self.state.version(version);
        let serves = known.is_some_and(|known| known.status == version::Status::Serving);
        let unsettled = self.is_stale() && self.in_rollout(version);
        class.allows(version)
            && serves
            && !unsettled
            && self.quarantined.binary_search(version).is_err()
    }

    /// Whether `version` is still being rolled out.
    fn in_rollout(&self, version: &id::Version) -> bool {
        self.state
            .rollouts()
            .any(|rollout| rollout.to == *version && rollout.status != Status::Done)
    }
}

/// The versions that a session uses in a class, one for each model, sorted. A model is a lineage of
/// versions connected by roll-outs. Empty if no version may be used.
#[must_use]
pub fn versions(
    session: id::Session,
    pins: &[id::Version],
    class: &Class,
    view: &View<'_>,
) -> Vec<Pin> {
    let rollouts: Vec<&Rollout> = view.state.rollouts().collect();
    let mut chosen: Vec<Pin> = Vec::new();
    let mut roots: Vec<&id::Version> = class
        .versions
        .iter()
        .map(|version| root(version, &rollouts))
        .collect();
    roots.sort();
    roots.dedup();
    for root in roots {
        let lineage = lineage(root, &rollouts);
        let pinned = pins
            .iter()
            .find(|pin| lineage.contains(pin) && view.usable(class, pin));
        let version = pinned.or_else(|| assigned(session, root, &lineage, &rollouts, class, view));
        let Some(version) = version else { continue };
        let was_pinned = pinned.is_some();
        match chosen.binary_search_by(|pin| pin.version.cmp(version)) {
            Ok(_) => {}
            Err(index) => chosen.insert(
                index,
                Pin {
                    version: version.clone(),
                    was_pinned,
                },
            ),
        }
    }
    chosen
}

/// The version that the roll-outs assign to a session. If it may not be used, the newest usable
/// version of the lineage, first those that are not in roll-out.
fn assigned<'a>(
    session: id::Session,
    root: &'a id::Version,
    lineage: &[&'a id::Version],
    rollouts: &[&'a Rollout],
    class: &Class,
    view: &View<'_>,
) -> Option<&'a id::Version> {
    let usable = |version: &id::Version| view.usable(class, version);
    let version = rollout::version_for(session, root, rollouts, view.is_stale(), usable);
    if usable(version) {
        return Some(version);
    }
    let settled = |version: &&&id::Version| !view.in_rollout(version);
    let mut fallback = lineage.iter().rev().filter(|version| usable(version));
    let mut all = fallback.clone();
    let found = fallback.find(settled).or_else(|| all.next_back());
    found.copied()
}

/// The first version of the lineage that `version` belongs to.
fn root<'a>(version: &'a id::Version, rollouts: &[&'a Rollout]) -> &'a id::Version {
    let mut current = version;
    for _ in 0..rollouts.len() {
        match rollouts.iter().find(|rollout| rollout.to == *current) {
            Some(rollout) => current = &rollout.from,
            None => break,
        }
    }
    current
}

/// All versions that follow from `root` by roll-outs, oldest first.
fn lineage<'a>(root: &'a id::Version, rollouts: &[&'a Rollout]) -> Vec<&'a id::Version> {
    let mut lineage = vec![root];
    let mut next = 0;
    while let Some(current) = lineage.get(next).copied() {
        for rollout in rollouts.iter().filter(|rollout| rollout.from == *current) {
            if !lineage.contains(&&rollout.to) {
                lineage.push(&rollout.to);
            }
        }
        next += 1;
    }
    lineage
}
