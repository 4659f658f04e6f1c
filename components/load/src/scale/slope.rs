//! Straight lines through measured points.

use serde::{Deserialize, Serialize};

/// `base + each * size`, the line with the least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slope {
    /// The value at size 0.
    pub(crate) base: f64,
    /// How much more each one more brings.
    pub(crate) each: f64,
}

impl Slope {
    /// The line through points of size and value.
    pub(crate) fn fit(points: impl IntoIterator<Item = (f64, f64)>) -> Self {
        let points: Vec<(f64, f64)> = points.into_iter().collect();
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let joint: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let each = if spread > 0.0 { joint / spread } else { 0.0 };
        Self { base: y - each * x, each }
    }

    /// The value at a size.
    pub(crate) fn at(&self, size: f64) -> f64 {
        self.base + self.each * size
    }
}

#[cfg(test)]
mod tests;
