//! The instance list over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::link::{CALL_LIMIT, Link};
use crate::{Instance, InstanceList, ListError};

/// The answer to a read of the list.
#[derive(Debug, Serialize, Deserialize)]
pub struct InstancesBody {
    /// All instances that are live or leaving.
    pub instances: Vec<Instance>,
}

/// A client of the instance list over HTTP.
#[derive(Debug)]
pub struct HttpList {
    link: Link,
    limit: Duration,
}

impl HttpList {
    /// A client of the instance list at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self { link: Link::new(addr), limit: CALL_LIMIT }
    }

    /// Sets how long a call may take.
    #[must_use]
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }
}

#[async_trait]
impl InstanceList for HttpList {
    async fn instances(&self) -> Result<Vec<Instance>, ListError> {
        let answer = self.link.get("/v1/instances", self.limit).await;
        let answer = answer.map_err(|error| ListError(error.to_string()))?;
        if !answer.status.is_success() {
            return Err(ListError(format!("{}: {}", answer.status, answer.text())));
        }
        answer.json::<InstancesBody>().map(|body| body.instances).map_err(ListError)
    }
}
