//! Fetches weights into the zone in the background, one version at a time.
//!
//! A fetch takes minutes, or its whole timeout if the store hangs. A pass that waited for it would
//! delay the orders that drop a withdrawn version and the orders to other pools.

use pimento_coordination::weights;
use pimento_coordination::weights::Store;
use pimento_units::id;
use pimento_wire::platform::Fetch;
use tokio_util::task::AbortOnDropHandle;

/// The weight store and the running fetch.
#[derive(Debug)]
pub(super) struct Fetcher<W> {
    store: W,
    zone: id::Zone,
    running: Option<Running>,
}

#[derive(Debug)]
struct Running {
    version: id::Version,
    task: AbortOnDropHandle<Result<(), weights::Error>>,
}

impl<W: Store> Fetcher<W> {
    pub(super) const fn new(store: W, zone: id::Zone) -> Self {
        Self {
            store,
            zone,
            running: None,
        }
    }

    /// Whether a fetch is running.
    pub(super) const fn is_fetching(&self) -> bool {
        self.running.is_some()
    }

    /// Starts a fetch. A running one is aborted.
    pub(super) fn start(&mut self, version: id::Version) {
        let store = self.store.clone();
        let fetch = Fetch {
            version: version.clone(),
            zone: self.zone.clone(),
        };
        let task = tokio::spawn(async move { store.fetch(fetch).await });
        let task = AbortOnDropHandle::new(task);
        self.running = Some(Running { version, task });
    }

    /// Returns the finished fetch and its result, if there is one.
    pub(super) async fn take_finished(
        &mut self,
    ) -> Option<(id::Version, Result<(), weights::Error>)> {
        let running = self.running.take_if(|running| running.task.is_finished())?;
        let result = running.task.await.unwrap_or_else(|error| {
            let reason = error.to_string();
            Err(weights::Error::Lost { reason })
        });
        Some((running.version, result))
    }
}
