//! Tests of choosing where a model is loaded.

use super::*;
use crate::fixture::{Site, engine, name};

fn id(text: &str) -> ModelId {
    text.parse().expect("an id")
}

#[test]
fn a_copy_goes_before_the_weight_store_also_where_others_have_more_room() {
    let mut site = Site::new(3);
    site.copy(2, "a");
    site.hold(2, "b", &[]);
    site.hold(2, "c", &[]);
    let wake =
        choose_load_target(&site.candidates(), &id("a"), &engine(), LoadSource::CopiesOrStore)
            .expect("a place");
    assert_eq!((wake.index, wake.tier), (2, Tier::Disk));
}

#[test]
fn the_weight_store_is_not_used_while_a_copy_lies_on_an_endpoint_that_cannot_be_asked() {
    let mut site = Site::new(2);
    site.copy(0, "a");
    site.able[0] = false;
    assert_eq!(
        choose_load_target(&site.candidates(), &id("a"), &engine(), LoadSource::CopiesOrStore),
        None
    );
}

#[test]
fn the_weight_store_is_used_only_with_a_free_lane() {
    let site = Site::new(2);
    assert_eq!(
        choose_load_target(&site.candidates(), &id("a"), &engine(), LoadSource::CopiesOnly),
        None
    );
    let wake =
        choose_load_target(&site.candidates(), &id("a"), &engine(), LoadSource::CopiesOrStore)
            .expect("a place");
    assert_eq!((wake.tier, wake.ready_in), (Tier::Store, Duration::from_secs(6)));
}

#[test]
fn an_adapter_is_loaded_where_its_model_is() {
    let mut site = Site::new(3);
    site.hold(1, "a", &[]);
    let wake =
        choose_load_target(&site.candidates(), &id("a/x"), &engine(), LoadSource::CopiesOrStore)
            .expect("a place");
    assert_eq!((wake.index, wake.tier), (1, Tier::Adapter));
}

#[test]
fn all_routers_choose_alike_whatever_order_they_know_the_endpoints_in() {
    let mut site = Site::new(6);
    (0..6).for_each(|index| site.copy(index, "a"));
    let mut candidates = site.candidates();
    let first = choose_load_target(&candidates, &id("a"), &engine(), LoadSource::CopiesOrStore)
        .expect("a place")
        .index;
    let chosen = candidates[first].endpoint.id.clone();
    candidates.reverse();
    let again = choose_load_target(&candidates, &id("a"), &engine(), LoadSource::CopiesOrStore)
        .expect("a place")
        .index;
    assert_eq!(candidates[again].endpoint.id, chosen);
}

#[test]
fn a_load_in_progress_is_joined() {
    let mut site = Site::new(3);
    let left = Duration::from_secs(2);
    site.holdings[1].loading =
        Some(fleet::Loading { model: name("a"), cold: true, remaining: left });
    let wake = choose_load_target(&site.candidates(), &id("a"), &engine(), LoadSource::CopiesOnly)
        .expect("a place");
    assert_eq!((wake.index, wake.ready_in), (1, left));
}

#[test]
fn several_endpoints_are_woken_from_copies_only() {
    let mut site = Site::new(4);
    (0..3).for_each(|index| site.copy(index, "a"));
    let all =
        choose_load_targets(&site.candidates(), &id("a"), &engine(), LoadSource::CopiesOrStore, 4);
    assert_eq!(all.len(), 3);
    assert!(all.iter().all(|wake| wake.tier == Tier::Disk));
    let store =
        choose_load_targets(&site.candidates(), &id("b"), &engine(), LoadSource::CopiesOrStore, 4);
    assert_eq!(store.len(), 1, "one load from the weight store is enough");
}

#[test]
fn a_further_holder_never_comes_from_the_store() {
    let mut site = Site::new(2);
    site.hold(0, "a", &[]);
    let all = site.candidates();
    assert_eq!(choose_load_target(&all[1..], &id("a"), &engine(), LoadSource::CopiesOnly), None);
    let first = choose_load_target(&all, &id("a"), &engine(), LoadSource::CopiesOrStore)
        .expect("the holder");
    assert_eq!((first.index, first.tier), (0, Tier::Adapter));
}
