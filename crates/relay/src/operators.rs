//! View of the operators' records: the configuration in force and the roll-out orders.

use std::sync::Arc;

use pimento_units::Moment;
use pimento_units::Offset;

use crate::boot;
use crate::codec::Codec;
use crate::codec::OperatorRecord;
use crate::codec::Order;
use crate::evacuation::Evacuations;
use crate::follow::Fold;
use crate::follow::RecordContext;
use crate::node::millis;
use crate::table::Table;
use crate::topic::Record;

/// An [`Order`], with where and when it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadOrder {
    /// The roll-out that is ordered.
    pub rollout: Order,
    /// Its offset in the topic, which distinguishes it from an earlier identical order.
    pub offset: Offset,
    /// When this VM read it.
    pub read_at: Moment,
    /// Whether it already existed when this process first read the topic.
    pub initial: bool,
}

/// The state that results from the operators' records.
#[derive(Debug)]
pub struct Operators<C> {
    codec: C,
    table: Option<Arc<Table>>,
    /// The newest order for each service, sorted by service.
    orders: Vec<ReadOrder>,
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

    fn insert_order(&mut self, order: ReadOrder) {
        let find = |known: &ReadOrder| known.rollout.pool.cmp(&order.rollout.pool);
        match self.orders.binary_search_by(find) {
            Ok(index) => self.orders[index] = order,
            Err(index) => self.orders.insert(index, order),
        }
    }
}

impl<C: Codec> Fold for Operators<C> {
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool {
        let Some(value) = &record.value else {
            return self.remove(record, context);
        };
        let started = boot::now();
        match self.codec.decode_operator_record(&record.key, value) {
            Ok(OperatorRecord::Table(table)) => {
                log::info!(
                    topic = "operators",
                    offset = record.offset.0,
                    configuration = table.version(),
                    bytes = value.len(),
                    decoded_ms = millis(boot::now().since(started));
                    "operators: Configuration in force."
                );
                self.table = Some(Arc::from(table));
            }
            Ok(OperatorRecord::Rollout(rollout)) => {
                log::info!(
                    topic = "operators",
                    offset = record.offset.0,
                    pool = rollout.pool.as_str(),
                    version = rollout.target.as_str(),
                    lasts_ms = millis(rollout.time_limit);
                    "operators: Roll-out ordered."
                );
                self.insert_order(ReadOrder {
                    rollout,
                    offset: record.offset,
                    read_at: context.received,
                    initial: context.initial,
                });
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
