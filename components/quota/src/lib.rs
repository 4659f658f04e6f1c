//! The limits of workspaces over all routers together, apart from input and output.
//!
//! Load pattern: each router gets an uneven and changing part of a workspace's requests, and any of them may be cut off, stand
//! still or be gone. Whatever they know of each other, all together must not let in more than the limit allows.
//!
//! Each router has an equal share of the limit for its own, in a token bucket. Who else has a share is written in the platform's
//! store, in one order for all: a router that joins waits until all others have counted it or have lost their own shares, and one
//! that has not read the roster for too long has none. A router that is short asks others for tokens: these are taken from one
//! bucket before they are used at another one, so that nobody has to agree on anything.

mod bucket;
mod bucket_spec;
mod lenders;
mod meter;
mod roster;

pub use bucket::{Bucket, TakenTokens};
pub use bucket_spec::{Bounds, BucketSpec, LOAN_TIMEOUT};
pub use lenders::{LENDER_TIMEOUT, Lenders, has_time_for_wave, lendable, likely_exhausted};
pub use meter::Meter;
pub use roster::{Roster, RosterEntry, RosterWrite, RouterRecord, Share, Stage};
