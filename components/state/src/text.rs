//! Records as the log stores them: text that may come from a newer program, or be no record at all.

use record::{FORMAT_VERSION, Record};
use serde::Deserialize;
use units::Offset;

use crate::{Applied, Frozen, State, Void};

/// The part of a record that every format shares.
#[derive(Debug, Deserialize)]
struct Envelope {
    needs: u32,
}

impl State {
    /// Applies the text at an offset.
    ///
    /// Text that is no record is void for all. A record that needs a newer format freezes the fold of this
    /// process before it: to skip or guess would let two versions of the program diverge.
    pub fn apply_bytes(&mut self, offset: Offset, text: &[u8]) -> Applied {
        if let Some(void) = self.unready(offset) {
            return Applied::void(offset, void);
        }
        match decode(text) {
            Decoded::Record(record) => self.apply(offset, &record),
            Decoded::Newer { needs } => self.freeze(offset, needs),
            Decoded::Malformed(cause) => {
                self.advance(offset);
                Applied::void(offset, Void::Malformed(cause))
            }
        }
    }

    pub(crate) fn freeze(&mut self, at: Offset, needs: u32) -> Applied {
        self.frozen = Some(Frozen { at, needs });
        Applied::void(at, Void::Format { needs, at: at.into() })
    }
}

enum Decoded {
    Record(Box<Record>),
    Newer { needs: u32 },
    Malformed(String),
}

fn decode(text: &[u8]) -> Decoded {
    let envelope = match serde_json::from_slice::<Envelope>(text) {
        Ok(envelope) => envelope,
        Err(e) => return Decoded::Malformed(e.to_string()),
    };
    if envelope.needs > FORMAT_VERSION {
        return Decoded::Newer { needs: envelope.needs };
    }
    match serde_json::from_slice(text) {
        Ok(record) => Decoded::Record(Box::new(record)),
        Err(e) => Decoded::Malformed(e.to_string()),
    }
}
