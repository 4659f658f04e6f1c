//! Detects requests that crash the endpoints that run them (poison requests). The crate does no I/O.
//!
//! Such a request crashes each endpoint that starts to run it. Its caller sends it again and again, through any router, and
//! each router sees a new request. The requests that ran on the same endpoint fail together with it and look just like it,
//! but only once: only the request that was running at each of the crashes is to blame.

mod digest;
mod fingerprint;
mod record;
mod table;

pub use digest::{Digest, ParseDigestError};
pub use fingerprint::{Fingerprint, PromptPart};
pub use record::{Crash, QuarantineRecord, Release, Trial, UnixMillis};
pub use table::{CommonCrashes, CrashTable, Evidence, SuspicionLevel};
