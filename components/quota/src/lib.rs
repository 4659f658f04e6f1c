//! Enforces the limits of workspaces over all routers together. Performs no input or output.
//!
//! Load pattern: each router gets an uneven and changing part of a workspace's requests, and any router may be partitioned,
//! suspended or gone. Whatever the routers know of each other, all of them together must not admit more than the limit allows.
//!
//! Each router owns an equal share of the limit as a token bucket. The store keeps the list of routers that own a share, in one
//! order for all readers: a router that joins waits until all others have counted it or have lost their own shares, and a router
//! that has not read the list for too long has no share. A router that is short of tokens borrows some from others: the lender
//! takes them from its bucket before the borrower uses them, so that the routers need no agreement.
//!
//! Where callers over the limit are promised times, a few routers coordinate a workspace: they lease the shares of the others while
//! requests are short of tokens, and set aside refill for the callers that were refused.

mod bucket;
mod bucket_spec;
mod coordinators;
mod leases;
mod lenders;
mod meter;
mod pool;
mod priorities;
mod promises;
mod roster;

pub use bucket::{Bucket, TakenTokens};
pub use bucket_spec::{Bounds, BucketSpec, LOAN_TIMEOUT};
pub use coordinators::{Coordinators, coordinator_count, fingerprint};
pub use leases::{LEASE_TIME, Lease, RENEW_INTERVAL};
pub use lenders::{LENDER_TIMEOUT, Lenders, has_time_for_wave, lendable, likely_exhausted};
pub use meter::Meter;
pub use pool::{Claim, ClaimOutcome, Pool, ShareTerms};
pub use priorities::RecentPriority;
pub use roster::{Roster, RosterEntry, RosterWrite, RouterRecord, Share, Stage};
