//! The one table of settings that parsing, validation, explanation and the reference page share.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use units::{Size, Span};

use crate::schema::{Class, NodeKind, Settings};
use crate::{Range, window};

/// One setting of the tree.
#[derive(Debug)]
pub struct Setting {
    /// Its name, as in the settings file.
    pub name: &'static str,
    /// What it does.
    pub doc: &'static str,
    /// Its unit and range.
    pub range: Range,
    /// The kinds of nodes that may carry it.
    pub kinds: &'static [NodeKind],
    put: fn(&mut Settings, &Value) -> Result<(), String>,
    get: fn(&Settings) -> Value,
}

impl Setting {
    /// Its default, as in the settings file.
    pub fn default(&self) -> Value {
        self.value(&Settings::default())
    }

    /// Its value among settings, in its usual form.
    pub fn value(&self, settings: &Settings) -> Value {
        (self.get)(settings)
    }

    /// Puts a value among settings; the error says what would be right.
    pub(crate) fn put(&self, settings: &mut Settings, value: &Value) -> Result<(), String> {
        self.range.check(value)?;
        (self.put)(settings, value)
            .map_err(|cause| format!("{value} is not {}: {cause}", self.range))
    }

    /// A value in its usual form, so that `60m` equals `1h`; as it stands if it is wrong.
    pub(crate) fn usual(&self, value: &Value) -> Value {
        let mut settings = Settings::default();
        match self.put(&mut settings, value) {
            Ok(()) => self.value(&settings),
            Err(_) => value.clone(),
        }
    }
}

fn read<T: DeserializeOwned>(field: &mut T, value: &Value) -> Result<(), String> {
    *field = T::deserialize(value).map_err(|error| error.to_string())?;
    Ok(())
}

fn show<T: Serialize>(field: &T) -> Value {
    serde_json::to_value(field).unwrap_or_default()
}

macro_rules! field {
    ($field:ident) => {
        (|settings, value| read(&mut settings.$field, value), |settings| show(&settings.$field))
    };
}

const ALL: &[NodeKind] = &[NodeKind::Branch, NodeKind::Model, NodeKind::Adapter, NodeKind::Service];
const SERVED: &[NodeKind] = &[NodeKind::Branch, NodeKind::Model, NodeKind::Service];
const LOADED: &[NodeKind] = &[NodeKind::Branch, NodeKind::Model];
const ADAPTED: &[NodeKind] = &[NodeKind::Branch, NodeKind::Model, NodeKind::Adapter];
const SIZED: &[NodeKind] = &[NodeKind::Branch, NodeKind::Model, NodeKind::Version];
const MODEL: &[NodeKind] = &[NodeKind::Model];

type Field = (fn(&mut Settings, &Value) -> Result<(), String>, fn(&Settings) -> Value);

const fn of(
    name: &'static str,
    range: Range,
    kinds: &'static [NodeKind],
    doc: &'static str,
    field: Field,
) -> Setting {
    Setting { name, doc, range, kinds, put: field.0, get: field.1 }
}

const DAY: Span = Span::secs(24 * 3600);
const WEEK: Span = Span::secs(7 * 24 * 3600);

