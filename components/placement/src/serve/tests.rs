//! Tests of choosing an endpoint.

use super::*;
use crate::fixture::{Site, domain};

#[test]
fn takes_only_endpoints_that_hold_the_model_and_its_adapter() {
    let mut site = Site::new(3);
    site.hold(1, "m", &["a1"]);
    let serve = |text: &str| {
        let id: ModelId = text.parse().expect("an id");
        serve(&site.candidates(), Some(&id), &domain())
    };
    assert_eq!(serve("m"), Some(1));
    assert_eq!(serve("m/a1"), Some(1));
    assert_eq!(serve("m/a2"), None);
    assert_eq!(serve("n"), None);
}

#[test]
fn keeps_requests_of_a_model_together_until_the_endpoint_fills_up() {
    let mut site = Site::new(4);
    (0..4).for_each(|index| site.hold(index, "m", &[]));
    let id: ModelId = "m".parse().expect("an id");
    let first = serve(&site.candidates(), Some(&id), &domain()).expect("one");
    let most = (FILL * 64.0) as u32;
    site.total[first] = most;
    assert_eq!(serve(&site.candidates(), Some(&id), &domain()), Some(first));
    site.total[first] = most + 1;
    let second = serve(&site.candidates(), Some(&id), &domain()).expect("one");
    assert_ne!(second, first);
    site.total = vec![60, 60, 60, 60];
    site.total[first] = 40;
    assert_eq!(serve(&site.candidates(), Some(&id), &domain()), Some(first), "all are full");
}

#[test]
fn a_model_that_makes_room_gets_nothing_new() {
    let mut site = Site::new(2);
    (0..2).for_each(|index| site.hold(index, "m", &[]));
    site.holdings[0].leaving = vec!["m".parse().expect("a name")];
    let id: ModelId = "m".parse().expect("an id");
    assert_eq!(serve(&site.candidates(), Some(&id), &domain()), Some(1));
}

#[test]
fn an_endpoint_without_models_is_taken_by_distance_and_fill() {
    let mut site = Site::plain(2);
    site.endpoints[0].domain = "far".parse().expect("a domain");
    assert_eq!(serve(&site.candidates(), None, &domain()), Some(1));
    site.total[1] = 64;
    assert_eq!(serve(&site.candidates(), None, &domain()), Some(0));
}
