//! The configuration in force at this entry VM, as the filters read it.
//!
//! One task copies it from the platform's stream; filters take the current value at each decision
//! and again at each dispatch, so that a change takes hold for work that already waits.

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

/// The configuration in force; clones share it.
#[derive(Debug, Clone)]
pub struct Handle {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    state: ArcSwap<State>,
    ready: AtomicBool,
    /// When the state was last known to be current, in nanoseconds of the clock.
    confirmed_at: AtomicU64,
    offset: watch::Sender<Offset>,
}

impl Handle {
    /// Without a state: not ready.
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

    /// What is in force now.
    #[must_use]
    pub fn current(&self) -> Arc<State> {
        self.inner.state.load_full()
    }

    /// Puts a state in force, unless its offset is lower than the current one's: whoever brings
    /// it, what was accepted never reverts.
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

    /// Notes that the state was current `age` ago.
    pub fn confirm(&self, age: Duration) {
        let age = u64::try_from(age.as_nanos()).unwrap_or(u64::MAX);
        let confirmed_at = self.inner.clock.now().nanos().saturating_sub(age);
        self.inner
            .confirmed_at
            .fetch_max(confirmed_at, Ordering::AcqRel);
    }

    /// Time since the state was last known to be current.
    #[must_use]
    pub fn age(&self) -> Duration {
        let confirmed_at = self.inner.confirmed_at.load(Ordering::Acquire);
        Duration::from_nanos(self.inner.clock.now().nanos().saturating_sub(confirmed_at))
    }

    /// Whether there is a state at all.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.inner.ready.load(Ordering::Acquire)
    }

    /// Waits until the state has read up to `offset`, at most `wait`.
    pub async fn wait_for_offset(&self, offset: Offset, timeout: Duration) {
        let mut offsets = self.inner.offset.subscribe();
        let reached = offsets.wait_for(|current| *current >= offset);
        // Whoever is behind after the wait decides on what it has.
        let _ = tokio::time::timeout(timeout, reached).await;
    }
}
