//! Plain text for the terminal.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::checks::Row;
use crate::evidence::{Call, Ending};

/// How much of a text is shown.
const WIDTH: usize = 90;
/// How many violations of one promise are printed.
const SHOWN: usize = 3;

/// The promises with tries and violations.
pub(crate) fn promises(rows: &[Row]) -> String {
    let mut text =
        format!("{:<42} {:>7} {:>10} {:>8}\n", "promise", "tries", "violations", "excused");
    for row in rows {
        let broken = row.violations.len();
        text += &format!("{:<42} {:>7} {broken:>10} {:>8}\n", row.promise, row.tries, row.excused);
        for violation in row.violations.iter().take(SHOWN) {
            text += &format!("    {violation}\n");
        }
    }
    text
}

/// How many calls ended in each way, by status.
pub(crate) fn endings(calls: &[Call]) -> String {
    let mut counts: BTreeMap<(Ending, u16), usize> = BTreeMap::new();
    for call in calls {
        *counts.entry((call.ending, call.status)).or_default() += 1;
    }
    let parts: Vec<String> = counts
        .iter()
        .map(|((ending, status), count)| format!("{count} {} ({status})", word(*ending)))
        .collect();
    parts.join(", ")
}

/// A word for an ending.
pub(crate) fn word(ending: Ending) -> &'static str {
    match ending {
        Ending::Served => "served",
        Ending::NotRun => "not run",
        Ending::Unknown => "unknown",
        Ending::Cut => "cut",
        Ending::Silent => "silent",
    }
}

/// The start of a text, on one line.
pub(crate) fn shorten(text: &str) -> String {
    let line = text.replace(['\n', '\r'], " ");
    match line.char_indices().nth(WIDTH) {
        Some((end, _)) => format!("{}…", &line[..end]),
        None => line,
    }
}

/// A time in milliseconds.
pub(crate) fn millis(time: Duration) -> String {
    format!("{:.0} ms", time.as_secs_f64() * 1e3)
}

/// The value below which a part of the sorted values lie.
pub(crate) fn quantile(sorted: &[Duration], part: f64) -> Option<Duration> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * part).round() as usize).copied()
}
