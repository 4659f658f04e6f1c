//! Reading from the stand-ins what really happened.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::de::DeserializeOwned;
use standin::{EngineTruth, ServiceTruth};
use web::{CallError, Client};

use crate::evidence::{Evidence, Execution, MemoryMark};
use crate::site::{Place, Site};

const CALL_LIMIT: Duration = Duration::from_secs(5);

/// What the endpoints' stand-ins know.
#[derive(Debug, Default)]
pub(crate) struct Truth {
    /// Engines by endpoint.
    pub(crate) engines: BTreeMap<String, EngineTruth>,
    /// Plain services by endpoint.
    pub(crate) services: BTreeMap<String, ServiceTruth>,
}

impl Truth {
    /// Asks all stand-ins of a site.
    pub(crate) async fn read(site: &Site, client: &Client) -> Result<Self, CallError> {
        let mut truth = Self::default();
        for place in &site.engines {
            truth.engines.insert(place.name.clone(), ask(place, client).await?);
        }
        for place in &site.services {
            truth.services.insert(place.name.clone(), ask(place, client).await?);
        }
        Ok(truth)
    }

    /// Adds it to the evidence.
    pub(crate) fn tell(&self, evidence: &mut Evidence) {
        for (endpoint, engine) in &self.engines {
            evidence.memory.push(MemoryMark {
                endpoint: endpoint.clone(),
                capacity: engine.memory.0,
                high: engine.high_water.0,
            });
        }
        let engines = self.engines.iter().map(|(name, truth)| (name, &truth.executions));
        let services = self.services.iter().map(|(name, truth)| (name, &truth.executions));
        for (endpoint, executions) in engines.chain(services) {
            for (request, execution) in executions {
                let Ok(request) = original(request).parse() else { continue };
                let endpoint = endpoint.clone();
                evidence.executions.push(Execution { request, endpoint, runs: execution.runs });
            }
        }
    }

    /// How many requests ran how often.
    pub(crate) fn runs(&self, evidence: &Evidence) -> BTreeMap<u32, usize> {
        let mut by_request: BTreeMap<&str, u32> = BTreeMap::new();
        for execution in &evidence.executions {
            *by_request.entry(execution.request.as_str()).or_default() += execution.runs;
        }
        let mut counts = BTreeMap::new();
        for runs in by_request.into_values() {
            *counts.entry(runs).or_default() += 1;
        }
        counts
    }
}

/// The request that an id at an endpoint stands for: entries add `.1` where an agent has barred the first id.
fn original(id: &str) -> &str {
    match id.rsplit_once('.') {
        Some((request, number)) if number.bytes().all(|byte| byte.is_ascii_digit()) => request,
        _ => id,
    }
}

async fn ask<T: DeserializeOwned>(place: &Place, client: &Client) -> Result<T, CallError> {
    client.get(place.endpoint, "/truth", CALL_LIMIT).await
}

#[cfg(test)]
mod tests;
