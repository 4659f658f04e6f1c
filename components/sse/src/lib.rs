//! Server-sent events: where the events of a stream end, and whether a stream ends inside one.

mod scanner;
mod splitter;

pub use scanner::EventScanner;
pub use splitter::{EventSplitter, MAX_EVENT_BYTES};

use http::header::{CONTENT_TYPE, HeaderMap};

/// The media type of a stream of events.
const MEDIA_TYPE: &[u8] = b"text/event-stream";

/// Whether the headers of a response declare a stream of events; `None` if they declare no type at all.
pub fn is_event_stream(headers: &HeaderMap) -> Option<bool> {
    let value = headers.get(CONTENT_TYPE)?.as_bytes();
    let media_type = value.split(|byte| *byte == b';').next().unwrap_or_default();
    Some(media_type.trim_ascii().eq_ignore_ascii_case(MEDIA_TYPE))
}

/// The id in a line of a stream, if the line has a numeric one.
pub fn event_id(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(b"id:")?;
    std::str::from_utf8(rest).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
