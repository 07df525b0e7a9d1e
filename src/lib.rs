//! pimentobarrow as one library: re-exports the crates that other programs embed.
//!
//! [`contract`], [`ledger`] and [`policy`] are state machines without a clock, network access or
//! randomness; [`coordination`] and [`endpoint`] connect them to their environment. The daemons are
//! thin programs over [`entry`] and [`control`].

pub use pimento_contract as contract;
pub use pimento_control as control;
pub use pimento_coordination as coordination;
pub use pimento_ctl as ctl;
pub use pimento_endpoint as endpoint;
pub use pimento_entry as entry;
pub use pimento_ledger as ledger;
pub use pimento_policy as policy;
pub use pimento_relay as relay;
pub use pimento_scheduler as scheduler;
pub use pimento_serve as serve;
pub use pimento_standin as standin;
pub use pimento_units as units;
pub use pimento_wire as wire;
