//! Checks of bodies that end with their connection: whether they show that their heads were cut or lost a field.

use super::{FRAMING_FIELDS, FramingError};

/// How much of a body is searched for the rest of a head or the size of a first chunk before it is passed on, in bytes.
const MAX_SEARCHED_BYTES: usize = 4 << 10;

/// How many letters of a framing field's name an empty line that cuts a head may replace.
const MAX_LOST_LETTERS: usize = 2;

/// The most digits of a chunk's size, which a `u64` can hold.
const MAX_SIZE_DIGITS: u32 = 15;

/// Whether the part of a body that has been checked may be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The next part decides.
    Undecided,
    Sound,
}

/// Checks the body of a response that ends with its connection.
#[derive(Debug, Default)]
pub(crate) struct CloseDelimitedCheck {
    fields: FieldScan,
    chunks: ChunkScan,
    /// Whether the body is a stream of events, none of which begins like a chunk.
    has_events: bool,
    searched_bytes: usize,
}

impl CloseDelimitedCheck {
    /// Sets that the body is a stream of events.
    pub(crate) fn expect_events(&mut self) {
        self.has_events = true;
    }

    /// Checks the next part of the body.
    pub(crate) fn push(&mut self, part: &[u8]) -> Result<Progress, FramingError> {
        let to_search = part.len().min(MAX_SEARCHED_BYTES - self.searched_bytes);
        self.searched_bytes += to_search;
        self.fields.push(&part[..to_search])?;
        self.chunks.push(part);
        if self.has_events && self.chunks.has_chunk() {
            return Err(FramingError::UnstatedChunks);
        }
        let may_be_chunk = self.has_events && self.chunks.is_in_first_size();
        let is_undecided = may_be_chunk || !self.fields.is_done();
        let is_searched = self.searched_bytes == MAX_SEARCHED_BYTES;
        Ok(if is_undecided && !is_searched { Progress::Undecided } else { Progress::Sound })
    }

    /// Checks that the body may end here.
    pub(crate) fn finish(&self) -> Result<(), FramingError> {
        match self.chunks.state {
            ChunkState::End => Err(FramingError::UnstatedChunks),
            _ => Ok(()),
        }
    }
}

/// Finds a framing field in the field lines that a body begins with, after empty lines if there are any.
#[derive(Debug, Default)]
struct FieldScan {
    state: FieldState,
    /// The name of the current field.
    name: Vec<u8>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum FieldState {
    /// In empty lines before the first field.
    #[default]
    Start,
    Name,
    Value,
    /// After the carriage return at the end of a line.
    LineEnd,
    /// The body begins with no more fields.
    Done,
}

impl FieldScan {
    fn is_done(&self) -> bool {
        self.state == FieldState::Done
    }

    fn push(&mut self, part: &[u8]) -> Result<(), FramingError> {
        part.iter().try_for_each(|byte| self.push_byte(*byte))
    }

    fn push_byte(&mut self, byte: u8) -> Result<(), FramingError> {
        self.state = match (self.state, byte) {
            (FieldState::Done, _) => FieldState::Done,
            (FieldState::Start, b'\r' | b'\n') => FieldState::Start,
            (FieldState::Value, b'\r') => FieldState::LineEnd,
            (FieldState::Value | FieldState::LineEnd, b'\n') => FieldState::Name,
            (FieldState::Value, _) => FieldState::Value,
            (FieldState::Name, b':') if !self.name.is_empty() => {
                if is_framing_field(&self.name) {
                    return Err(FramingError::FieldInBody);
                }
                self.name.clear();
                FieldState::Value
            }
            (FieldState::Start | FieldState::Name | FieldState::LineEnd, byte)
                if is_token_byte(byte) =>
            {
                self.name.push(byte);
                FieldState::Name
            }
            (FieldState::Start | FieldState::Name | FieldState::LineEnd, _) => FieldState::Done,
        };
        Ok(())
    }
}

/// Whether this is the name of a framing field, or the end of one whose first letters the empty line has replaced.
fn is_framing_field(name: &[u8]) -> bool {
    FRAMING_FIELDS.iter().any(|field| {
        let field = field.as_str().as_bytes();
        let lost = field.len().checked_sub(name.len()).filter(|lost| *lost <= MAX_LOST_LETTERS);
        lost.is_some_and(|lost| name.eq_ignore_ascii_case(&field[lost..]))
    })
}

/// Whether a byte may be part of a field's name.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Follows a body as if it were in chunks.
#[derive(Debug, Default)]
struct ChunkScan {
    state: ChunkState,
    /// Whether the size of a chunk was found.
    has_chunk: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size { size: u64, digits: u32 },
    SizeSpaces { size: u64 },
    Extension { size: u64 },
    SizeLineEnd { size: u64 },
    Data { bytes_left: u64 },
    DataEnd,
    DataLineEnd,
    LastChunk,
    TrailerName,
    TrailerValue,
    TrailerLineEnd,
    LastLineEnd,
    End,
    NoChunks,
}

impl Default for ChunkState {
    fn default() -> Self {
        Self::Size { size: 0, digits: 0 }
    }
}

impl ChunkScan {
    fn has_chunk(&self) -> bool {
        self.has_chunk
    }

