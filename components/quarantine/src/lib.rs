//! Detects requests that crash the endpoints that run them (poison requests). The crate does no I/O.
//!
//! Such a request crashes each endpoint that starts to run it. Its caller sends it again and again, through any router, and
//! each router sees a new request. The requests that ran on the same endpoint fail together with it and look just like it,
//! but only once: only the request that was running at each of the crashes is to blame.
//!
//! A request that many callers send is running at most crashes, whatever their cause. It also runs to its end, before a crash and after
//! it, which a request that crashes each endpoint never does.
//!
//! A part of a prompt may do the same in whatever request has it. Most requests share their other parts with such requests;
//! these parts were at the crashes as well, but requests that have them also run well.

mod blame;
mod completions;
mod digest;
mod fingerprint;
mod merged;
mod proven;
mod record;
mod table;

pub use digest::{Digest, ParseDigestError};
pub use fingerprint::{Fingerprint, PromptPart};
pub use record::{Crash, PartsRelease, QuarantineRecord, Release, Trial};
pub use table::{CommonCrashes, CrashTable, Evidence, Suspect, SuspectKind, SuspicionLevel};
pub use units::UnixMillis;
