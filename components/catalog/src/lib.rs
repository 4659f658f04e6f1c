//! The configuration in force: routes, services, models, workspaces and limits, with the rule that finds a route.

mod catalog;
mod model;
mod route;
mod workspace;

pub use catalog::{Catalog, Limits};
pub use model::{Engine, ModelId, ModelSpec, ParseModelError};
pub use route::{CallKind, Route, Service, WeightedService};
pub use workspace::{KeyDigest, Limit, ParseKeyError, Unit, Workspace, Workspaces};