    /// Whether the first line may still turn out to be the size of a chunk.
    fn is_in_first_size(&self) -> bool {
        !self.has_chunk && self.state != ChunkState::NoChunks
    }

    fn push(&mut self, mut part: &[u8]) {
        while let Some((byte, rest)) = part.split_first() {
            part = match self.state {
                ChunkState::NoChunks => return,
                ChunkState::Data { bytes_left } => self.skip_data(part, bytes_left),
                state => {
                    self.state = state.next(*byte);
                    self.has_chunk |= matches!(state, ChunkState::SizeLineEnd { .. })
                        && self.state != ChunkState::NoChunks;
                    rest
                }
            };
        }
    }

    /// Skips the data of a chunk; returns what follows it.
    fn skip_data<'a>(&mut self, part: &'a [u8], bytes_left: u64) -> &'a [u8] {
        let len = part.len().min(usize::try_from(bytes_left).unwrap_or(usize::MAX));
        let bytes_left = bytes_left - len as u64;
        self.state =
            if bytes_left == 0 { ChunkState::DataEnd } else { ChunkState::Data { bytes_left } };
        &part[len..]
    }
}

impl ChunkState {
    /// The state after a byte that is no data of a chunk.
    fn next(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::Size { size, digits }, byte)
                if byte.is_ascii_hexdigit() && digits < MAX_SIZE_DIGITS =>
            {
                let digit = char::from(byte).to_digit(16).unwrap_or_default();
                Self::Size { size: size << 4 | u64::from(digit), digits: digits + 1 }
            }
            (
                Self::Size { size, digits: 1.. }
                | Self::SizeSpaces { size }
                | Self::Extension { size },
                b'\r',
            ) => Self::SizeLineEnd { size },
            (Self::Size { size, digits: 1.. } | Self::SizeSpaces { size }, b' ' | b'\t') => {
                Self::SizeSpaces { size }
            }
            (Self::Size { size, digits: 1.. } | Self::SizeSpaces { size }, b';') => {
                Self::Extension { size }
            }
            (Self::Extension { size }, byte) if byte != b'\n' => Self::Extension { size },
            (Self::SizeLineEnd { size: 0 }, b'\n') => Self::LastChunk,
            (Self::SizeLineEnd { size }, b'\n') => Self::Data { bytes_left: size },
            (Self::DataEnd, b'\r') => Self::DataLineEnd,
            (Self::DataLineEnd, b'\n') => Self::default(),
            (Self::LastChunk, b'\r') => Self::LastLineEnd,
            (Self::LastLineEnd, b'\n') => Self::End,
            (Self::LastChunk | Self::TrailerName, byte) if is_token_byte(byte) => Self::TrailerName,
            (Self::TrailerName, b':') => Self::TrailerValue,
            (Self::TrailerValue, b'\r') => Self::TrailerLineEnd,
            (Self::TrailerValue, byte) if byte != b'\n' => Self::TrailerValue,
            (Self::TrailerLineEnd, b'\n') => Self::LastChunk,
            _ => Self::NoChunks,
        }
    }
}

#[cfg(test)]
mod tests;
