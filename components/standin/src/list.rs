//! The platform's lagging list of instances, served over HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use edge::{Instance, InstanceList, InstancesBody};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use units::{InstanceId, Span};
use web::{BindError, Body};

use crate::clock::wall_ms;
use crate::gate::Silence;
use crate::server::{self, Answer, Cut, Running, Wanted, done, refuse};

/// The settings of an instance list.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListSettings {
    /// The instances to begin with.
    pub instances: Vec<Instance>,
    /// How long a change takes until readers see it.
    pub lag: Span,
}

impl Default for ListSettings {
    fn default() -> Self {
        Self { instances: Vec::new(), lag: Span::secs(1) }
    }
}

/// A change or fault of an instance list.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum ListFault {
    /// No faults from now on; the lag is as the settings say.
    None,
    /// An instance is marked as leaving.
    Leaving {
        /// The instance.
        id: InstanceId,
    },
    /// An instance is dropped.
    Drop {
        /// The instance.
        id: InstanceId,
    },
    /// An instance is added, or replaces the one with its id.
    Put {
        /// The instance.
        instance: Instance,
    },
    /// Changes take this long until readers see them.
    Lag {
        /// How long.
        span: Span,
    },
    /// Readers see the list as it is now until the faults end.
    Freeze,
    /// Connections are cut without an answer.
    Outage,
    /// Connections that exist deliver nothing any more; new ones work.
    Silence,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When it was made, in milliseconds since 1970; readers see it later.
    pub wall_ms: u64,
    /// The list after it.
    pub instances: Vec<Instance>,
}

/// What really happened at an instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListTruth {
    /// The changes in their order.
    pub changes: Vec<Change>,
}

#[derive(Debug)]
struct Core {
    frozen: Option<Vec<Instance>>,
    truth: ListTruth,
}

/// A stand-in for the instance list.
#[derive(Debug, Clone)]
pub struct List {
    list: fake::List,
    core: Arc<Mutex<Core>>,
    lag: Span,
    silence: Silence,
}

impl List {
    /// Starts it.
    pub async fn start(addr: SocketAddr, settings: ListSettings) -> Result<Running, BindError> {
        let silence = Silence::default();
        let lag = settings.lag;
        let first = Change { wall_ms: wall_ms(), instances: settings.instances.clone() };
        let truth = ListTruth { changes: vec![first] };
        let core = Arc::new(Mutex::new(Core { frozen: None, truth }));
        let list = fake::List::new(settings.instances);
        list.set_lag(lag.0);
        let list = Self { list, core, lag, silence: silence.clone() };
        server::start(addr, silence, move |request| list.clone().answer(request)).await
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/instances") => self.read().await,
            (&Method::POST, "/v1/instances") => Ok(self.replace(request).await),
            (&Method::GET, "/truth") => {
                let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
                Ok(web::json(StatusCode::OK, &core.truth))
            }
            (&Method::POST, "/faults") => Ok(self.fault(request).await),
            _ => Ok(refuse(StatusCode::NOT_FOUND, "a list has /v1/instances")),
        }
    }

    async fn read(&self) -> Answer {
        let seen = self.list.instances().await.map_err(|_| Cut)?;
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let instances = core.frozen.clone().unwrap_or(seen);
        Ok(web::json(StatusCode::OK, &InstancesBody { instances }))
    }

    async fn replace(&self, request: Request<Incoming>) -> Response<Body> {
        match server::body(request).await {
            Ok(instances) => {
                self.change(|list| list.set(instances));
                done()
            }
            Err(bad) => bad.answer(),
        }
    }

    fn change(&self, change: impl FnOnce(&fake::List)) {
        change(&self.list);
        let instances = self.list.newest();
        let change = Change { wall_ms: wall_ms(), instances };
        self.core.lock().unwrap_or_else(PoisonError::into_inner).truth.changes.push(change);
    }

    fn freeze(&self, seen: Option<Vec<Instance>>) {
        self.core.lock().unwrap_or_else(PoisonError::into_inner).frozen = seen;
    }

    async fn fault(&self, request: Request<Incoming>) -> Response<Body> {
        let Wanted { fault, age } = match server::wanted(request).await {
            Ok(wanted) => wanted,
            Err(bad) => return bad.answer(),
        };
        match fault {
            ListFault::None => {
                self.freeze(None);
                self.list.set_outage(false);
                self.list.set_lag(self.lag.0);
            }
            ListFault::Leaving { id } => self.change(|list| list.mark_leaving(&id)),
            ListFault::Drop { id } => self.change(|list| list.remove(&id)),
            ListFault::Put { instance } => self.change(|list| list.put(instance)),
            ListFault::Lag { span } => self.list.set_lag(span.0),
            ListFault::Freeze => self.freeze(self.list.instances().await.ok()),
            ListFault::Outage => self.list.set_outage(true),
            ListFault::Silence => server::silence(&self.silence, age.as_ref()),
        }
        done()
    }
}
