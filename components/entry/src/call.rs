//! Reading a caller's request into a typed call.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, header};
use serde::Deserialize;
use tokio::time::Instant;
use tree::{Class, Leaf, Tree};
use units::{AdapterName, CallerGroup, ModelName, RequestId, ServiceName, Span};

use crate::invalid::Invalid;

const DEADLINE: &str = "hyssop-deadline";
const CLASS: &str = "hyssop-class";
const GROUP: &str = "hyssop-group";
const KEY: &str = "idempotency-key";
const SERVICES: &str = "/services/";

/// The longest idempotency key in bytes.
const KEY_LEN: usize = 255;

/// The group of callers that name none.
const DEFAULT_GROUP: &str = "default";

/// Where a request wants to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Route {
    /// A completion of the model that the body names.
    Completion,
    /// The list of models.
    Models,
    /// A plain service.
    Service { name: ServiceName, path: String },
}

/// The head of a request, read.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) route: Route,
    method: Method,
    path: String,
    content: String,
    deadline: Option<Span>,
    class: Option<Class>,
    group: CallerGroup,
    key: Option<String>,
}

/// A request that may be carried to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) request: RequestId,
    pub(crate) leaf: Arc<Leaf>,
    pub(crate) class: Class,
    pub(crate) group: CallerGroup,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) key: Option<String>,
    pub(crate) repeatable: bool,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content: String,
    pub(crate) body: Bytes,
}

/// What the entry needs of a completion's body; the endpoint reads the rest.
#[derive(Debug, Deserialize)]
struct Ask {
    model: String,
}

impl Head {
    /// Reads the head of a request.
    pub(crate) fn read(parts: &Parts) -> Result<Self, Invalid> {
        let route = route(&parts.method, parts.uri.path(), parts.uri.query())?;
        let path = match &route {
            Route::Service { path, .. } => path.clone(),
            Route::Completion | Route::Models => parts.uri.path().to_owned(),
        };
        let content = text(&parts.headers, header::CONTENT_TYPE.as_str(), "content-type")?;
        Ok(Self {
            route,
            method: parts.method.clone(),
            path,
            content: content.unwrap_or_default(),
            deadline: parsed(&parts.headers, DEADLINE)?,
            class: class(&parts.headers)?,
            group: group(&parts.headers)?,
            key: key(&parts.headers)?,
        })
    }

    /// The longest that the caller wants to wait, if it said so.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        self.deadline.map(|span| span.0)
    }

    /// Finds the leaf and makes the call.
    pub(crate) fn resolve(
        self,
        request: RequestId,
        arrived: Instant,
        body: Bytes,
        tree: &Tree,
    ) -> Result<Call, Invalid> {
        let leaf = match &self.route {
            Route::Completion | Route::Models => tree.resolve(&asked_model(&body)?)?,
            Route::Service { name, .. } => {
                tree.service(name).ok_or_else(|| tree.unknown_service(name.as_str()))?
            }
        };
        let settings = &leaf.settings;
        let allowed = self.deadline.unwrap_or(settings.deadline).min(settings.deadline);
        let repeatable = is_repeatable(&settings.not_repeatable, &self.method, &self.path);
        let class = self.class.unwrap_or(settings.class);
        Ok(Call {
            request,
            class,
            group: self.group,
            arrived,
            deadline: arrived + allowed.0,
            key: self.key,
            repeatable,
            method: self.method,
            path: self.path,
            content: self.content,
            body,
            leaf,
        })
    }
}

impl Call {
    /// The time between arrival and deadline.
    pub(crate) fn allowed(&self) -> Duration {
        self.deadline - self.arrived
    }

    /// The model as the dispatch names it; `None` for plain services.
    pub(crate) fn model(&self) -> Option<ModelName> {
        match self.leaf.kind {
            tree::NodeKind::Service => None,
            _ => Some(self.leaf.model.clone()),
        }
    }

    /// The adapter.
    pub(crate) fn adapter(&self) -> Option<AdapterName> {
        self.leaf.adapter.clone()
    }
}

