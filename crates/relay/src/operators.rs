//! What the operators' records say: the configuration in force and the orders to roll out.

use std::sync::Arc;

use pimento_units::Moment;
use pimento_units::Offset;

use crate::boot;
use crate::codec::Codec;
use crate::codec::OperatorRecord;
use crate::codec::Rollout;
use crate::follow::Fold;
use crate::follow::RecordContext;
use crate::node::millis;
use crate::table::Table;
use crate::topic::Record;

/// An order to roll out, as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// What is ordered.
    pub rollout: Rollout,
    /// Its place in the topic, which tells it from an earlier order of the same kind.
    pub offset: Offset,
    /// When it was read here.
    pub read_at: Moment,
    /// Whether it was there already when this process first read the topic.
    pub initial: bool,
}

/// The operators' records, folded.
#[derive(Debug)]
pub struct Operators<C> {
    codec: C,
    table: Option<Arc<Table>>,
    /// The newest order for each service, sorted by service.
    orders: Vec<RolloutOrder>,
}

impl<C: Codec> Operators<C> {
    /// Nothing read yet.
    #[must_use]
    pub const fn new(codec: C) -> Self {
        Self {
            codec,
            table: None,
            orders: Vec::new(),
        }
    }

    /// The configuration in force; none before the first was read.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.clone()
    }

    /// The newest order for each service, sorted by service.
    #[must_use]
    pub fn orders(&self) -> &[RolloutOrder] {
        &self.orders
    }

    fn order(&mut self, order: RolloutOrder) {
        let find = |known: &RolloutOrder| known.rollout.pool.cmp(&order.rollout.pool);
        match self.orders.binary_search_by(find) {
            Ok(place) => self.orders[place] = order,
            Err(place) => self.orders.insert(place, order),
        }
    }
}

impl<C: Codec> Fold for Operators<C> {
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool {
        let Some(value) = &record.value else {
            log::warn!("operators: {} was dropped, what it said holds.", record.key);
            return false;
        };
        let begun = boot::now();
        match self.codec.decode_operator_record(&record.key, value) {
            Ok(OperatorRecord::Table(table)) => {
                log::info!(
                    topic = "operators",
                    offset = record.offset.0,
                    configuration = table.version(),
                    bytes = value.len(),
                    decoded_ms = millis(boot::now().since(begun));
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
                self.order(RolloutOrder {
                    rollout,
                    offset: record.offset,
                    read_at: context.received,
                    initial: context.initial,
                });
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => log::warn!(
                "operators: {} at offset {} left out: {error}.",
                record.key,
                record.offset
            ),
        }
        true
    }
}
