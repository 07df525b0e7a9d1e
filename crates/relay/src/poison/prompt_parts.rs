//! What this VM knows of prompt parts that crash endpoints, and what it tells the other VMs.

use std::time::Duration;

use pimento_policy::poison::Crash;
use pimento_policy::poison::parts::Changes;
use pimento_policy::poison::parts::Config;
use pimento_policy::poison::parts::Id;
use pimento_policy::poison::parts::Suspect;
use pimento_policy::poison::parts::Table;
use pimento_units::Moment;

use super::outbox::Outboxes;
use super::part_report::PartReport;

/// The longest random delay before a VM reports that a part is sound. All VMs learn that from their own
/// answers at about the same time, and one report is enough.
const MAX_SOUND_DELAY: Duration = Duration::from_millis(300);

/// The longest random time by which this VM's blocks last longer. When a block ends, VMs send the part one
/// after the other, and those that come later learn whether it crashed an endpoint again.
const MAX_BLOCK_EXTENSION: Duration = Duration::from_mins(1);

/// Crashes under prompt parts, with the reports to send.
#[derive(Debug)]
pub struct PromptParts {
    pub table: Table,
    pub outboxes: Outboxes<PartReport>,
}

impl Default for PromptParts {
    fn default() -> Self {
        let mut config = Config::default();
        config.crash_ttl += rand::random_range(Duration::ZERO..MAX_BLOCK_EXTENSION);
        Self {
            table: Table::new(config),
            outboxes: Outboxes::default(),
        }
    }
}

impl PromptParts {
    /// Records a crash that this VM saw, and reports it to the others.
    pub fn record_crash(&mut self, crash: Crash, at: Moment, suspects: &[Suspect], now: Moment) {
        self.table.record_crash(crash, at, suspects);
        for suspect in suspects {
            let suspect = *suspect;
            let report = PartReport::Crashed { crash, at, suspect };
            self.outboxes.broadcast(report, now);
        }
    }

    /// Records that a complete answer to a prompt with the part began at `began`. Returns whether the
    /// others are told so.
    pub fn record_sound(&mut self, id: Id, began: Moment, now: Moment) -> bool {
        let news = self.table.record_sound(id, began);
        if news {
            self.cancel_sound(id, began);
            let delay = rand::random_range(Duration::ZERO..MAX_SOUND_DELAY);
            let report = PartReport::Sound { id, began };
            self.outboxes.broadcast(report, now + delay);
        }
        news
    }

    /// Takes in another VM's report. A report from another zone (`remote`) is forwarded within this zone.
    pub fn receive(&mut self, report: PartReport, remote: bool, now: Moment) {
        if remote {
            self.outboxes.forward(report, now);
        }
        match report {
            PartReport::Crashed { crash, at, suspect } => {
                self.table.record_crash(crash, at, &[suspect]);
            }
            PartReport::Sound { id, began } => {
                self.table.record_sound(id, began);
                self.cancel_sound(id, began);
            }
        }
    }

    /// Drops own reports that a later answer makes needless.
    fn cancel_sound(&mut self, id: Id, began: Moment) {
        self.outboxes.cancel(|report| match report {
            PartReport::Sound {
                id: known,
                began: at,
            } => *known == id && *at <= began,
            PartReport::Crashed { .. } => false,
        });
    }

    /// Blocks and releases parts by what is known now.
    pub fn evaluate(&mut self, now: Moment) -> Option<Changes> {
        let changes = self.table.evaluate(now)?;
        for id in &changes.blocked {
            log::warn!(part:% = id; "poison: Prompt part blocked.");
        }
        for id in &changes.released {
            log::info!(part:% = id; "poison: Prompt part released.");
        }
        Some(changes)
    }
}
