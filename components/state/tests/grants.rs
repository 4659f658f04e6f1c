//! The rules of grants.

mod common;

use common::{
    Log, add, attach, claim, decide, edit, gone, grant, grant_id, id, leave, model, release,
    remove, revoke, set, verdict, void,
};
use record::{Body, Decision};
use rstest::rstest;
use serde_json::json;
use state::{Applied, Grant, Verdict, Void};
use tree::NodeKind;
use units::{Epoch, Incarnation, Offset, Size};

/// Epoch 1; a model `page` of at most 2 replicas; endpoints a, b and c attached at 3, 4 and 5.
fn session() -> Log {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    assert!(log.put("ops", edit("e1", 0, model("page", 2, "8GiB"))).is_done());
    for endpoint in ["a", "b", "c"] {
        let instance = format!("{endpoint}-1");
        log.put(&instance, Body::Attach(attach(endpoint, &instance, 0)));
    }
    log
}

fn one(log: &mut Log, decision: Decision) -> Applied {
    log.put("entry-1", decide(1, vec![decision]))
}

fn is_bound(applied: &Applied) -> bool {
    matches!(verdict(applied), Verdict::Void(Void::Bound(_)))
}

#[test]
fn can_grant_and_find_the_grant_by_model_and_endpoint() {
    let mut log = session();
    let applied = log.put("entry-1", decide(1, vec![grant("page", 1, "b"), grant("page", 0, "a")]));
    assert!(applied.is_done());
    let state = &log.state;
    let of: Vec<u32> = state.grants_of(&id("page")).map(|grant| grant.index.0).collect();
    assert_eq!(of, [0, 1]);
    let at: Vec<_> = state.grants_at(&id("b")).map(|grant| grant.id).collect();
    assert_eq!(at, [grant_id(6, 0)]);
    assert_eq!(state.grant(grant_id(6, 1)).map(|g| g.endpoint.as_str()), Some("a"));
    let holders: Vec<u64> = state.holders(&id("page")).map(|(_, m)| m.incarnation.0).collect();
    assert_eq!(holders, [3, 4]);
}

#[test]
fn errors_on_decisions_one_by_one() {
    let mut log = session();
    let decisions = vec![grant("page", 0, "a"), grant("page", 0, "b"), grant("page", 1, "b")];
    let applied = log.put("entry-1", decide(1, decisions));
    assert_eq!(applied.verdicts, [Verdict::Done, Verdict::Void(Void::Taken), Verdict::Done]);
    assert!(!applied.is_done());
}

#[test]
fn errors_on_a_second_replica_at_an_endpoint() {
    let mut log = session();
    one(&mut log, grant("page", 0, "a"));
    assert_eq!(void(&one(&mut log, grant("page", 1, "a"))), &Void::Twice);
}

#[test]
fn errors_on_more_replicas_than_the_bound_even_if_some_are_revoked() {
    let mut log = session();
    one(&mut log, grant("page", 0, "a"));
    one(&mut log, grant("page", 1, "b"));
    assert!(is_bound(&one(&mut log, grant("page", 2, "c"))));
    assert!(one(&mut log, revoke(6, 0)).is_done());
    assert!(is_bound(&one(&mut log, grant("page", 0, "c"))));
    assert!(log.put("a-1", release("a", 3, vec![grant_id(6, 0)])).is_done());
    assert!(one(&mut log, grant("page", 0, "c")).is_done());
}

#[test]
fn errors_on_an_index_beyond_the_bound_though_slots_are_free() {
    let mut log = session();
    assert!(is_bound(&one(&mut log, grant("page", 2, "c"))));
}

#[rstest]
#[case::unknown_model(grant("pages", 0, "a"))]
#[case::a_version_s_name(grant("v1", 0, "a"))]
fn errors_on_what_is_no_model(#[case] decision: Decision) {
    assert!(is_bound(&one(&mut session(), decision)));
}

