//! Messages between the processes of the system.
//!
//! An entry sends requests to an agent as HTTP/2 streams: `POST /dispatch` with a [`Dispatch`] in the header and the
//! body of the caller's request, or `POST /resume` with a [`Resume`]. The response is either the answer for the caller,
//! with a [`Report`] in its header and a [`ResponseEnd`] in its trailers, or a [`Refusal`] as JSON under status 409.
//! Control messages, which are all idempotent, are sent over nng: see [`Control`].

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
