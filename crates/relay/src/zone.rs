//! What the VMs of a zone know of each other for reading the log together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use pimento_units::Moment;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::follow::Lead;

/// The newest stamp of another VM: a moment of its own boot-time clock, which means nothing to
/// anybody else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Hash of the VM's name.
    pub node: u64,
    /// Its moment.
    pub at: Moment,
}

/// Stamps of the other VMs, and who reads for whom. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Zone {
    stamps: Arc<Mutex<Vec<Stamp>>>,
    /// Who reads for whom.
    pub lead: Arc<watch::Sender<Lead>>,
    /// Told of each read that proves something.
    pub proved: Arc<Notify>,
    /// Where the VM that reads for this one takes calls.
    reader: Arc<Mutex<Option<SocketAddr>>>,
}

impl Zone {
    /// Takes another VM's stamp. Datagrams may overtake each other; a VM that started anew begins
    /// with a lower one only if its machine did, too.
    pub fn heard(&self, stamp: Stamp) {
        let mut stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        match stamps.iter_mut().find(|known| known.node == stamp.node) {
            Some(known) => *known = stamp,
            None => stamps.push(stamp),
        }
    }

    /// The newest stamp of each other VM.
    #[must_use]
    pub fn stamps(&self) -> Vec<Stamp> {
        let stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        stamps.clone()
    }

    /// Notes which VM reads for this one; none if this one reads itself.
    pub fn read_by(&self, reader: Option<SocketAddr>) {
        *self.reader.lock().unwrap_or_else(PoisonError::into_inner) = reader;
    }

    /// Where the VM that reads for this one takes calls.
    #[must_use]
    pub fn reader(&self) -> Option<SocketAddr> {
        *self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets the stamps of VMs that are gone.
    pub fn keep(&self, live: impl Fn(u64) -> bool) {
        let mut stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        stamps.retain(|stamp| live(stamp.node));
    }
}
