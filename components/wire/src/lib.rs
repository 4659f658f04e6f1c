//! Messages between the processes of the system.
//!
//! Requests travel from entry to agent as HTTP/2 streams: `POST /dispatch` with a [`Dispatch`] in the
//! header and the caller's call as body, `POST /resume` with a [`Resume`]. The answer is a caller's answer
//! with a [`Report`] in its header and an [`End`] in its trailers, or a [`Refusal`] as JSON under status 409.
//! Control messages, all idempotent, travel over nng: see [`Control`].

mod control;
mod dispatch;
mod outcome;
mod prefixes;

pub use control::{Control, Demand, Reply};
pub use dispatch::{
    DISPATCH_PATH, Dispatch, End, HeadError, RESUME_PATH, Report, Resume, end_from, end_trailers,
    refusal_response,
};
pub use outcome::{Outcome, Refusal, UnknownCause};
pub use prefixes::{PrefixChange, PrefixList, PrefixNews};
