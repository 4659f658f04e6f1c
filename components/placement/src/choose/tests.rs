//! Tests of choosing an endpoint.

use super::*;
use crate::fixture::{Site, domain};

fn chosen(site: &Site, id: Option<&ModelId>) -> Option<usize> {
    let work = Duration::from_millis(20);
    choose_endpoint(&site.candidates(), id, work, &domain()).map(|served| served.index)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn takes_only_endpoints_that_hold_the_model_and_its_adapter() {
    let mut site = Site::new(3);
    site.hold(1, "m", &["a1"]);
    let chosen_for = |text: &str| {
        let id: ModelId = text.parse().expect("an id");
        chosen(&site, Some(&id))
    };
    assert_eq!(chosen_for("m"), Some(1));
    assert_eq!(chosen_for("m/a1"), Some(1));
    assert_eq!(chosen_for("m/a2"), None);
    assert_eq!(chosen_for("n"), None);
}

#[test]
fn goes_to_the_holder_that_is_expected_first_and_keeps_together_where_callers_notice_nothing() {
    let mut site = Site::new(4);
    (0..4).for_each(|index| site.hold(index, "m", &[]));
    let id: ModelId = "m".parse().expect("an id");
    let first = chosen(&site, Some(&id)).expect("one");
    site.ahead[first] = ms(20);
    assert_eq!(chosen(&site, Some(&id)), Some(first), "nobody notices 20 ms");
    site.ahead[first] = ms(120);
    let second = chosen(&site, Some(&id)).expect("one");
    assert_ne!(second, first);
    site.ahead = vec![ms(400); 4];
    site.ahead[first] = ms(120);
    assert_eq!(chosen(&site, Some(&id)), Some(first), "all have much to read");
}

#[test]
fn near_holders_go_before_far_ones_unless_they_are_late() {
    let mut site = Site::new(4);
    (0..4).for_each(|index| site.hold(index, "m", &[]));
    (0..3).for_each(|index| site.endpoints[index].domain = "far".parse().expect("a domain"));
    let id: ModelId = "m".parse().expect("an id");
    assert_eq!(chosen(&site, Some(&id)), Some(3));
    site.ahead[3] = ms(60);
    assert_ne!(chosen(&site, Some(&id)), Some(3));
}

#[test]
fn while_room_is_short_a_model_is_kept_together_until_its_endpoint_fills_up() {
    let mut site = Site::new(4);
    (0..4).for_each(|index| site.hold(index, "m", &[]));
    site.room = vec![ms(500); 4];
    let id: ModelId = "m".parse().expect("an id");
    let first = chosen(&site, Some(&id)).expect("one");
    site.total[first] = (MAX_MODEL_SLOT_SHARE * 64.0) as u32;
    site.ahead[first] = ms(60);
    assert_eq!(chosen(&site, Some(&id)), Some(first));
    site.total[first] = 60;
    assert_ne!(chosen(&site, Some(&id)), Some(first));
    site.total = vec![60; 4];
    site.total[first] = 40;
    assert_eq!(chosen(&site, Some(&id)), Some(first), "all are full");
}

#[test]
fn a_model_that_makes_room_gets_nothing_new() {
    let mut site = Site::new(2);
    (0..2).for_each(|index| site.hold(index, "m", &[]));
    site.holdings[0].evicting = vec!["m".parse().expect("a name")];
    let id: ModelId = "m".parse().expect("an id");
    assert_eq!(chosen(&site, Some(&id)), Some(1));
}

#[test]
fn an_endpoint_without_models_is_taken_by_distance_and_fill() {
    let mut site = Site::plain(2);
    site.endpoints[0].domain = "far".parse().expect("a domain");
    assert_eq!(chosen(&site, None), Some(1));
    site.total[1] = 64;
    assert_eq!(chosen(&site, None), Some(0));
}

#[test]
fn an_endpoint_that_lost_an_answer_goes_behind_the_others_until_they_fill_up() {
    let mut site = Site::plain(2);
    site.endpoints[0].domain = "far".parse().expect("a domain");
    site.failures[1] = 1.0;
    assert_eq!(chosen(&site, None), Some(0));
    site.total[0] = 64;
    assert_eq!(chosen(&site, None), Some(1));
}
