//! Tests of bringing in models ahead of requests.

use super::*;
use crate::fixture::{Site, engine, name};

#[test]
fn brings_in_what_has_no_copy_anywhere_one_load_an_endpoint() {
    let mut site = Site::new(3);
    site.copy(0, "a");
    site.hold(1, "b", &[]);
    site.holdings[2].loading =
        Some(fleet::Loading { model: name("c"), cold: true, left: std::time::Duration::ZERO });
    let planned = prepare(&site.candidates(), &engine(), 8);
    let names: Vec<&str> = planned.iter().map(|(model, _)| model.as_str()).collect();
    assert_eq!(names, ["d", "e"], "only two endpoints are idle");
    assert_ne!(planned[0].1, planned[1].1);
}

#[test]
fn takes_no_more_than_the_free_lanes() {
    let site = Site::new(4);
    assert_eq!(prepare(&site.candidates(), &engine(), 1).len(), 1);
    assert!(prepare(&site.candidates(), &engine(), 0).is_empty());
}

#[test]
fn prefers_endpoints_with_room() {
    let mut site = Site::new(3);
    for index in [0, 2] {
        site.hold(index, "g", &[]);
        site.hold(index, "h", &[]);
    }
    assert_eq!(prepare(&site.candidates(), &engine(), 1)[0].1, 1);
}
