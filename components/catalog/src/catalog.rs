//! One version of the configuration.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::{Revision, ServiceName};

use crate::{Route, Service, Workspaces};

/// Limits on connections and requests of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest allowed header, in bytes.
    #[serde(rename = "header")]
    pub header_bytes: usize,
    /// The largest allowed body, in bytes.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// The longest time that a header may take to arrive.
    #[serde(rename = "patience")]
    #[serde(deserialize_with = "crate::time::deserialize")]
    pub header_timeout: Duration,
    /// How long a connection is kept open without a request.
    #[serde(rename = "idle")]
    #[serde(deserialize_with = "crate::time::deserialize")]
    pub idle_timeout: Duration,
}

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version; a newer configuration has a higher one.
    pub version: Revision,
    /// Limits on connections and requests of callers.
    pub limits: Limits,
    /// The workspaces. Without any, requests are forwarded without a check of keys.
    #[serde(default)]
    pub workspaces: Option<Workspaces>,
    services: HashMap<ServiceName, Service>,
    hosts: HashMap<String, Vec<Route>>,
}

impl Catalog {
    /// Creates a configuration without workspaces. The routes are grouped by host, those with the longest prefix first.
    pub fn new(
        version: Revision,
        limits: Limits,
        services: Vec<Service>,
        routes: Vec<Route>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self { version, limits, workspaces: None, services, hosts }
    }

    /// Returns the configuration with these workspaces.
    pub fn with_workspaces(mut self, workspaces: Workspaces) -> Self {
        self.workspaces = Some(workspaces);
        self
    }

    /// The route for a host and path: of those whose prefix the path starts with, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }
}
