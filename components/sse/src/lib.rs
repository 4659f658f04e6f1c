//! Server-sent events: where the events of a stream end, and whether a stream ends inside one.

mod scanner;
mod splitter;

pub use scanner::EventScanner;
pub use splitter::{EventSplitter, MAX_EVENT_BYTES};

use http::header::HeaderValue;

/// The media type of a stream of events.
const MEDIA_TYPE: &[u8] = b"text/event-stream";

/// Whether a content type is that of a stream of events.
pub fn is_event_stream(content_type: &HeaderValue) -> bool {
    let media_type = content_type.as_bytes().split(|byte| *byte == b';').next();
    media_type.unwrap_or_default().trim_ascii().eq_ignore_ascii_case(MEDIA_TYPE)
}

/// The id in a line of a stream, if the line has a numeric one.
pub fn event_id(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(b"id:")?;
    std::str::from_utf8(rest).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
