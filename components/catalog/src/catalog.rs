//! One version of the configuration.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::{Revision, ServiceName};

use crate::{Route, Service, Workspaces};

/// Bounds of what a caller may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest header, in bytes.
    #[serde(rename = "header")]
    pub header_bytes: usize,
    /// The largest body, in bytes.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// The longest time for a header to arrive.
    #[serde(rename = "patience")]
    pub header_timeout: Duration,
    /// The longest time that a connection is kept without a request.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

/// One version of the configuration, whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Its version; versions only grow.
    pub version: Revision,
    /// Bounds of what a caller may send.
    pub limits: Limits,
    /// The workspaces; where there are none at all, requests are passed on whoever sends them.
    #[serde(default)]
    pub workspaces: Option<Workspaces>,
    services: HashMap<ServiceName, Service>,
    hosts: HashMap<String, Vec<Route>>,
}

impl Catalog {
    /// Sorts routes by host, the longest prefix first.
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

    /// The same with workspaces.
    pub fn with_workspaces(mut self, workspaces: Workspaces) -> Self {
        self.workspaces = Some(workspaces);
        self
    }

    /// The route of a host and path: the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }
}
