//! Sizes in bytes, spans of time and rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The error for a text that is not a size, span or rate.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not a {kind}; write for example `{example}`")]
pub struct ParseQuantityError {
    kind: &'static str,
    text: String,
    example: &'static str,
}

/// A number of bytes, written as `512MiB`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Size(pub u64);

const SIZE_UNITS: [(&str, u64); 5] =
    [("TiB", 1 << 40), ("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl Size {
    /// A size of whole mebibytes.
    pub const fn mib(count: u64) -> Self {
        Self(count << 20)
    }

    /// A size of whole gibibytes.
    pub const fn gib(count: u64) -> Self {
        Self(count << 30)
    }

    /// The difference of two sizes; zero if `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The size of so many things of this size; the largest one if it exceeds that.
    #[must_use]
    pub fn saturating_mul(self, count: usize) -> Self {
        Self(self.0.saturating_mul(u64::try_from(count).unwrap_or(u64::MAX)))
    }
}

impl std::ops::Add for Size {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl std::iter::Sum for Size {
    fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
        sizes.fold(Self(0), std::ops::Add::add)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole =
            SIZE_UNITS.iter().find(|(_, unit)| self.0 >= *unit && self.0.is_multiple_of(*unit));
        let (name, unit) = whole.copied().unwrap_or(("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

impl FromStr for Size {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = || ParseQuantityError { kind: "size", text: text.to_owned(), example: "6GiB" };
        let (name, unit) =
            SIZE_UNITS.iter().find(|(name, _)| text.ends_with(name)).ok_or_else(bad)?;
        let number = text.trim_end_matches(name).trim();
        let count: u64 = number.parse().map_err(|_| bad())?;
        count.checked_mul(*unit).map(Self).ok_or_else(bad)
    }
}

/// A span of time, written as `30s` or `1h 30m`, with a resolution of one millisecond in text.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

impl Span {
    /// A span of whole milliseconds.
    pub const fn millis(count: u64) -> Self {
        Self(Duration::from_millis(count))
    }

    /// A span of whole seconds.
    pub const fn secs(count: u64) -> Self {
        Self(Duration::from_secs(count))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl FromStr for Span {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad =
            |_| ParseQuantityError { kind: "span of time", text: text.to_owned(), example: "30s" };
        humantime::parse_duration(text).map(Self).map_err(bad)
    }
}

/// Events per second, written as `7/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = || ParseQuantityError { kind: "rate", text: text.to_owned(), example: "7/s" };
        let number = text.strip_suffix("/s").ok_or_else(bad)?;
        let rate: f64 = number.trim().parse().map_err(|_| bad())?;
        if rate.is_finite() && rate >= 0.0 { Ok(Self(rate)) } else { Err(bad()) }
    }
}

macro_rules! as_text {
    ($name:ident) => {
        impl TryFrom<String> for $name {
            type Error = ParseQuantityError;

            fn try_from(text: String) -> Result<Self, ParseQuantityError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(quantity: $name) -> String {
                quantity.to_string()
            }
        }
    };
}

as_text!(Size);
as_text!(Span);
as_text!(Rate);

#[cfg(test)]
mod tests;
