//! Brings weights to the zone, one version at a time, beside the orders.
//!
//! A fetch takes minutes, and a store that hangs takes its whole timeout. Waited for in a pass, it
//! would hold up the orders that drop a withdrawn version and those of other pools.

use pimento_coordination::weights;
use pimento_coordination::weights::Store;
use pimento_units::id;
use pimento_wire::platform::Fetch;
use tokio_util::task::AbortOnDropHandle;

/// The weight store with the fetch that is under way.
#[derive(Debug)]
pub(super) struct Carrier<W> {
    store: W,
    zone: id::Zone,
    under_way: Option<Load>,
}

#[derive(Debug)]
struct Load {
    version: id::Version,
    task: AbortOnDropHandle<Result<(), weights::Error>>,
}

impl<W: Store> Carrier<W> {
    pub(super) const fn new(store: W, zone: id::Zone) -> Self {
        Self {
            store,
            zone,
            under_way: None,
        }
    }

    /// Whether a fetch is under way.
    pub(super) const fn busy(&self) -> bool {
        self.under_way.is_some()
    }

    /// Starts a fetch. One that is under way is given up.
    pub(super) fn start(&mut self, version: id::Version) {
        let store = self.store.clone();
        let fetch = Fetch {
            version: version.clone(),
            zone: self.zone.clone(),
        };
        let task = tokio::spawn(async move { store.fetch(fetch).await });
        let task = AbortOnDropHandle::new(task);
        self.under_way = Some(Load { version, task });
    }

    /// The fetch that has ended since the last call, with its result.
    pub(super) async fn ended(&mut self) -> Option<(id::Version, Result<(), weights::Error>)> {
        let load = self.under_way.take_if(|load| load.task.is_finished())?;
        let result = load.task.await.unwrap_or_else(|error| {
            let reason = error.to_string();
            Err(weights::Error::Lost { reason })
        });
        Some((load.version, result))
    }
}
