//! The messages between followers and mirrors.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::StorePosition;

use crate::Topic;

/// A follower asks a mirror for the records of a topic from a position on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdatesRequest {
    /// The topic.
    pub topic: Topic,
    /// The position up to which the follower has read the topic.
    pub from: StorePosition,
    /// How long the mirror waits for a record before it answers.
    #[serde(with = "fleet::millis")]
    pub wait: Duration,
    /// How often the mirror must read the store at least.
    #[serde(with = "fleet::millis")]
    pub interval: Duration,
}

/// The answer of a mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Updates {
    /// The age of the mirror's last read of the store: every record that is older is in this answer or known to the follower.
    pub age: Duration,
    /// How long ago the store answered the mirror again after it had not, if that ever happened.
    pub regained: Option<Duration>,
    /// The records from the position of the request on.
    pub records: Vec<Bytes>,
}

/// An encoded answer is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer is cut off")]
pub struct DecodeError;

/// Encodes a time of which there is none.
const NO_TIME: u64 = u64::MAX;

impl Updates {
    /// Encodes the answer: the two times in milliseconds, then the records, each after its length.
    pub fn encode(&self) -> Bytes {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(NO_TIME - 1);
        let len: usize = self.records.iter().map(|record| record.len() + 4).sum();
        let mut bytes = BytesMut::with_capacity(16 + len);
        bytes.put_u64(millis(self.age));
        bytes.put_u64(self.regained.map_or(NO_TIME, millis));
        for record in &self.records {
            bytes.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            bytes.extend_from_slice(record);
        }
        bytes.freeze()
    }

    /// Decodes an answer.
    pub fn decode(mut bytes: Bytes) -> Result<Self, DecodeError> {
        if bytes.len() < 16 {
            return Err(DecodeError);
        }
        let age = Duration::from_millis(bytes.get_u64());
        let regained = Some(bytes.get_u64()).filter(|time| *time != NO_TIME);
        let mut records = Vec::new();
        while !bytes.is_empty() {
            if bytes.len() < 4 {
                return Err(DecodeError);
            }
            let len = usize::try_from(bytes.get_u32()).map_err(|_| DecodeError)?;
            if bytes.len() < len {
                return Err(DecodeError);
            }
            records.push(bytes.split_to(len));
        }
        Ok(Self { age, regained: regained.map(Duration::from_millis), records })
    }
}

#[cfg(test)]
mod tests;
