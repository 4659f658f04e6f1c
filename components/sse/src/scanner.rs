//! Finds the ends of events, whatever the line endings and however the bytes are cut into chunks.

/// Follows the bytes of a stream and knows whether they end inside an event.
///
/// An event ends with a blank line. Lines end with LF, CR or CRLF. Blank lines between events belong to no event.
#[derive(Debug, Clone, Copy)]
pub struct EventScanner {
    /// Whether the current line has no bytes so far.
    line_is_empty: bool,
    /// Whether the last byte was a CR: an LF that follows belongs to the same line ending.
    after_cr: bool,
    /// Whether a line since the end of the last event has bytes.
    inside_event: bool,
    /// The number of bytes since the end of the last event.
    tail_bytes: usize,
    /// Whether an event is complete.
    has_event: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            line_is_empty: true,
            after_cr: false,
            inside_event: false,
            tail_bytes: 0,
            has_event: false,
        }
    }
}

impl EventScanner {
    /// Scans the next bytes and returns how many of them precede the end of their last complete event; 0 if no event ends in them.
    pub fn scan(&mut self, data: &[u8]) -> usize {
        let mut complete = 0;
        for (index, byte) in data.iter().enumerate() {
            let ends_event = match byte {
                b'\n' if self.after_cr => {
                    self.after_cr = false;
                    // The second half of the line ending that completed the event.
                    complete == index && index > 0
                }
                b'\n' => self.end_line(),
                b'\r' => {
                    let ends_event = self.end_line();
                    self.after_cr = true;
                    ends_event
                }
                _ => {
                    self.after_cr = false;
                    self.line_is_empty = false;
                    self.inside_event = true;
                    false
                }
            };
            if ends_event {
                complete = index + 1;
            }
        }
        self.has_event |= complete > 0;
        self.tail_bytes = if complete > 0 { 0 } else { self.tail_bytes } + data.len() - complete;
        complete
    }

    /// Ends the current line, and returns whether that ends an event.
    fn end_line(&mut self) -> bool {
        self.after_cr = false;
        let is_blank = std::mem::replace(&mut self.line_is_empty, true);
        is_blank && std::mem::take(&mut self.inside_event)
    }

    /// Whether the bytes so far end inside an event.
    pub fn inside_event(&self) -> bool {
        self.inside_event
    }

    /// Whether the bytes so far contain a complete event.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// The number of bytes since the end of the last event.
    pub fn tail_bytes(&self) -> usize {
        self.tail_bytes
    }
}

#[cfg(test)]
mod tests;
