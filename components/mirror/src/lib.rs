//! Passes on the topics of the store to many followers, with a bound on the age of what they know.
//!
//! Load pattern: some hundred routers follow the configuration and the list of endpoints. If each reads the store, the calls grow
//! with routers times changes and with routers times time. A few loaders of each failure domain mirror the topics instead, and the
//! routers of the domain follow these mirrors. A mirror may be killed, suspended or cut off, and the store may turn it away. So each
//! answer says how old the mirror's last read of the store is, and a follower that can't prove that it knows everything up to a
//! recent moment reads the store itself.

mod message;
mod rank;
mod schedule;
mod server;
mod tail;
mod topic;

pub use message::{DecodeError, Updates, UpdatesRequest};
pub use rank::{Fleet, rank};
pub use schedule::{Schedule, Step};
pub use server::{Mirror, TopicRead, TopicReader};
pub use tail::Tail;
pub use topic::Topic;