#[test]
fn errors_on_a_version_that_is_not_in_force() {
    let mut log = session();
    let changes = vec![add("/page/v2", NodeKind::Version), set("/page", "version", json!("v2"))];
    assert!(log.put("ops", edit("e2", 2, changes)).is_done());
    assert!(is_bound(&one(&mut log, grant("page", 0, "a"))));
}

#[test]
fn errors_on_endpoints_that_can_not_take_it() {
    let mut log = session();
    log.put("b-1", leave("b", 4));
    let mut small = attach("s", "s-1", 0);
    small.memory = Size::gib(10).saturating_sub(Size(1));
    log.put("s-1", Body::Attach(small));
    let mut other = attach("o", "o-1", 0);
    other.service = id("darwaza");
    log.put("o-1", Body::Attach(other));
    let mut exact = attach("x", "x-1", 0);
    exact.memory = Size::gib(10);
    log.put("x-1", Body::Attach(exact));
    assert_eq!(void(&one(&mut log, grant("page", 0, "z"))), &Void::NoEndpoint);
    assert_eq!(void(&one(&mut log, grant("page", 0, "b"))), &Void::NoEndpoint);
    assert_eq!(void(&one(&mut log, grant("page", 0, "s"))), &Void::Unfit);
    assert_eq!(void(&one(&mut log, grant("page", 0, "o"))), &Void::Unfit);
    assert!(one(&mut log, grant("page", 0, "x")).is_done());
}

#[test]
fn errors_on_a_revoke_of_no_grant_or_a_revoked_one() {
    let mut log = session();
    one(&mut log, grant("page", 0, "a"));
    assert_eq!(void(&one(&mut log, revoke(6, 1))), &Void::NoGrant);
    assert!(one(&mut log, revoke(6, 0)).is_done());
    assert_eq!(void(&one(&mut log, revoke(6, 0))), &Void::NoGrant);
    assert_eq!(log.state.holders(&id("page")).count(), 0);
    assert_eq!(log.state.grants_of(&id("page")).count(), 1);
}

#[test]
fn errors_on_a_release_that_is_not_due() {
    let mut log = session();
    log.put("entry-1", decide(1, vec![grant("page", 0, "a"), grant("page", 1, "b"), revoke(6, 0)]));
    let standing = log.put("b-1", release("b", 4, vec![grant_id(6, 1)]));
    assert_eq!(void(&standing), &Void::NoGrant);
    let foreign = log.put("b-1", release("b", 4, vec![grant_id(6, 0)]));
    assert_eq!(void(&foreign), &Void::NoGrant);
    let partly = log.put("a-1", release("a", 3, vec![grant_id(6, 0), grant_id(9, 9)]));
    assert_eq!(void(&partly), &Void::NoGrant);
    let other = log.put("a-1", release("a", 4, vec![grant_id(6, 0)]));
    assert_eq!(void(&other), &Void::Incarnation { current: Some(Incarnation(3)) });
    assert!(log.put("a-1", release("a", 3, vec![grant_id(6, 0)])).is_done());
    let again = log.put("a-1", release("a", 3, vec![grant_id(6, 0)]));
    assert_eq!(void(&again), &Void::NoGrant);
    assert_eq!(log.state.grants().count(), 1);
}

#[test]
fn can_release_standing_grants_when_leaving() {
    let mut log = session();
    one(&mut log, grant("page", 0, "a"));
    log.put("a-1", leave("a", 3));
    assert!(log.put("a-1", release("a", 3, vec![grant_id(6, 0)])).is_done());
    assert_eq!(log.state.grants().count(), 0);
}

#[test]
fn can_keep_grants_over_a_new_incarnation() {
    let mut log = session();
    log.put("entry-1", decide(1, vec![grant("page", 0, "a"), grant("page", 1, "b"), revoke(6, 0)]));
    log.put("a-1", Body::Attach(attach("a", "a-1", 3)));
    let kept: Vec<bool> = log.state.grants_at(&id("a")).map(|grant| grant.revoked).collect();
    assert_eq!(kept, [true]);
    assert!(log.put("a-1", release("a", 7, vec![grant_id(6, 0)])).is_done());
}

