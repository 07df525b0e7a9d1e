//! The current configuration of this entry VM, as the filters read it.
//!
//! One task copies it from the platform's stream. Filters read it at each decision and again at
//! each dispatch, so that a change also applies to requests that already wait.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use pimento_contract::State;
use pimento_scheduler::Clock;
use pimento_units::Offset;
use tokio::sync::watch;

/// The current configuration. Clones share it.
#[derive(Debug, Clone)]
pub struct Handle {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    state: ArcSwap<State>,
    ready: AtomicBool,
    /// When the state was last confirmed to be current, in nanoseconds of the clock.
    confirmed_at: AtomicU64,
    offset: watch::Sender<Offset>,
}

impl Handle {
    /// A handle without a state, which is not ready.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let inner = Inner {
            clock,
            state: ArcSwap::from_pointee(State::default()),
            ready: AtomicBool::new(false),
            confirmed_at: AtomicU64::new(0),
            offset: watch::Sender::new(Offset(0)),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The current state.
    #[must_use]
    pub fn current(&self) -> Arc<State> {
        self.inner.state.load_full()
    }

    /// Replaces the state, unless the new one has a lower offset: an accepted configuration never
    /// reverts, whatever its source.
    pub fn replace(&self, state: &Arc<State>) {
        self.inner.state.rcu(|current| {
            if state.offset < current.offset {
                Arc::clone(current)
            } else {
                Arc::clone(state)
            }
        });
        self.inner.ready.store(true, Ordering::Release);
        self.inner.offset.send_replace(self.current().offset);
    }

    /// Records that the state was current `age` ago.
    pub fn confirm(&self, age: Duration) {
        let age = u64::try_from(age.as_nanos()).unwrap_or(u64::MAX);
        let confirmed_at = self.inner.clock.now().nanos().saturating_sub(age);
        self.inner
            .confirmed_at
            .fetch_max(confirmed_at, Ordering::AcqRel);
    }

    /// Time since the state was last confirmed to be current.
    #[must_use]
    pub fn age(&self) -> Duration {
        let confirmed_at = self.inner.confirmed_at.load(Ordering::Acquire);
        Duration::from_nanos(self.inner.clock.now().nanos().saturating_sub(confirmed_at))
    }

    /// Whether a state has been set.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.inner.ready.load(Ordering::Acquire)
    }

    /// Waits until the state includes all records below `offset`, at most for `timeout`.
    pub async fn wait_for_offset(&self, offset: Offset, timeout: Duration) {
        let mut offsets = self.inner.offset.subscribe();
        let reached = offsets.wait_for(|current| *current >= offset);
        // After the timeout the caller decides on the state that is there.
        let _ = tokio::time::timeout(timeout, reached).await;
    }
}
