//! The configuration in force: routes, services, models, workspaces and limits, and the lookup of the route for a request.

mod catalog;
mod model;
mod route;
mod time;
mod workspace;

pub use catalog::{Catalog, Limits};
pub use model::{Engine, ModelId, ModelSpec, Models, ParseModelError};
pub use route::{CallKind, Route, Service, WeightedService};
pub use time::MAX_TIME;
pub use workspace::{KeyDigest, Limit, ParseKeyError, Unit, Workspace, Workspaces};