#[test]
fn can_end_the_grants_of_an_endpoint_that_is_gone() {
    let mut log = session();
    log.put("entry-1", decide(1, vec![grant("page", 0, "a"), grant("page", 1, "b")]));
    assert!(one(&mut log, gone("a", 3)).is_done());
    let left: Vec<&Grant> = log.state.grants().collect();
    assert_eq!(left.iter().map(|grant| grant.id).collect::<Vec<_>>(), [grant_id(6, 1)]);
    assert!(one(&mut log, grant("page", 0, "c")).is_done());
    assert_eq!(void(&one(&mut log, gone("a", 3))), &Void::Incarnation { current: None });
}

#[test]
fn can_keep_grants_of_a_model_whose_bound_shrank_or_that_was_removed() {
    let mut log = session();
    log.put("entry-1", decide(1, vec![grant("page", 0, "a"), grant("page", 1, "b")]));
    let shrink = vec![set("/page", "replicas-most", json!(1))];
    assert!(log.put("ops", edit("e2", 2, shrink)).is_done());
    assert_eq!(log.state.grants_of(&id("page")).count(), 2);
    assert!(log.put("ops", edit("e3", 7, vec![remove("/page")])).is_done());
    assert_eq!(log.state.holders(&id("page")).count(), 2);
    assert!(one(&mut log, revoke(6, 0)).is_done());
}

#[test]
fn errors_on_the_later_of_two_racing_edits_of_a_setting() {
    let mut log = session();
    let most = |value: u32| vec![set("/page", "replicas-most", json!(value))];
    assert!(log.put("ops", edit("e2", 2, most(3))).is_done());
    let lost = log.put("ops", edit("e3", 2, most(4)));
    let Void::Edit(cause) = void(&lost) else { panic!("{lost:?}") };
    assert!(cause.to_string().contains("revision 6"), "{cause}");
    let other = vec![set("/page", "queue", json!(9))];
    assert!(log.put("ops", edit("e4", 2, other)).is_done());
    assert_eq!(log.state.revision().0, 8);
    let leaf = log.state.tree().model(&id("page")).expect("the model is there");
    assert_eq!((leaf.settings.replicas_most, leaf.settings.queue), (3, 9));
}

#[test]
fn errors_on_an_edit_that_comes_again_in_another_record() {
    let mut log = session();
    let again = log.put("ops", edit("e1", 0, model("page", 2, "8GiB")));
    assert_eq!(void(&again), &Void::Repeat { first: Offset(2) });
    assert_eq!(log.state.edit_verdict(&id("e1")).map(Applied::is_done), Some(true));
}

#[test]
fn errors_on_a_late_copy_of_an_add_after_the_node_was_removed() {
    let mut log = session();
    let added = log.records[1].clone();
    assert!(log.put("ops", edit("e2", 2, vec![remove("/page")])).is_done());
    assert_eq!(void(&log.put_record(added.clone())), &Void::Repeat { first: Offset(2) });
    log.fill(record::RECORD_WINDOW_OFFSETS);
    assert_eq!(void(&log.put_record(added)), &Void::Stale { seen: Offset(1) });
    assert!(log.state.tree().model(&id("page")).is_none());
}

#[test]
fn can_sum_the_state_up() {
    let mut log = session();
    log.put("entry-1", decide(1, vec![grant("page", 0, "a"), grant("page", 1, "b"), revoke(6, 0)]));
    log.put("c-1", leave("c", 5));
    let summary = log.state.summary();
    assert_eq!((summary.offset, summary.revision.0, summary.epoch), (Offset(7), 2, Epoch(1)));
    assert_eq!((summary.members, summary.leaving), (3, 1));
    assert_eq!((summary.grants, summary.revoked, summary.nodes), (2, 1, 3));
}