static TABLE: [Setting; 21] = [
    of(
        "service",
        Range::Text("service name"),
        SERVED,
        "The platform's service whose endpoints may serve the leaf.",
        field!(service),
    ),
    of(
        "deadline",
        Range::Span(Span::millis(100), DAY),
        ALL,
        "The longest a request may wait for its whole answer, if the caller names no deadline.",
        field!(deadline),
    ),
    of(
        "class",
        Range::Text("class, one of `urgent`, `interactive`, `series`,"),
        ALL,
        "The priority class of requests that name none.",
        field!(class),
    ),
    of(
        "replicas-least",
        Range::Count(0, 64),
        LOADED,
        "The fewest replicas that are granted at any time.",
        field!(replicas_least),
    ),
    of(
        "replicas-most",
        Range::Count(0, 64),
        LOADED,
        "The most replicas that may be granted, and so loaded, at any time.",
        field!(replicas_most),
    ),
    of(
        "version",
        Range::Text("version name"),
        MODEL,
        "The version of the model that is served: the name of a version below it, or \"\" for a model without versions.",
        field!(version),
    ),
    of(
        "weights",
        Range::Size(Size::mib(1), Size::gib(4096)),
        SIZED,
        "The accelerator memory that the weights of one replica take.",
        field!(weights),
    ),
    of(
        "kv-room",
        Range::Size(Size(0), Size::gib(4096)),
        SIZED,
        "The accelerator memory set aside for the KV cache of one replica.",
        field!(kv_room),
    ),
    of(
        "adapter-weights",
        Range::Size(Size::mib(1), Size::gib(4096)),
        ADAPTED,
        "The accelerator memory that one adapter takes beside its replica while it is loaded.",
        field!(adapter_weights),
    ),
    of(
        "batch",
        Range::Count(1, 4096),
        SIZED,
        "How many requests one replica runs at the same time.",
        field!(batch),
    ),
    of(
        "queue",
        Range::Count(0, 65536),
        SERVED,
        "How many requests may wait at one replica.",
        field!(queue),
    ),
    of(
        "cold-weight",
        Range::Number(0.0, 1e6),
        LOADED,
        "What a second of cold start costs, against `idle-weight`.",
        field!(cold_weight),
    ),
    of(
        "idle-weight",
        Range::Number(0.0, 1e6),
        LOADED,
        "What a second of an idle accelerator costs, against `cold-weight`.",
        field!(idle_weight),
    ),
    of(
        "keep-warm",
        Range::Span(Span::secs(0), DAY),
        LOADED,
        "The longest a replica stays loaded with no request.",
        field!(keep_warm),
    ),
    of(
        "windows",
        Range::List("closing windows", 16),
        LOADED,
        "The closing windows at whose opening the model must be ready.",
        (put_windows, |settings| show(&settings.windows)),
    ),
    of(
        "not-repeatable",
        Range::List("calls such as \"POST /badges\"", 64),
        ALL,
        "Method and path prefix of calls that may not be repeated.",
        (put_calls, |settings| show(&settings.not_repeatable)),
    ),
    of(
        "fenced",
        Range::Flag,
        SERVED,
        "Whether the service's endpoints refuse orders with an old fencing number.",
        field!(fenced),
    ),
    of(
        "drain",
        Range::Span(Span::secs(0), DAY),
        SERVED,
        "How long a leaving endpoint may take to finish what runs.",
        field!(drain),
    ),
    of(
        "key-window",
        Range::Span(Span::secs(1), WEEK),
        ALL,
        "How long an idempotency key is remembered.",
        field!(key_window),
    ),
    of(
        "group-share",
        Range::Number(0.0, 1.0),
        SERVED,
        "How many of the urgent and interactive requests of one caller group may wait, as a share of the queue.",
        field!(group_share),
    ),
    of(
        "shed",
        Range::List("classes, each named once", 3),
        SERVED,
        "Which classes are refused first when the queue is full, first to go first.",
        (put_shed, |settings| show(&settings.shed)),
    ),
];

/// All settings, in the order of the reference page.
pub fn table() -> &'static [Setting] {
    &TABLE
}

/// The setting of a name.
pub fn setting(name: &str) -> Option<&'static Setting> {
    TABLE.iter().find(|setting| setting.name == name)
}

fn put_windows(settings: &mut Settings, value: &Value) -> Result<(), String> {
    let mut windows = Vec::new();
    read(&mut windows, value)?;
    windows.iter().try_for_each(window::check).map_err(|error| error.to_string())?;
    settings.windows = windows;
    Ok(())
}

fn put_calls(settings: &mut Settings, value: &Value) -> Result<(), String> {
    let mut calls: Vec<String> = Vec::new();
    read(&mut calls, value)?;
    calls.iter().try_for_each(|call| check_call(call))?;
    settings.not_repeatable = calls;
    Ok(())
}

fn check_call(call: &str) -> Result<(), String> {
    let (method, path) = call.split_once(' ').unwrap_or((call, ""));
    let upper = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
    let visible = path.starts_with('/') && path.chars().all(|c| c.is_ascii_graphic());
    if upper && visible {
        return Ok(());
    }
    Err(format!("`{call}`; write a method in capitals, a blank and a path that begins with `/`"))
}

fn put_shed(settings: &mut Settings, value: &Value) -> Result<(), String> {
    let mut shed: Vec<Class> = Vec::new();
    read(&mut shed, value)?;
    let twice = shed.iter().enumerate().any(|(at, class)| shed[..at].contains(class));
    if twice {
        return Err("a class is named twice".to_owned());
    }
    settings.shed = shed;
    Ok(())
}

#[cfg(test)]
mod tests;
