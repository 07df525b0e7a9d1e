//! How much a VM can do for others.

use serde::Deserialize;
use serde::Serialize;

/// The capacity of a VM to read and send for others: larger is better. Reading the registrations of thousands
/// of endpoints takes a good part of a small VM's link and processor, and nothing of a large one's.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Capacity(u32);

/// Thousandths of a core.
const MILLI: f64 = 1_000.0;

impl Capacity {
    /// The capacity of a VM with a link of `link_mbps` megabits per second and a share of `cores` of the
    /// processor: their product, since either of them may be what limits it.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and negative values and NaN become zero"
    )]
    pub fn new(link_mbps: f64, cores: f64) -> Self {
        Self((link_mbps * cores * MILLI) as u32)
    }
}
