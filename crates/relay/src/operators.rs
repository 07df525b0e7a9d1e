//! View of the operators' records: the configuration in force and the roll-out orders.

use std::sync::Arc;

use pimento_units::Moment;
use pimento_units::Offset;

use crate::codec::Codec;
use crate::codec::OperatorRecord;
use crate::codec::Order;
use crate::evacuation::Evacuations;
use crate::follow::Fold;
use crate::follow::RecordContext;
use crate::node::millis;
use crate::position::Era;
use crate::position::Position;
use crate::table::Table;
use crate::topic::Record;

/// Orders that newer ones replaced, of which so many are remembered.
const MAX_REPLACED: usize = 32;

/// An [`Order`], with where and when it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadOrder {
    /// The roll-out that is ordered.
    pub rollout: Order,
    /// Its offset in the topic, which distinguishes it from an earlier identical order.
    pub offset: Offset,
    /// When this VM read it.
    pub read_at: Moment,
    /// Whether it may already have existed when this process first read the topic.
    pub initial: bool,
}

/// The state that results from the operators' records.
#[derive(Debug)]
pub struct Operators<C> {
    codec: C,
    table: Option<Arc<Table>>,
    /// The newest order for each service, sorted by service.
    orders: Vec<ReadOrder>,
    /// Orders that newer ones replaced, the latest last.
    replaced: Vec<Order>,
    evacuations: Evacuations,
}

impl<C: Codec> Operators<C> {
    /// Creates an empty view.
    #[must_use]
    pub fn new(codec: C) -> Self {
        Self {
            codec,
            table: None,
            orders: Vec::new(),
            replaced: Vec::new(),
            evacuations: Evacuations::default(),
        }
    }

    /// The evacuated zones.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies the removal of a record. Only that of an evacuation has an effect.
    fn remove(&mut self, record: &Record, context: RecordContext) -> bool {
        let Some(zone) = self.codec.evacuated_zone(&record.key) else {
            log::warn!(
                "operators: Record {} was deleted, its last value stays in force.",
                record.key
            );
            return false;
        };
        let ended = self.evacuations.end(&zone, context.received);
        if ended {
            log::info!(
                topic = "operators",
                offset = record.offset.0,
                zone = zone.as_str();
                "operators: The zone's evacuation has ended."
            );
        }
        ended
    }

    /// The configuration in force; none before the first one was read.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.clone()
    }

    /// The newest order for each service, sorted by service.
    #[must_use]
    pub fn orders(&self) -> &[ReadOrder] {
        &self.orders
    }

    /// Puts a configuration in force unless a newer one is. A log that came back from a copy holds an older
    /// one until the operators write theirs again.
    fn set_table(&mut self, table: Table, bytes: usize, offset: Offset, restored: bool) -> bool {
        let (version, known) = (table.version(), self.table.as_ref().map(|t| t.version()));
        let newer = known.is_none_or(|known| version > known || version == known && !restored);
        if !newer {
            log::info!(topic = "operators", offset = offset.0, version, known; "operators: Ignoring an older configuration.");
            return false;
        }
        log::info!(
            topic = "operators",
            offset = offset.0,
            configuration = version,
            bytes;
            "operators: Configuration in force."
        );
        self.table = Some(Arc::new(table));
        true
    }

    /// Records an order. One that the operators wrote again after the log lost it is the same as before under
    /// a new offset. One that was replaced before the log lost that is not in force again.
    fn set_order(&mut self, order: ReadOrder, restored: bool) -> bool {
        let find = |known: &ReadOrder| known.rollout.pool.cmp(&order.rollout.pool);
        let index = match self.orders.binary_search_by(find) {
            Ok(index) => index,
            Err(index) => {
                log_order(&order);
                let order = order.possibly_repeated();
                self.orders.insert(index, order);
                return true;
            }
        };
        let known = &mut self.orders[index];
        if known.is_repeated_by(&order) {
            known.offset = order.offset;
            return true;
        }
        if restored && self.replaced.contains(&order.rollout) {
            return false;
        }
        log_order(&order);
        let before = std::mem::replace(known, order);
        self.replaced.push(before.rollout);
        let excess = self.replaced.len().saturating_sub(MAX_REPLACED);
        self.replaced.drain(..excess);
        true
    }
}

fn log_order(order: &ReadOrder) {
    log::info!(
        topic = "operators",
        offset = order.offset.0,
        pool = order.rollout.pool.as_str(),
        version = order.rollout.target.as_str(),
        lasts_ms = millis(order.rollout.time_limit);
        "operators: Roll-out ordered."
    );
}

impl ReadOrder {
    /// The order as one that may have been given before this process started, if the log has lost records: it may
    /// be written again, and a process that started while it was lost can't tell.
    fn possibly_repeated(self) -> Self {
        let restored = Position::from(self.offset).era > Era::default();
        Self {
            initial: self.initial || restored,
            ..self
        }
    }

    /// Whether another order is this one, which the operators wrote again because the log had lost it.
    #[must_use]
    pub fn is_repeated_by(&self, other: &Self) -> bool {
        let later = Position::from(other.offset).era > Position::from(self.offset).era;
        later && self.rollout == other.rollout
    }
}

impl<C: Codec> Fold for Operators<C> {
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool {
        let Some(value) = &record.value else {
            return self.remove(record, context);
        };
        match self.codec.decode_operator_record(&record.key, value) {
            Ok(OperatorRecord::Table(table)) => {
                return self.set_table(*table, value.len(), record.offset, context.restored);
            }
            Ok(OperatorRecord::Rollout(rollout)) => {
                let order = ReadOrder {
                    rollout,
                    offset: record.offset,
                    read_at: context.received,
                    initial: context.initial,
                };
                return self.set_order(order, context.restored);
            }
            Ok(OperatorRecord::Evacuation(zone))
                if context.restored && self.evacuations.has_ended(&zone) =>
            {
                return false;
            }
            Ok(OperatorRecord::Evacuation(zone)) => {
                log::info!(
                    topic = "operators",
                    offset = record.offset.0,
                    zone = zone.as_str();
                    "operators: The zone is evacuated."
                );
                self.evacuations.begin(zone);
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => log::warn!(
                "operators: Ignoring record {} at offset {}: {error}.",
                record.key,
                record.offset
            ),
        }
        true
    }
}
