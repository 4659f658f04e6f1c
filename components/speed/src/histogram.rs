//! A histogram of times with a bounded size, into which recording costs a few instructions.

use std::time::Duration;

/// Buckets per doubling of the time, as a power of two: the widest bucket spans an eighth of its lower bound.
const SUB_BITS: u32 = 3;
/// The power of two, in microseconds, below which times are not told apart: 0.256 ms.
const MIN_EXPONENT: u32 = 8;
/// The power of two, in microseconds, from which times are not told apart: 8.4 s.
const MAX_EXPONENT: u32 = 23;
/// The number of buckets.
const BUCKETS: usize = ((MAX_EXPONENT - MIN_EXPONENT) as usize) << SUB_BITS;

/// Counts of events by their time.
#[derive(Debug, Clone)]
pub(crate) struct Histogram {
    counts: [u16; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS] }
    }
}

impl Histogram {
    /// Counts events.
    pub(crate) fn record(&mut self, gap: Duration, events: u32) {
        let count = &mut self.counts[bucket(gap)];
        *count = count.saturating_add(u16::try_from(events).unwrap_or(u16::MAX));
    }

    /// Adds the counts of another histogram.
    pub(crate) fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count = count.saturating_add(*more);
        }
    }

    /// The number of events.
    pub(crate) fn events(&self) -> u32 {
        self.counts.iter().map(|count| u32::from(*count)).sum()
    }

    /// The 25th percentile; `None` without events.
    pub(crate) fn first_quartile(&self) -> Option<Duration> {
        let wanted = self.events().div_ceil(4);
        let mut below = 0;
        for (index, count) in self.counts.iter().enumerate() {
            let count = u32::from(*count);
            if count > 0 && below + count >= wanted {
                let part = (f64::from(wanted - below) - 0.5) / f64::from(count);
                let (start, width) = bounds(index);
                return Some(start + width.mul_f64(part));
            }
            below += count;
        }
        None
    }
}

/// The bucket of a time.
fn bucket(gap: Duration) -> usize {
    let micros = u32::try_from(gap.as_micros()).unwrap_or(u32::MAX);
    let micros = micros.clamp(1 << MIN_EXPONENT, (1 << MAX_EXPONENT) - 1);
    let exponent = micros.ilog2();
    // The bits after the highest one.
    let sub = (micros >> (exponent - SUB_BITS)) - (1 << SUB_BITS);
    (((exponent - MIN_EXPONENT) << SUB_BITS) + sub) as usize
}

/// The lower bound of a bucket, and its width.
fn bounds(index: usize) -> (Duration, Duration) {
    let (octave, sub) = (index >> SUB_BITS, index & ((1 << SUB_BITS) - 1));
    let width = 1_u64 << (octave as u64 + u64::from(MIN_EXPONENT - SUB_BITS));
    let start = ((1 << SUB_BITS) + sub as u64) * width;
    (Duration::from_micros(start), Duration::from_micros(width))
}

#[cfg(test)]
mod tests;
