//! Speeds of engines, as VMs of a group tell each other.

use pimento_policy::speed::Sum;
use pimento_scheduler::Scheduler;
use pimento_scheduler::SpeedReport;
use serde::Deserialize;
use serde::Serialize;

/// Engines in one datagram. With more it might not fit the smallest path MTU in common use, and what a VM
/// measures of more of them waits for the next one.
const MAX_SPEEDS: usize = 24;

/// Samples of an engine's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedMessage {
    /// The engine's key.
    engine: u64,
    /// The last bits of its incarnation.
    incarnation: u16,
    /// The number of samples.
    count: u8,
    /// The sum of the logarithms, in tenths, of the times that prompts took over the expected ones.
    steps: i16,
}

impl From<SpeedReport> for SpeedMessage {
    fn from(report: SpeedReport) -> Self {
        Self {
            engine: report.engine,
            incarnation: report.incarnation,
            count: report.sum.count,
            steps: report.sum.steps,
        }
    }
}

impl From<SpeedMessage> for SpeedReport {
    fn from(message: SpeedMessage) -> Self {
        Self {
            engine: message.engine,
            incarnation: message.incarnation,
            sum: Sum {
                count: message.count,
                steps: message.steps,
            },
        }
    }
}

/// Takes this VM's samples since the last datagram, and logs whether the engines of a pool differ if that changed.
pub fn take(scheduler: &Scheduler) -> Vec<SpeedMessage> {
    let mut speeds = Vec::new();
    for (name, pool) in scheduler.pools() {
        let room = MAX_SPEEDS.saturating_sub(speeds.len());
        speeds.extend(pool.take_speeds(room).into_iter().map(SpeedMessage::from));
        let Some(spread) = pool.take_speed_change() else {
            continue;
        };
        if spread.uneven {
            log::info!(
                "neighbours: Engines of pool {name} differ in speed: of {} that are known the slowest takes {} % \
                 of the fastest's time.",
                spread.known,
                spread.percent
            );
        } else {
            log::info!("neighbours: Engines of pool {name} no longer differ in speed.");
        }
    }
    speeds
}

/// Merges the samples of another VM.
pub fn merge(scheduler: &Scheduler, speeds: &[SpeedMessage]) {
    for (_, pool) in scheduler.pools() {
        for speed in speeds {
            pool.merge_speed((*speed).into());
        }
    }
}
