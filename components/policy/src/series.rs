//! Chooses which series of requests goes first when several wait for a replica.

use std::time::Duration;

/// A series of requests with a common deadline. Times are relative to any common start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Series {
    /// When the series was queued.
    pub queued: Duration,
    /// When the series must be complete.
    pub deadline: Duration,
    /// The number of its requests.
    pub total: u32,
    /// The number of requests that have been started.
    pub started: u32,
}

/// A rule for the order of series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeriesOrder {
    /// First come, first served.
    Arrival,
    /// Earliest deadline first.
    Edf,
    /// The series furthest behind its plan goes first. The plan spreads the series evenly from its queueing
    /// to its deadline: the smallest number of slots at a time that meets the deadline, as in WOHA
    /// (S. Li et al., "WOHA: Deadline-Aware Map-Reduce Workflow Scheduling Framework over Hadoop Clusters").
    Lag,
}

impl Series {
    /// The number of requests that the plan has started by `now`, minus those that were started.
    fn lag(&self, now: Duration, request_time: Duration) -> f64 {
        let last = self.deadline.saturating_sub(request_time);
        let span = last.saturating_sub(self.queued).as_secs_f64();
        let elapsed = now.saturating_sub(self.queued).as_secs_f64();
        let fraction = if span > 0.0 { (elapsed / span).min(1.0) } else { 1.0 };
        f64::from(self.total) * fraction - f64::from(self.started)
    }
}

impl SeriesOrder {
    /// Returns the index of the series whose request goes next. `request_time` is the usual time of one request.
    pub fn next(self, all: &[Series], now: Duration, request_time: Duration) -> Option<usize> {
        let unfinished = all.iter().enumerate().filter(|(_, series)| series.started < series.total);
        let best = match self {
            Self::Arrival => unfinished.min_by_key(|(i, series)| (series.queued, *i)),
            Self::Edf => unfinished.min_by_key(|(i, series)| (series.deadline, *i)),
            Self::Lag => most_behind(unfinished, |series| series.lag(now, request_time)),
        };
        best.map(|(i, _)| i)
    }
}

/// The series with the greatest lag. Of series with the same lag, the one with the earlier deadline is chosen.
fn most_behind<'a>(
    unfinished: impl Iterator<Item = (usize, &'a Series)>,
    lag: impl Fn(&Series) -> f64,
) -> Option<(usize, &'a Series)> {
    unfinished.max_by(|(i, a), (j, b)| {
        lag(a).total_cmp(&lag(b)).then(b.deadline.cmp(&a.deadline)).then(j.cmp(i))
    })
}

#[cfg(test)]
mod tests;
