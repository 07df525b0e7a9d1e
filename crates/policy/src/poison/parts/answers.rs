//! The latest complete answers by prompt part, whether or not a crash under the part is known.
//!
//! Reports of crashes are repeated because datagrams are lost, so that a VM may learn of a crash seconds
//! after it has answered requests with the same parts. Without these answers it would block a sound part.

use pimento_units::Moment;

use super::Id;

/// The latest complete answers, at most `capacity` parts.
#[derive(Debug, Clone)]
pub struct Answers {
    capacity: usize,
    /// When the latest answer began, sorted by part.
    began: Vec<(Id, Moment)>,
}

impl Answers {
    /// Creates an empty list.
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            began: Vec::new(),
        }
    }

    /// Records that a complete answer began at `began`.
    pub fn record(&mut self, id: Id, began: Moment) {
        match self.began.binary_search_by_key(&id, |(part, _)| *part) {
            Ok(place) => self.began[place].1 = self.began[place].1.max(began),
            Err(place) => {
                self.began.insert(place, (id, began));
                self.evict();
            }
        }
    }

    /// Whether a complete answer began after this moment.
    pub fn began_after(&self, id: Id, moment: Moment) -> bool {
        let known = self.began.binary_search_by_key(&id, |(part, _)| *part);
        known.is_ok_and(|place| self.began[place].1 > moment)
    }

    /// Evicts the older half once there are too many, so that evictions are rare, and all that began at the median
    /// moment.
    fn evict(&mut self) {
        if self.began.len() <= self.capacity {
            return;
        }
        let mut times: Vec<Moment> = self.began.iter().map(|(_, began)| *began).collect();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.began.retain(|(_, began)| *began > middle);
    }
}
