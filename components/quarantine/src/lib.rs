//! Which requests crash the endpoints that run them (poison requests), decided apart from input and output.
//!
//! Load pattern: a request ends the process of each endpoint that begins to run it. Its caller sends it again and
//! again, through any router, and each router sees a new request. Whoever ran beside it is cut off with it and looks just
//! like it, once; only the one that was there each time is to blame.

mod digest;
mod note;
mod table;

pub use digest::{Digest, ParseDigestError};
pub use note::{Death, Note, Release, Stamp, Trial};
pub use table::{Evidence, Standing, Table};
