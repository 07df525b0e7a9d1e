//! Model engines.

use std::future::Future;
use std::time::Duration;

use futures::Stream;
use pimento_units::id;
use pimento_wire::border::Chat;
use pimento_wire::border::Chunk;
use pimento_wire::border::Completion;
use pimento_wire::engine::Load;
use pimento_wire::engine::Order;
use pimento_wire::engine::Reply;

use crate::fault::Fault;

/// A call to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// This attempt.
    pub attempt: id::Attempt,
    /// The conversation, `model` being the version.
    pub chat: Chat,
    /// Lower goes first.
    pub priority: u8,
    /// How long the whole answer may take.
    pub timeout: Duration,
}

/// An event of a stream, as it came.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A numbered piece.
    Chunk {
        /// Its number, from 0.
        sequence: u64,
        /// The piece.
        chunk: Chunk,
    },
    /// The end mark; `sequence` is the number of pieces before it.
    Done {
        /// The number of pieces of the whole stream.
        sequence: u64,
    },
}

/// A model engine at an address.
pub trait Engine: Clone + Send + Sync + 'static {
    /// A streamed answer.
    type Events: Stream<Item = Result<Event, Fault>> + Send + Unpin + 'static;

    /// Asks for a whole answer.
    fn complete(&self, call: Call) -> impl Future<Output = Result<Completion, Fault>> + Send;

    /// Asks for a streamed answer; returns once the engine has begun.
    fn stream(&self, call: Call) -> impl Future<Output = Result<Self::Events, Fault>> + Send;

    /// Resumes a stream of the same engine after event `after`.
    fn resume(
        &self,
        attempt: id::Attempt,
        after: u64,
    ) -> impl Future<Output = Result<Self::Events, Fault>> + Send;

    /// Cancels an attempt.
    fn cancel(&self, attempt: id::Attempt) -> impl Future<Output = Result<(), Fault>> + Send;

    /// What the engine says of itself.
    fn load(&self) -> impl Future<Output = Result<Load, Fault>> + Send;

    /// Gives an order with a fencing number.
    fn order(
        &self,
        order: Order,
        fencing: Option<u64>,
    ) -> impl Future<Output = Result<Reply, Fault>> + Send;
}
