//! The rules of attaching and leaving.

mod common;

use common::{Log, attach, claim, decide, gone, id, leave, release, void};
use record::{Body, MAX_CACHED_CHECKPOINTS};
use state::Void;
use units::Incarnation;

fn attached() -> Log {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    assert!(log.put("a-1", Body::Attach(attach("a", "a-1", 0))).is_done());
    log
}

fn incarnation(log: &Log, endpoint: &str) -> Option<Incarnation> {
    log.state.member(&id(endpoint)).map(|member| member.incarnation)
}

#[test]
fn can_attach_with_the_offset_as_incarnation() {
    let log = attached();
    assert_eq!(incarnation(&log, "a"), Some(Incarnation(2)));
    assert_eq!(log.state.members().count(), 1);
}

#[test]
fn can_attach_again_after_a_restart() {
    let mut log = attached();
    assert!(log.put("a-1", Body::Attach(attach("a", "a-1", 2))).is_done());
    assert_eq!(incarnation(&log, "a"), Some(Incarnation(3)));
}

#[test]
fn errors_on_an_attach_that_surfaces_after_a_newer_one() {
    let mut log = attached();
    log.put("a-1", Body::Attach(attach("a", "a-1", 2)));
    let late = log.put("a-1", Body::Attach(attach("a", "a-1", 2)));
    assert_eq!(void(&late), &Void::Incarnation { current: Some(Incarnation(3)) });
    let first = log.put("a-1", Body::Attach(attach("a", "a-1", 0)));
    assert_eq!(void(&first), &Void::Incarnation { current: Some(Incarnation(3)) });
    assert_eq!(incarnation(&log, "a"), Some(Incarnation(3)));
}

#[test]
fn errors_on_an_attach_that_names_a_member_that_is_gone() {
    let mut log = attached();
    assert!(log.put("entry-1", decide(1, vec![gone("a", 2)])).is_done());
    let late = log.put("a-1", Body::Attach(attach("a", "a-1", 2)));
    assert_eq!(void(&late), &Void::Incarnation { current: None });
    assert!(log.put("a-1", Body::Attach(attach("a", "a-1", 0))).is_done());
}

#[test]
fn errors_on_an_attach_by_another_instance_until_the_first_is_gone() {
    let mut log = attached();
    let other = log.put("a-2", Body::Attach(attach("a", "a-2", 2)));
    assert_eq!(void(&other), &Void::Instance { current: id("a-1") });
    log.put("entry-1", decide(1, vec![gone("a", 2)]));
    assert!(log.put("a-2", Body::Attach(attach("a", "a-2", 0))).is_done());
}

#[test]
fn can_leave_for_one_incarnation() {
    let mut log = attached();
    assert!(log.put("a-1", leave("a", 2)).is_done());
    assert!(log.state.member(&id("a")).is_some_and(|member| member.leaving));
    log.put("a-1", Body::Attach(attach("a", "a-1", 2)));
    assert!(log.state.member(&id("a")).is_some_and(|member| !member.leaving));
}

#[test]
fn errors_on_records_of_an_incarnation_that_was_replaced() {
    let mut log = attached();
    log.put("a-1", Body::Attach(attach("a", "a-1", 2)));
    let replaced = Void::Incarnation { current: Some(Incarnation(3)) };
    assert_eq!(void(&log.put("a-1", leave("a", 2))), &replaced);
    assert_eq!(void(&log.put("a-1", release("a", 2, Vec::new()))), &replaced);
    assert_eq!(void(&log.put("entry-1", decide(1, vec![gone("a", 2)]))), &replaced);
    assert_eq!(incarnation(&log, "a"), Some(Incarnation(3)));
}

#[test]
fn errors_on_records_of_an_endpoint_that_never_attached() {
    let mut log = attached();
    let unknown = Void::Incarnation { current: None };
    assert_eq!(void(&log.put("b-1", leave("b", 0))), &unknown);
    assert_eq!(void(&log.put("b-1", release("b", 2, Vec::new()))), &unknown);
    assert_eq!(void(&log.put("entry-1", decide(1, vec![gone("b", 2)]))), &unknown);
}

#[test]
fn can_keep_no_more_cached_checkpoints_than_every_process_can_hold() {
    let mut log = Log::default();
    let mut attach = attach("a", "a-1", 0);
    attach.cached = (0..=MAX_CACHED_CHECKPOINTS).map(|n| id(&format!("model-{n}@v1"))).collect();
    let first = attach.cached[..MAX_CACHED_CHECKPOINTS].to_vec();
    assert!(log.put("a-1", Body::Attach(attach)).is_done());
    let member = log.state.member(&id("a"));
    assert_eq!(member.map(|member| &member.attach.cached), Some(&first));
}
