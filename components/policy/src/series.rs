//! Which series of requests goes first when several wait for a replica.

use std::time::Duration;

/// A series of requests with a common deadline, in times since any common moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Series {
    /// When it was queued.
    pub queued: Duration,
    /// When it must be done.
    pub deadline: Duration,
    /// How many requests it has.
    pub total: u32,
    /// How many have been started.
    pub started: u32,
}

/// An order of series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeriesOrder {
    /// First come, first served.
    Arrival,
    /// The earliest deadline goes first.
    Edf,
    /// The one furthest behind its plan goes first. The plan spreads the series evenly from its queueing
    /// to its deadline: the smallest number of slots at a time that meets the deadline, as in WOHA
    /// (S. Li et al., "WOHA: Deadline-Aware Map-Reduce Workflow Scheduling Framework over Hadoop Clusters").
    Lag,
}

impl Series {
    /// How many requests the plan has started by `now`, less those that were.
    fn lag(&self, now: Duration, each: Duration) -> f64 {
        let last = self.deadline.saturating_sub(each);
        let span = last.saturating_sub(self.queued).as_secs_f64();
        let gone = now.saturating_sub(self.queued).as_secs_f64();
        let part = if span > 0.0 { (gone / span).min(1.0) } else { 1.0 };
        f64::from(self.total) * part - f64::from(self.started)
    }
}

impl SeriesOrder {
    /// The series whose request goes next, as an index; `each` is the usual time of one request.
    pub fn next(self, series: &[Series], now: Duration, each: Duration) -> Option<usize> {
        let open = series.iter().enumerate().filter(|(_, one)| one.started < one.total);
        let best = match self {
            Self::Arrival => open.min_by_key(|(i, one)| (one.queued, *i)),
            Self::Edf => open.min_by_key(|(i, one)| (one.deadline, *i)),
            Self::Lag => furthest(open, |one| one.lag(now, each)),
        };
        best.map(|(i, _)| i)
    }
}

/// The series with the greatest lag; of equals the one with the earlier deadline.
fn furthest<'a>(
    open: impl Iterator<Item = (usize, &'a Series)>,
    lag: impl Fn(&Series) -> f64,
) -> Option<(usize, &'a Series)> {
    open.max_by(|(i, a), (j, b)| {
        lag(a).total_cmp(&lag(b)).then(b.deadline.cmp(&a.deadline)).then(j.cmp(i))
    })
}

#[cfg(test)]
mod tests;
