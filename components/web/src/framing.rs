//! How the receiver of a response finds the end of its body.

mod close_delimited;

use std::fmt;

use http::header::{
    CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use http::{Method, StatusCode, Version, response};
use hyper::ext::ReasonPhrase;
use thiserror::Error;

pub(crate) use close_delimited::{CloseDelimitedCheck, Progress};

/// The fields of a head that state the framing of the body.
const FRAMING_FIELDS: [HeaderName; 2] = [CONTENT_LENGTH, TRANSFER_ENCODING];

/// The media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// The field of an event with its data, which each event has.
const EVENT_DATA_FIELD: &str = "data";
/// The field of an event with its id.
const EVENT_ID_FIELD: &str = "id";

/// How many edits turn the name of a framing field into one that is taken for a misspelling of it. No registered field is that close.
const MAX_MISSPELLING: usize = 2;

/// Names of private fields, such as `X-Content-Length`, begin with this.
const PRIVATE_PREFIX: &str = "x-";

/// What marks the end of the body of an HTTP/1.1 response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// A stated length, or none because such a response has no body.
    Length,
    /// A final chunk.
    Chunked,
    /// The end of the connection. A sender that fails in the middle may end it in the same way.
    Close,
}

/// Why the end of a response's body can't be told.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// RFC 9112, section 6.1: a client that accepts no transfer codings gets none but `chunked`.
    #[error("the transfer coding of the response is not chunked, or not only")]
    Coding,
    /// RFC 9112, section 6.3: such a response may be part of another one.
    #[error("the response states both a transfer coding and a length")]
    CodingAndLength,
    /// RFC 9112, section 6.1: HTTP/1.0 has no transfer codings.
    #[error("the response states a transfer coding, which its version of HTTP does not have")]
    CodingInOldVersion,
    /// The field that states the framing is not recognized.
    #[error("the response has a field whose name resembles that of a framing field")]
    MisspelledField,
    /// The end of a line was lost before a field that states the framing.
    #[error("a line of the response's head holds a framing field beside something else")]
    FieldInLine,
    /// The empty line after the head was lost.
    #[error("the head of the response goes on in its events")]
    EventInHead,
    /// The head was cut by an empty line.
    #[error("the body of the response begins with the rest of its head")]
    FieldInBody,
    /// The field that states the chunks is missing.
    #[error("the body of the response is in chunks that its head does not state")]
    UnstatedChunks,
}

impl Framing {
    /// The framing of the response with this head to a request with this method.
    pub fn of(method: &Method, head: &response::Parts) -> Result<Self, FramingError> {
        let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body || method == Method::HEAD {
            // RFC 9112, section 6.3: it ends with its head, whatever the fields are.
            return Ok(Self::Length);
        }
        if has_event(&head.headers) {
            return Err(FramingError::EventInHead);
        }
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return match () {
                () if !is_only_chunked(&head.headers) => Err(FramingError::Coding),
                () if has_length => Err(FramingError::CodingAndLength),
                () if head.version < Version::HTTP_11 => Err(FramingError::CodingInOldVersion),
                () => Ok(Self::Chunked),
            };
        }
        if has_length {
            return Ok(Self::Length);
        }
        if head.headers.iter().any(|(name, value)| is_misspelled_field(name, value)) {
            return Err(FramingError::MisspelledField);
        }
        let reason = head.extensions.get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
        let values = head.headers.values().map(HeaderValue::as_bytes);
        if reason.into_iter().chain(values).any(contains_framing_field) {
            return Err(FramingError::FieldInLine);
        }
        Ok(Self::Close)
    }

    /// The name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

fn is_only_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = codings.next().map(|coding| coding.as_bytes().trim_ascii());
    first.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked")) && codings.next().is_none()
}

/// Whether the fields of a stream's head include those of an event. They are no fields of HTTP.
fn has_event(headers: &HeaderMap) -> bool {
    let is_stream = match headers.get(CONTENT_TYPE) {
        Some(media_type) => media_type.as_bytes().starts_with(EVENT_STREAM),
        None => headers.contains_key(EVENT_ID_FIELD),
    };
    is_stream && headers.contains_key(EVENT_DATA_FIELD)
}

/// Replaces repeated lengths by a single one, without which a server that relays the response does not send it. Lengths that differ or
/// are no numbers remain only where there is no body, and are dropped.
pub(crate) fn merge_lengths(headers: &mut HeaderMap) {
    let values = headers.get_all(CONTENT_LENGTH).iter();
    let texts = values.map(|value| value.to_str().unwrap_or_default());
    let mut lengths = texts.flat_map(|text| text.split(',')).map(parse_length);
    let Some(first) = lengths.next() else { return };
    let merged = first.filter(|_| lengths.all(|length| length == first));
    match merged {
        Some(length) => drop(headers.insert(CONTENT_LENGTH, HeaderValue::from(length))),
        None => drop(headers.remove(CONTENT_LENGTH)),
    }
}

fn parse_length(text: &str) -> Option<u64> {
    let digits = text.trim();
    // The number may not have a sign.
    digits.bytes().all(|byte| byte.is_ascii_digit()).then(|| digits.parse().ok())?
}

/// Whether a field is probably a misspelled framing field. After a colon in its name the rest of the name is a part of the value.
fn is_misspelled_field(name: &HeaderName, value: &HeaderValue) -> bool {
    if resembles_framing_field(name.as_str()) {
        return true;
    }
    let Some((rest, _)) = value.to_str().ok().and_then(|text| text.split_once(':')) else {
        return false;
    };
    resembles_framing_field(&format!("{name}:{}", rest.to_ascii_lowercase()))
}

/// Whether a field, by its name in lower case, is probably a misspelled framing field.
fn resembles_framing_field(name: &str) -> bool {
    let is_close = |field: &HeaderName| {
        let field = field.as_str();
        name.len().abs_diff(field.len()) <= MAX_MISSPELLING
            && edit_distance(name, field) <= MAX_MISSPELLING
    };
    !name.starts_with(PRIVATE_PREFIX) && FRAMING_FIELDS.iter().any(is_close)
}

/// Whether the rest of a line contains a framing field, as that of a line whose end was lost does.
fn contains_framing_field(text: &[u8]) -> bool {
    FRAMING_FIELDS.iter().any(|field| {
        let name = field.as_str().as_bytes();
        let mut parts = text.windows(name.len() + 1);
        parts.any(|part| part.ends_with(b":") && part[..name.len()].eq_ignore_ascii_case(name))
    })
}

/// How many insertions, deletions, substitutions and swaps of neighbors turn one text into the other.
fn edit_distance(from: &str, to: &str) -> usize {
    let (from, to) = (from.as_bytes(), to.as_bytes());
    let mut two_before = Vec::new();
    let mut before: Vec<usize> = (0..=to.len()).collect();
    for (i, a) in from.iter().enumerate() {
        let mut row = vec![i + 1];
        for (j, b) in to.iter().enumerate() {
            let substituted = before[j] + usize::from(a != b);
            let mut least = substituted.min(before[j + 1] + 1).min(row[j] + 1);
            if i > 0 && j > 0 && *a == to[j - 1] && from[i - 1] == *b {
                least = least.min(two_before[j - 1] + 1);
            }
            row.push(least);
        }
        two_before = std::mem::replace(&mut before, row);
    }
    before[to.len()]
}

#[cfg(test)]
mod tests;
