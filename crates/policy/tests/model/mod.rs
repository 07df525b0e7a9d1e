//! A queue model in virtual time with recorded arrivals, fake endpoints, and entry nodes that
//! decide with this crate's modules. Shared by the tests and the benchmark.
#![allow(dead_code, reason = "each test file uses a part of the model")]

pub mod engine;
pub mod node;
pub mod quality;
pub mod scenario;
pub mod spend;
pub mod summary;
pub mod world;

/// A seeded generator of random bits (`SplitMix64`).
#[derive(Debug, Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut word = self.0;
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        word ^ (word >> 31)
    }

    /// A number in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        float(self.bits() >> 11) / float(1 << 53)
    }

    /// An index below `count`.
    pub fn below(&mut self, count: usize) -> usize {
        floor(self.unit() * float(count as u64))
    }

    /// A gap between two events of a Poisson process with `rate` events per second.
    pub fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts in tests are small")]
pub fn float(count: u64) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers in tests are small and not negative"
)]
pub fn floor(value: f64) -> usize {
    value as usize
}