fn route(method: &Method, path: &str, query: Option<&str>) -> Result<Route, Invalid> {
    let wrong = |allowed| Err(Invalid::Method { path: path.to_owned(), method: allowed });
    match path {
        "/v1/completions" | "/v1/chat/completions" => {
            if *method == Method::POST {
                Ok(Route::Completion)
            } else {
                wrong("POST")
            }
        }
        "/v1/models" => {
            if *method == Method::GET {
                Ok(Route::Models)
            } else {
                wrong("GET")
            }
        }
        _ => service_route(path, query),
    }
}

fn service_route(path: &str, query: Option<&str>) -> Result<Route, Invalid> {
    let missing = || Invalid::Route(path.to_owned());
    let rest = path.strip_prefix(SERVICES).ok_or_else(missing)?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let name = name.parse().map_err(|_| missing())?;
    let path = query.map_or_else(|| format!("/{rest}"), |query| format!("/{rest}?{query}"));
    Ok(Route::Service { name, path })
}

fn text(headers: &HeaderMap, name: &str, shown: &'static str) -> Result<Option<String>, Invalid> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let plain = value.to_str().map_err(|_| Invalid::Header {
        name: shown,
        cause: "it holds bytes that are no printable ASCII".to_owned(),
    })?;
    Ok(Some(plain.trim().to_owned()))
}

fn parsed<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, Invalid>
where
    T: FromStr,
    T::Err: ToString,
{
    let Some(plain) = text(headers, name, name)? else { return Ok(None) };
    let value = plain.parse::<T>();
    value.map(Some).map_err(|error| Invalid::Header { name, cause: error.to_string() })
}

fn class(headers: &HeaderMap) -> Result<Option<Class>, Invalid> {
    match text(headers, CLASS, CLASS)?.as_deref() {
        None => Ok(None),
        Some("urgent") => Ok(Some(Class::Urgent)),
        Some("interactive") => Ok(Some(Class::Interactive)),
        Some("series") => Ok(Some(Class::Series)),
        Some(other) => Err(Invalid::Header {
            name: CLASS,
            cause: format!("`{other}` is no class; write urgent, interactive or series"),
        }),
    }
}

fn group(headers: &HeaderMap) -> Result<CallerGroup, Invalid> {
    let named = parsed(headers, GROUP)?;
    let fallback = || DEFAULT_GROUP.parse();
    let cause =
        |error: units::ParseIdError| Invalid::Header { name: GROUP, cause: error.to_string() };
    named.map_or_else(fallback, Ok).map_err(cause)
}

fn key(headers: &HeaderMap) -> Result<Option<String>, Invalid> {
    let bad = |cause: String| Err(Invalid::Header { name: KEY, cause });
    match text(headers, KEY, KEY)? {
        Some(key) if key.is_empty() => bad("it is empty".to_owned()),
        Some(key) if key.len() > KEY_LEN => {
            bad(format!("it has {} bytes; at most {KEY_LEN} are allowed", key.len()))
        }
        key => Ok(key),
    }
}

fn asked_model(body: &Bytes) -> Result<String, Invalid> {
    let ask: Ask =
        serde_json::from_slice(body).map_err(|error| Invalid::Body(error.to_string()))?;
    Ok(ask.model)
}

/// Whether no rule bars the call from being repeated; a path that is written in an unusual way counts as barred.
fn is_repeatable(rules: &[String], method: &Method, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let unusual = ["%", "//", "/.", "\\", ";"].iter().any(|mark| path.contains(mark));
    let barred = rules.iter().any(|rule| {
        let (verb, prefix) = rule.trim().split_once(' ').unwrap_or(("", rule.trim()));
        let same_verb = verb.is_empty() || method.as_str().eq_ignore_ascii_case(verb);
        same_verb && (unusual || starts_with(path, prefix.trim()))
    });
    !barred
}

fn starts_with(path: &str, prefix: &str) -> bool {
    path.get(..prefix.len()).is_some_and(|start| start.eq_ignore_ascii_case(prefix))
}

#[cfg(test)]
mod tests;
