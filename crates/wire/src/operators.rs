//! What an entry VM says of itself on its operators' address (`GET /state`, JSON).
//!
//! `pimentoctl status` shows it, and the controllers judge roll-outs by its evidence. Programs may
//! add fields; readers pass over those that they don't know.

use pimento_units::Offset;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::Evidence;

/// The state of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Its name.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// Whether it takes requests.
    pub ready: bool,
    /// The next offset of its configuration.
    pub offset: Offset,
    /// Milliseconds since it last knew its configuration to be current.
    pub age_ms: u64,
    /// What it saw of each version. Counts begin anew when the revision of a roll-out that names
    /// the version changes, so that whoever reads them judges the stage in force and needs no
    /// earlier reading to compare with.
    #[serde(default)]
    pub evidence: Vec<Evidence>,
}
