//! Measured points and the straight line fitted through them.

/// Measured points of one quantity.
#[derive(Debug, Default)]
pub struct Points(Vec<(f64, f64)>);

impl Points {
    /// Adds and prints a point.
    pub fn add(&mut self, what: &str, x: f64, unit: &str, y: f64) {
        println!("{what}: {x:>10} -> {y:.3} {unit}");
        self.0.push((x, y));
    }

    /// Prints slope and intercept of the least squares line. A point's weight is about `1 / x²`, so
    /// that points with a small `x` count too.
    pub fn print(&self, per: &str, unit: &str) {
        let weight = |(x, _): &(f64, f64)| 1.0 / (1.0 + x * x);
        let sum = |of: fn(&(f64, f64)) -> f64| -> f64 {
            self.0.iter().map(|point| weight(point) * of(point)).sum()
        };
        let (w, x, y) = (sum(|_| 1.0), sum(|p| p.0), sum(|p| p.1));
        let (xx, xy) = (sum(|p| p.0 * p.0), sum(|p| p.0 * p.1));
        let slope = (w * xy - x * y) / (w * xx - x * x);
        let intercept = (y - slope * x) / w;
        println!("  fit: {slope:.4} {unit} for each {per}, {intercept:.3} {unit} at none");
    }
}

/// Converts a count for [`Points`].
#[expect(clippy::cast_precision_loss, reason = "counts here are far below 2^52")]
pub const fn number(count: u64) -> f64 {
    count as f64
}
