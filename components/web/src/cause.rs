//! The reasons of failures, which may quote what others wrote.

use std::fmt::Display;

/// The longest reason that is kept, in characters: it may quote values of any size.
const MAX_CAUSE_CHARS: usize = 200;
/// The most bytes of a character.
const MAX_CHAR_BYTES: usize = 4;

/// The text of a reason, cut off where it gets too long.
pub fn limited_cause(cause: &impl Display) -> String {
    cause.to_string().chars().take(MAX_CAUSE_CHARS).collect()
}

/// The same for a reason in bytes of any kind, such as the body of a response.
pub(crate) fn limited_text(bytes: &[u8]) -> String {
    let start = &bytes[..bytes.len().min(MAX_CAUSE_CHARS * MAX_CHAR_BYTES)];
    limited_cause(&String::from_utf8_lossy(start))
}
