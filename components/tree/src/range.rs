//! What a setting's value may be.

use std::fmt;
use std::str::FromStr;

use serde_json::Value;
use units::{Size, Span};

/// The unit and range of a setting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Range {
    /// A span of time within bounds.
    Span(Span, Span),
    /// A size within bounds.
    Size(Size, Size),
    /// A whole number within bounds.
    Count(u64, u64),
    /// A number within bounds.
    Number(f64, f64),
    /// A text that the setting's own type checks.
    Text(&'static str),
    /// `true` or `false`.
    Flag,
    /// A list of at most so many values, which the setting's own type checks.
    List(&'static str, usize),
}

impl Range {
    /// The kind of value, as a person would say it.
    pub fn unit(&self) -> &'static str {
        match self {
            Self::Span(..) => "span of time",
            Self::Size(..) => "size",
            Self::Count(..) => "whole number",
            Self::Number(..) => "number",
            Self::Text(what) | Self::List(what, _) => what,
            Self::Flag => "flag",
        }
    }

    /// Checks a value; the error says what would be right.
    pub(crate) fn check(&self, value: &Value) -> Result<(), String> {
        let fits = match self {
            Self::Span(least, most) => within::<Span>(value, *least, *most),
            Self::Size(least, most) => within::<Size>(value, *least, *most),
            Self::Count(least, most) => {
                value.as_u64().is_some_and(|n| (*least..=*most).contains(&n))
            }
            Self::Number(least, most) => {
                value.as_f64().is_some_and(|n| (*least..=*most).contains(&n))
            }
            Self::Text(_) => value.is_string(),
            Self::Flag => value.is_boolean(),
            Self::List(_, most) => value.as_array().is_some_and(|list| list.len() <= *most),
        };
        if fits { Ok(()) } else { Err(format!("{value} is not {self}")) }
    }
}

fn within<T: FromStr + PartialOrd>(value: &Value, least: T, most: T) -> bool {
    let parsed = value.as_str().and_then(|text| text.parse().ok());
    parsed.is_some_and(|quantity: T| least <= quantity && quantity <= most)
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Span(least, most) => {
                write!(f, "a span of time from \"{least}\" to \"{most}\"")
            }
            Self::Size(least, most) => write!(f, "a size from \"{least}\" to \"{most}\""),
            Self::Count(least, most) => write!(f, "a whole number from {least} to {most}"),
            Self::Number(least, most) => write!(f, "a number from {least} to {most}"),
            Self::Text(what) => write!(f, "a {what} in quotes"),
            Self::Flag => write!(f, "true or false"),
            Self::List(what, most) => write!(f, "a list of at most {most} {what}"),
        }
    }
}
