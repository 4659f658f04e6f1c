//! Tests of times that other processes hand over.

use serde::Serialize;
use serde::de::DeserializeOwned;
use units::Size;

use super::*;
use crate::{CallKind, Limits, ModelSpec, Route};

/// What another process reads of a value.
fn handed_over<T: Serialize + DeserializeOwned>(value: &T) -> T {
    let text = serde_json::to_string(value).expect("text");
    serde_json::from_str(&text).expect("a value")
}

/// The end of such a time can't be represented, and a loader that computed it ended.
#[test]
fn times_that_no_clock_can_add_are_limited_when_they_are_handed_over() {
    let time = Duration::MAX;
    let ModelSpec { store_load, disk_load, memory_load, .. } = handed_over(&ModelSpec {
        weights: Size(1),
        adapter: Size(1),
        store_load: time,
        disk_load: time,
        memory_load: time,
    });
    assert_eq!([store_load, disk_load, memory_load], [MAX_TIME; 3]);
    let Route { timeout, target, max_pause, event_timeout, .. } = handed_over(&Route {
        name: "route".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/".to_owned(),
        kind: CallKind::Stream,
        timeout: time,
        target: time,
        max_pause: time,
        event_timeout: time,
        priority: 0,
        anonymous_allowed: false,
        attempts: 1,
        services: Vec::new(),
    });
    assert_eq!([timeout, target, max_pause, event_timeout], [MAX_TIME; 4]);
    let limits =
        Limits { header_bytes: 1, body_bytes: 1, header_timeout: time, idle_timeout: time };
    let Limits { header_timeout, idle_timeout, .. } = handed_over(&limits);
    assert_eq!([header_timeout, idle_timeout], [MAX_TIME; 2]);
}

#[test]
fn other_times_are_handed_over_as_they_are() {
    let limits = Limits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::from_nanos(3_000_000_001),
        idle_timeout: MAX_TIME,
    };
    assert_eq!(handed_over(&limits), limits);
}
