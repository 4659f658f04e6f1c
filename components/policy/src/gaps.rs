//! The gaps between a model's requests, as a histogram that forgets.

use std::time::Duration;

/// Bins a doubling of the gap.
const PER_OCTAVE: usize = 4;
/// Gaps up to 2^17 s, a day and a half.
const BINS: usize = 17 * PER_OCTAVE + 1;
/// When so many gaps are kept, all counts are halved.
const KEPT: u32 = 256;

/// Gaps between the requests of one model; each bin is wider than the one before by a fourth root of 2.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gaps {
    bins: [u32; BINS],
    total: u32,
}

/// Gaps of about the same length, in seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bin {
    pub(crate) usual: f64,
    pub(crate) most: f64,
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
    ((seconds.log2() * PER_OCTAVE as f64).ceil() as usize).min(BINS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "there are few bins")]
fn edge(bin: usize) -> f64 {
    (bin as f64 / PER_OCTAVE as f64).exp2()
}

#[expect(clippy::cast_precision_loss, reason = "there are few bins")]
fn middle(bin: usize) -> f64 {
    ((bin as f64 - 0.5) / PER_OCTAVE as f64).exp2()
}

impl Gaps {
    /// Adds a gap; old ones count less and less.
    pub fn add(&mut self, gap: Duration) {
        self.bins[bin(gap)] += 1;
        self.total += 1;
        if self.total >= KEPT {
            self.bins.iter_mut().for_each(|count| *count /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// How many gaps count.
    pub fn count(&self) -> u32 {
        self.total
    }

    /// The part of the gaps that end after `idle` and by `until`, among those longer than `idle`.
    pub fn ending(&self, idle: Duration, until: Duration) -> f64 {
        let (from, to) = (bin(idle), bin(until));
        let longer: u32 = self.bins[from..].iter().sum();
        let within: u32 = self.bins[from..=to].iter().sum();
        if longer == 0 { 0.0 } else { f64::from(within) / f64::from(longer) }
    }

    /// The least gap that this part of all gaps does not exceed.
    pub fn quantile(&self, part: f64) -> Option<Duration> {
        let wanted = f64::from(self.total) * part;
        let mut seen = 0;
        for (bin, count) in self.bins.iter().enumerate() {
            seen += count;
            if self.total > 0 && f64::from(seen) >= wanted {
                return Some(Duration::from_secs_f64(edge(bin)));
            }
        }
        None
    }

    /// The bins that are not empty.
    pub(crate) fn bins(&self) -> impl Iterator<Item = Bin> {
        let filled = self.bins.iter().enumerate().filter(|(_, count)| **count > 0);
        filled.map(|(bin, count)| Bin { usual: middle(bin), most: edge(bin), count: *count })
    }
}

#[cfg(test)]
mod tests;
