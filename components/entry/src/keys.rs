//! Claiming a caller's idempotency key before the first dispatch.

use std::time::Duration;

use journal::{ClaimError, KeyOutcome, Keys};
use record::KeyClaim;
use tokio::time::Instant;
use units::{InstanceId, KeyHash, Span};
use wire::Refusal;
use xxhash_rust::xxh3::xxh3_128;

use crate::call::Call;

/// The longest wait for a claim.
const LIMIT: Duration = Duration::from_secs(2);
/// When a caller whose key can't be claimed should come back.
const RETRY: Span = Span::secs(5);

/// Claims the call's key, if it has one, and returns the claim; a refusal proves that the call has not run.
pub(crate) async fn claim(
    call: &Call,
    entry: &InstanceId,
    keys: &Keys,
) -> Result<Option<KeyClaim>, Refusal> {
    let Some(key) = &call.key else { return Ok(None) };
    let left = call.deadline.saturating_duration_since(Instant::now());
    let claim = KeyClaim {
        key: key_hash(call, key),
        request: call.request.clone(),
        entry: entry.clone(),
        digest: format!("{:032x}", xxh3_128(&call.body)),
    };
    match keys.claim(claim.clone(), LIMIT.min(left / 2)).await {
        Ok(KeyOutcome::Won) => Ok(Some(claim)),
        Ok(KeyOutcome::Taken { .. }) => Err(Refusal::KeyTaken),
        Err(ClaimError::Undecided { .. } | ClaimError::NotReady | ClaimError::Partial) => {
            Err(Refusal::NoClaim { retry: RETRY })
        }
    }
}

/// The digest of caller group, leaf, method, path and key; parts are set apart by a byte that none of them has.
fn key_hash(call: &Call, key: &str) -> KeyHash {
    let parts =
        [call.group.as_str(), call.leaf.path.as_str(), call.method.as_str(), &call.path, key];
    let digest = xxh3_128(parts.join("\0").as_bytes());
    format!("{digest:032x}").parse().expect("hexadecimal digits make a key hash")
}
