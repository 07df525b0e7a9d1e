//! The state that an entry VM serves on its operators' address (`GET /state`, JSON).
//!
//! `pimentoctl status` shows it, and the controllers decide on roll-outs by its evidence. Later
//! versions may add fields; readers ignore unknown ones.

use pimento_units::Offset;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::Evidence;

/// The state of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The VM's name.
    pub node: id::Node,
    /// The VM's zone.
    pub zone: id::Zone,
    /// Whether it accepts requests.
    pub ready: bool,
    /// The next offset to read from the configuration stream.
    pub offset: Offset,
    /// Milliseconds since its configuration was last known to be current.
    pub age_ms: u64,
    /// What the VM observed of each version. Counts restart when the revision of a roll-out of the
    /// version changes. They therefore describe the stage in force, and readers need no earlier
    /// values to compare with.
    #[serde(default)]
    pub evidence: Vec<Evidence>,
}
