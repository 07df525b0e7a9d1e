//! An answer that one engine has started: reads its chunks, resumes it after a broken connection and cancels it.

use std::time::Duration;

use futures::StreamExt;
use pimento_endpoint::Assembler;
use pimento_endpoint::Fault;
use pimento_endpoint::engine::Call;
use pimento_endpoint::engine::Engine;
use pimento_endpoint::engine::Remote;
use pimento_endpoint::events::Events;
use pimento_scheduler::Permit;
use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::api::Chunk;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::filter::delivery::Delivery;

/// Maximum number of resumes in a row without a new chunk. An engine that breaks every connection is faulty.
const MAX_RESUMES: u32 = 3;

/// Backoff before a resume, multiplied by its number. The engine may be restarting its listener.
const RESUME_BACKOFF: Duration = Duration::from_millis(50);

/// An answer that an engine has started.
pub(super) struct Opened {
    pub(super) permit: Permit,
    pub(super) engine: Remote,
    pub(super) attempt: id::Attempt,
    pub(super) events: Events,
    pub(super) assembler: Assembler,
    pub(super) first: Chunk,
    pub(super) started: Moment,
    pub(super) abort: Abort,
}

/// Sends a call and waits for the first chunk of its answer.
pub(super) async fn open_stream(
    engine: &Remote,
    call: Call,
) -> Result<(Events, Assembler, Chunk), Fault> {
    let mut assembler = Assembler::new(call.chat.model.clone());
    let mut events = engine.stream(call).await?;
    loop {
        match events.next().await {
            Some(Ok(event)) => assembler.accept(event)?,
            Some(Err(fault)) => return Err(fault),
            None => return Err(cut_off()),
        }
        if let Some(first) = assembler.next() {
            return Ok((events, assembler, first));
        }
    }
}

fn cut_off() -> Fault {
    Fault::Interrupted {
        reason: "the stream ended before its end mark".into(),
    }
}

impl Opened {
    /// Passes all chunks to the delivery. If the connection breaks, resumes at the same engine.
    pub(super) async fn deliver(
        &mut self,
        delivery: &mut Delivery,
        deadline: Instant,
        stall_timeout: Duration,
    ) -> Result<(), Fault> {
        delivery.push(self.first.clone()).await?;
        let mut resumes = 0;
        let mut read_deadline = deadline.min(Instant::now() + stall_timeout);
        loop {
            while let Some(chunk) = self.assembler.next() {
                resumes = 0;
                delivery.push(chunk).await?;
            }
            if self.assembler.is_complete() {
                return Ok(());
            }
            // An engine that repeats events for ever has stalled.
            if self.assembler.last_was_new() {
                read_deadline = deadline.min(Instant::now() + stall_timeout);
            }
            let event = tokio::time::timeout_at(read_deadline, self.events.next()).await;
            let broken = match event {
                Ok(Some(Ok(event))) => {
                    self.assembler.accept(event)?;
                    // Events that always arrive in time would keep the timeout from being noticed.
                    if self.assembler.last_was_new() || Instant::now() < read_deadline {
                        continue;
                    }
                    Fault::Timeout
                }
                Ok(Some(Err(fault @ Fault::Invalid { .. }))) => return Err(fault),
                Ok(Some(Err(fault))) => fault,
                Ok(None) => cut_off(),
                Err(_) => Fault::Timeout,
            };
            resumes += 1;
            if resumes > MAX_RESUMES || Instant::now() >= deadline {
                return Err(broken);
            }
            self.resume(resumes, broken, deadline).await?;
            read_deadline = deadline.min(Instant::now() + stall_timeout);
        }
    }

    async fn resume(&mut self, number: u32, broken: Fault, deadline: Instant) -> Result<(), Fault> {
        let Some(last) = self.assembler.last_delivered() else {
            return Err(broken);
        };
        let endpoint = self.permit.endpoint();
        log::info!("attempt: Resuming at {endpoint} after chunk {last}: {broken}.");
        tokio::time::sleep(RESUME_BACKOFF * number).await;
        let resumed = self.engine.resume(self.attempt, last);
        match tokio::time::timeout_at(deadline, resumed).await {
            Ok(Ok(events)) => {
                self.events = events;
                Ok(())
            }
            // The engine no longer has the attempt or does not respond; the original fault is reported.
            Ok(Err(_)) | Err(_) => Err(broken),
        }
    }
}

/// Guard that cancels an attempt at its engine when it is dropped before the answer is complete, so that the
/// engine stops generating.
pub(super) struct Abort {
    engine: Remote,
    attempt: id::Attempt,
    tasks: TaskTracker,
    armed: bool,
}

impl Abort {
    pub(super) const fn new(engine: Remote, attempt: id::Attempt, tasks: TaskTracker) -> Self {
        Self {
            engine,
            attempt,
            tasks,
            armed: true,
        }
    }

    pub(super) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Abort {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let engine = self.engine.clone();
        let attempt = self.attempt;
        self.tasks.spawn(async move {
            if let Err(fault) = engine.cancel(attempt).await {
                log::debug!("attempt: Could not cancel {attempt}: {fault}.");
            }
        });
    }
}
