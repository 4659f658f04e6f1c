//! The gaps between a model's requests, as a histogram in which old gaps lose weight.

use std::time::Duration;

/// Bins per doubling of the gap.
const BINS_PER_DOUBLING: usize = 4;
/// The bins cover gaps up to 2^17 s, which is a day and a half.
const BINS: usize = 17 * BINS_PER_DOUBLING + 1;
/// When this many gaps are counted, all counts are halved, so that old gaps lose weight.
const MAX_TOTAL: u32 = 256;

/// A histogram of the gaps between the requests of one model. Each bin is wider than the one before by a factor of the
/// fourth root of 2.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gaps {
    bins: [u32; BINS],
    total: u32,
}

/// A bin of the histogram: its middle and its upper edge in seconds, and the number of gaps in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bin {
    pub(crate) middle: f64,
    pub(crate) upper: f64,
    pub(crate) count: u32,
}

impl Default for Gaps {
    fn default() -> Self {
        Self { bins: [0; BINS], total: 0 }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small positive bin")]
fn bin(gap: Duration) -> usize {
    let seconds = gap.as_secs_f64().max(1.0);
    ((seconds.log2() * BINS_PER_DOUBLING as f64).ceil() as usize).min(BINS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "there are few bins")]
fn upper_edge(bin: usize) -> f64 {
    (bin as f64 / BINS_PER_DOUBLING as f64).exp2()
}

#[expect(clippy::cast_precision_loss, reason = "there are few bins")]
fn middle(bin: usize) -> f64 {
    ((bin as f64 - 0.5) / BINS_PER_DOUBLING as f64).exp2()
}

impl Gaps {
    /// Adds a gap, and halves all counts when there are [`MAX_TOTAL`] gaps.
    pub fn add(&mut self, gap: Duration) {
        self.bins[bin(gap)] += 1;
        self.total += 1;
        if self.total >= MAX_TOTAL {
            self.bins.iter_mut().for_each(|count| *count /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// The number of gaps in the histogram.
    pub fn count(&self) -> u32 {
        self.total
    }

    /// The fraction of the gaps longer than `idle` that end by `until`.
    pub fn fraction_ending(&self, idle: Duration, until: Duration) -> f64 {
        let (from, to) = (bin(idle), bin(until));
        let longer: u32 = self.bins[from..].iter().sum();
        let within: u32 = self.bins[from..=to].iter().sum();
        if longer == 0 { 0.0 } else { f64::from(within) / f64::from(longer) }
    }

    /// The shortest gap, rounded up to its bin, that is not exceeded by this fraction of all gaps. `None` without gaps.
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        let wanted = f64::from(self.total) * fraction;
        let mut seen = 0;
        for (bin, count) in self.bins.iter().enumerate() {
            seen += count;
            if self.total > 0 && f64::from(seen) >= wanted {
                return Some(Duration::from_secs_f64(upper_edge(bin)));
            }
        }
        None
    }

    /// The bins that have gaps.
    pub(crate) fn bins(&self) -> impl Iterator<Item = Bin> {
        let non_empty = self.bins.iter().enumerate().filter(|(_, count)| **count > 0);
        non_empty.map(|(bin, count)| Bin {
            middle: middle(bin),
            upper: upper_edge(bin),
            count: *count,
        })
    }
}

#[cfg(test)]
mod tests;
