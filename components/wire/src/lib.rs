//! Messages between the processes of the system.
//!
//! Requests travel from entry to agent as HTTP/2 streams: `POST /dispatch` with a [`Dispatch`] in the
//! header and the caller's call as body, `POST /resume` with a [`Resume`]. The answer is a caller's answer
//! with a [`Report`] in its header and an [`ResponseEnd`] in its trailers, or a [`Refusal`] as JSON under status 409.
//! Control messages, all idempotent, travel over nng: see [`Control`].

mod control;
mod dispatch;
mod outcome;
mod prefixes;

pub use control::{Control, Demand, Reply};
pub use dispatch::{
    DISPATCH_PATH, Dispatch, InvalidHeader, RESUME_PATH, Report, ResponseEnd, Resume, end_trailers,
    parse_end_trailers, refusal_response,
};
pub use outcome::{Outcome, Refusal, UnknownCause};
pub use prefixes::{PrefixChange, PrefixList, PrefixUpdate};
