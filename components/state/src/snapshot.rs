//! Snapshots of the folded state, cut into chunks for the log.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use record::{FORMAT_VERSION, SnapshotChunk};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::State;

/// The largest text that a snapshot may unpack to.
const MAX_TEXT: usize = 256 << 20;

/// The bytes before the compressed text that tell its length.
const LENGTH_BYTES: usize = 4;

/// Why a snapshot can't be restored.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// Parts are missing or belong to different snapshots.
    #[error("the snapshot is not whole: {0}")]
    Parts(String),
    /// The digest is wrong.
    #[error("the snapshot's digest is wrong")]
    Digest,
    /// The text is not a state.
    #[error("the snapshot can't be read: {0}")]
    Text(String),
    /// A newer program wrote it.
    #[error("the snapshot needs format {needs}; upgrade this program")]
    Format {
        /// The format it needs.
        needs: u32,
    },
}

#[derive(Debug, Serialize)]
struct Written<'a> {
    needs: u32,
    state: &'a State,
}

#[derive(Debug, Deserialize)]
struct Envelope {
    needs: u32,
}

#[derive(Debug, Deserialize)]
struct Read {
    state: State,
}

/// The text of a snapshot, equal for all processes that have folded the same records.
pub fn to_text(state: &State) -> String {
    let written = Written { needs: FORMAT_VERSION, state };
    let json = serde_json::to_vec(&written).expect("a state has only text keys");
    STANDARD.encode(lz4_flex::compress_prepend_size(&json))
}

/// Restores a state from a snapshot's text.
pub fn from_text(text: &str) -> Result<State, SnapshotError> {
    let unreadable = |cause: String| SnapshotError::Text(cause);
    let packed = STANDARD.decode(text).map_err(|e| unreadable(e.to_string()))?;
    let length = packed.first_chunk::<LENGTH_BYTES>().map(|b| u32::from_le_bytes(*b) as usize);
    if length.is_none_or(|length| length > MAX_TEXT) {
        return Err(unreadable("its length is wrong".to_owned()));
    }
    let json =
        lz4_flex::decompress_size_prepended(&packed).map_err(|e| unreadable(e.to_string()))?;
    let envelope: Envelope =
        serde_json::from_slice(&json).map_err(|e| unreadable(e.to_string()))?;
    if envelope.needs > FORMAT_VERSION {
        return Err(SnapshotError::Format { needs: envelope.needs });
    }
    let read: Read = serde_json::from_slice(&json).map_err(|e| unreadable(e.to_string()))?;
    let mut state = read.state;
    state.share_names();
    Ok(state)
}

/// Cuts the state into chunks of at most `limit` bytes of data each.
pub fn chunks(state: &State, limit: usize) -> Vec<SnapshotChunk> {
    let text = to_text(state);
    let digest = digest(&text);
    let pieces: Vec<&[u8]> = text.as_bytes().chunks(limit.max(1)).collect();
    let parts = u32::try_from(pieces.len()).expect("a snapshot has fewer than 2^32 bytes");
    let chunk = |(part, piece): (u32, &[u8])| SnapshotChunk {
        upto: state.offset(),
        part,
        parts,
        digest: digest.clone(),
        data: String::from_utf8_lossy(piece).into_owned(),
    };
    (0..).zip(pieces).map(chunk).collect()
}

/// Restores a state from all chunks of one snapshot, in any order; repeated chunks do no harm.
pub fn join(chunks: &[SnapshotChunk]) -> Result<State, SnapshotError> {
    let missing = |cause: &str| SnapshotError::Parts(cause.to_owned());
    let first = chunks.first().ok_or_else(|| missing("there are no parts"))?;
    let same = |c: &SnapshotChunk| {
        (c.upto, c.parts, &c.digest) == (first.upto, first.parts, &first.digest)
    };
    if !chunks.iter().all(same) {
        return Err(missing("the parts are of different snapshots"));
    }
    let mut ordered: Vec<&SnapshotChunk> = chunks.iter().collect();
    ordered.sort_by_key(|chunk| chunk.part);
    ordered.dedup_by_key(|chunk| chunk.part);
    if !(0..first.parts).eq(ordered.iter().map(|chunk| chunk.part)) {
        return Err(missing("parts are missing"));
    }
    let text: String = ordered.iter().map(|chunk| chunk.data.as_str()).collect();
    if digest(&text) != first.digest {
        return Err(SnapshotError::Digest);
    }
    let state = from_text(&text)?;
    if state.offset() != first.upto {
        return Err(SnapshotError::Text("its offset is not the one its parts name".to_owned()));
    }
    Ok(state)
}

fn digest(text: &str) -> String {
    format!("{:016x}", xxh3_64(text.as_bytes()))
}
