//! When closing windows open.

use std::sync::LazyLock;

use jiff::civil::{Date, DateTime, Time};
use jiff::tz::{TimeZone, TimeZoneDatabase};
use jiff::{Timestamp, ToSpan};
use thiserror::Error;
use units::Span;

use crate::Window;

/// The time zones that come with the program, so that all processes of one version agree.
static ZONES: LazyLock<TimeZoneDatabase> = LazyLock::new(TimeZoneDatabase::bundled);

/// The longest that a window may last.
const LONGEST: Span = Span::secs(28 * 24 * 3600);

/// How many months are looked through for the next opening, which is at most a year away.
const MONTHS_AHEAD: usize = 14;

/// What is wrong with a window.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WindowError {
    /// `opens` is not understood.
    #[error(
        "`{0}` is no opening; write `monthly last 08:00`, `monthly 25 08:00`, `yearly 03-31 08:00` or `once 2026-12-31T08:00`"
    )]
    Opens(String),
    /// The zone is not known.
    #[error("`{0}` is no time zone; write an IANA name such as `Africa/Windhoek`")]
    Zone(String),
    /// It is never open.
    #[error("a window that lasts no time; write for example `12h`")]
    Empty,
    /// It is open for so long that it would overlap with its next opening.
    #[error("a window that lasts {0}; at most {LONGEST} are allowed")]
    Long(Span),
    /// It needs no replica.
    #[error("a window for no replica; `replicas` must be at least 1")]
    Replicas,
}

/// When a window opens, parsed from the text of `opens`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// Every month on a day, or on the month's last day where it is shorter.
    Monthly(i8, Time),
    /// Every year on a day; 29 February counts as 28 February where there is none.
    Yearly(i8, i8, Time),
    /// Once.
    Once(DateTime),
}

/// The day that stands for a month's last.
const LAST: i8 = 31;

impl Opening {
    /// Parses the text of `opens`.
    pub fn parse(text: &str) -> Result<Self, WindowError> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let opening = match words[..] {
            ["monthly", day, time] => monthly(day, time),
            ["yearly", day, time] => yearly(day, time),
            ["once", at] => once(at),
            _ => None,
        };
        opening.ok_or_else(|| WindowError::Opens(text.to_owned()))
    }

    /// Its local time in the month of a date, if it opens in that month.
    fn within(self, month: Date) -> Option<DateTime> {
        let last = month.days_in_month();
        match self {
            Self::Monthly(day, time) => on(month, day.min(last), time),
            Self::Yearly(in_month, day, time) if in_month == month.month() => {
                on(month, day.min(last), time)
            }
            Self::Once(at) if at.date().first_of_month() == month => Some(at),
            Self::Yearly(..) | Self::Once(_) => None,
        }
    }
}

fn on(month: Date, day: i8, time: Time) -> Option<DateTime> {
    Date::new(month.year(), month.month(), day).ok().map(|date| date.to_datetime(time))
}

fn monthly(day: &str, time: &str) -> Option<Opening> {
    let day = if day == "last" { LAST } else { number(day, 31)? };
    Some(Opening::Monthly(day, clock(time)?))
}

fn yearly(day: &str, time: &str) -> Option<Opening> {
    let (month, day) = day.split_once('-')?;
    let (month, day) = (number(month, 12)?, number(day, 31)?);
    // A leap year, so that 29 February is a day.
    Date::new(2024, month, day).ok()?;
    Some(Opening::Yearly(month, day, clock(time)?))
}

fn once(at: &str) -> Option<Opening> {
    let (date, time) = at.split_once('T')?;
    let date: Date = date.parse().ok()?;
    Some(Opening::Once(date.to_datetime(clock(time)?)))
}

fn number(text: &str, most: i8) -> Option<i8> {
    let digits = !text.is_empty() && text.chars().all(|c| c.is_ascii_digit());
    let number: i8 = digits.then(|| text.parse().ok())??;
    (1..=most).contains(&number).then_some(number)
}

fn clock(text: &str) -> Option<Time> {
    let (hour, minute) = text.split_once(':')?;
    let whole = [hour, minute]
        .iter()
        .all(|part| part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit()));
    if !whole {
        return None;
    }
    Time::new(hour.parse().ok()?, minute.parse().ok()?, 0, 0).ok()
}

fn zone(name: &str) -> Result<TimeZone, WindowError> {
    ZONES.get(name).map_err(|_| WindowError::Zone(name.to_owned()))
}

/// Checks all parts of a window.
pub(crate) fn check(window: &Window) -> Result<(), WindowError> {
    Opening::parse(&window.opens)?;
    zone(&window.zone)?;
    if window.lasts.0.is_zero() {
        return Err(WindowError::Empty);
    }
    if window.lasts > LONGEST {
        return Err(WindowError::Long(window.lasts));
    }
    if window.replicas == 0 {
        return Err(WindowError::Replicas);
    }
    Ok(())
}

impl Window {
    /// The first opening after an instant, or `None` if there is none; of an hour that comes twice the first counts.
    pub fn next_opening(&self, after: Timestamp) -> Option<Timestamp> {
        let opening = Opening::parse(&self.opens).ok()?;
        let zone = zone(&self.zone).ok()?;
        if let Opening::Once(at) = opening {
            return instant(&zone, at).filter(|at| *at > after);
        }
        let from = zone.to_datetime(after).date().first_of_month();
        let months = std::iter::successors(Some(from), |month| month.checked_add(1.month()).ok());
        let openings = months.take(MONTHS_AHEAD).filter_map(|month| opening.within(month));
        openings.filter_map(|at| instant(&zone, at)).find(|at| *at > after)
    }

    /// The last opening at or before an instant whose window is still open then.
    pub fn open_at(&self, now: Timestamp) -> Option<Timestamp> {
        let lasts = i64::try_from(self.lasts.0.as_secs()).ok()?;
        let earliest = now.checked_sub(lasts.seconds()).ok()?;
        let mut opened = self.next_opening(earliest).filter(|at| *at <= now)?;
        while let Some(next) = self.next_opening(opened).filter(|at| *at <= now) {
            opened = next;
        }
        Some(opened)
    }
}

fn instant(zone: &TimeZone, at: DateTime) -> Option<Timestamp> {
    zone.to_ambiguous_timestamp(at).compatible().ok()
}

#[cfg(test)]
mod tests;
