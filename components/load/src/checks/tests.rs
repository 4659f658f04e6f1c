use std::time::Duration;

use rstest::rstest;
use tree::Class;
use units::{RequestId, Revision};

use super::{Promise, Row, all};
use crate::evidence::{
    Call, Ending, Evidence, Execution, MemoryMark, Period, Publish, ReplicaSample, RevisionSample,
    Stop,
};

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn id(text: &str) -> RequestId {
    text.parse().expect("a right id")
}

fn call(request: &str, ending: Ending) -> Call {
    Call {
        at: secs(1),
        first: None,
        done: secs(2),
        deadline: secs(5),
        class: Class::Interactive,
        target: "page-text".to_owned(),
        entry: "entry-1".to_owned(),
        request: Some(id(request)),
        key: None,
        status: 200,
        ending,
        own: true,
        text: String::new(),
    }
}

fn run(request: &str, endpoint: &str) -> Execution {
    Execution { request: id(request), endpoint: endpoint.to_owned(), runs: 1 }
}

fn period(name: &str, from: u64, to: u64) -> Period {
    Period { name: name.to_owned(), from: secs(from), to: secs(to) }
}

fn revision(process: &str, at: u64, revision: u64) -> RevisionSample {
    let up = secs(0);
    RevisionSample { at: secs(at), process: process.to_owned(), up, revision: Revision(revision) }
}

fn replicas(loaded: &[&str], granted: &[&str]) -> ReplicaSample {
    let own = |places: &[&str]| places.iter().map(|place| (*place).to_owned()).collect();
    let artifact = "page-text@v2".parse().expect("a right name");
    let decided = granted.len();
    ReplicaSample { at: secs(3), artifact, loaded: own(loaded), granted: own(granted), decided }
}

/// A run in which every promise was tried and held.
fn sound() -> Evidence {
    let keyed = Call { key: Some("k".to_owned()), ..call("r3", Ending::Served) };
    let publish = Publish { at: secs(1), revision: Revision(7) };
    Evidence {
        calls: vec![call("r1", Ending::Served), call("r2", Ending::NotRun), keyed],
        executions: vec![run("r1", "likhari-1"), run("r3", "darwaza-1")],
        replicas: vec![replicas(&["likhari-1"], &["likhari-1", "likhari-2"])],
        memory: vec![MemoryMark { endpoint: "likhari-1".to_owned(), capacity: 10, high: 10 }],
        departures: vec![period("likhari-1", 0, 30)],
        stops: vec![Stop { period: period("likhari-1", 0, 30), clean: true }],
        crashes: Vec::new(),
        publishes: vec![publish],
        revisions: vec![revision("entry-1", 1, 0), revision("entry-1", 7, 7)],
    }
}

fn row(evidence: &Evidence, promise: Promise) -> Row {
    all(evidence).into_iter().find(|row| row.promise == promise).expect("a row for each promise")
}

#[test]
fn can_find_every_promise_kept() {
    for row in all(&sound()) {
        assert!(row.tries > 0, "{} was not tried", row.promise);
        assert_eq!(row.violations, Vec::<String>::new(), "{}", row.promise);
    }
}

#[rstest]
#[case::more_loaded_than_granted(Promise::Replicas, |e: &mut Evidence| {
    e.replicas.push(replicas(&["likhari-1", "likhari-1"], &["likhari-1"]));
})]
#[case::loaded_without_a_grant(Promise::Replicas, |e: &mut Evidence| {
    e.replicas.push(replicas(&["likhari-3"], &["likhari-1", "likhari-2"]));
})]
#[case::memory_over(Promise::Memory, |e: &mut Evidence| e.memory[0].high = 11)]
#[case::answered_late(Promise::InTime, |e: &mut Evidence| e.calls[0].done = secs(7))]
#[case::never_answered(Promise::InTime, |e: &mut Evidence| e.calls[0].ending = Ending::Silent)]
#[case::cut(Promise::InTime, |e: &mut Evidence| e.calls[0].ending = Ending::Cut)]
#[case::an_answer_of_another(Promise::OwnAnswer, |e: &mut Evidence| e.calls[0].own = false)]
#[case::an_answer_from_nowhere(Promise::OwnAnswer, |e: &mut Evidence| {
    e.executions.remove(0);
})]
#[case::refused_but_run(Promise::NotRun, |e: &mut Evidence| {
    e.executions.push(run("r2", "likhari-1"));
})]
#[case::a_refusal_without_id(Promise::NotRun, |e: &mut Evidence| e.calls[1].request = None)]
#[case::run_twice(Promise::AtMostOnce, |e: &mut Evidence| {
    e.executions.push(run("r3", "darwaza-2"));
})]
#[case::run_twice_at_one_place(Promise::AtMostOnce, |e: &mut Evidence| {
    e.executions[1].runs = 2;
})]
#[case::two_requests_of_one_key(Promise::AtMostOnce, |e: &mut Evidence| {
    e.calls.push(Call { key: Some("k".to_owned()), ..call("r4", Ending::Served) });
    e.executions.push(run("r4", "darwaza-2"));
})]
#[case::work_after_leaving(Promise::Leaving, |e: &mut Evidence| {
    e.calls.push(Call { at: secs(6), done: secs(7), ..call("r5", Ending::Served) });
    e.executions.push(run("r5", "likhari-1"));
})]
#[case::a_stop_that_cuts(Promise::PlannedStop, |e: &mut Evidence| {
    e.calls[0].ending = Ending::Unknown;
})]
#[case::a_stop_that_fails(Promise::PlannedStop, |e: &mut Evidence| e.stops[0].clean = false)]
#[case::not_in_force(Promise::Configuration, |e: &mut Evidence| {
    e.revisions.push(revision("agent-1", 7, 6));
})]
#[case::reverted(Promise::Configuration, |e: &mut Evidence| {
    e.publishes.clear();
    e.revisions.push(revision("entry-1", 9, 5));
})]
fn errors_on_a_broken_promise(#[case] promise: Promise, #[case] harm: fn(&mut Evidence)) {
    let mut evidence = sound();
    harm(&mut evidence);
    assert!(!row(&evidence, promise).violations.is_empty(), "{promise} was not seen broken");
}

#[test]
fn can_excuse_a_call_whose_entry_was_killed_and_no_other() {
    let mut evidence = sound();
    evidence.calls[0].ending = Ending::Cut;
    evidence.crashes.push(period("entry-1", 1, 2));
    let in_time = row(&evidence, Promise::InTime);
    assert_eq!((in_time.excused, in_time.violations.len()), (3, 0));
    evidence.crashes[0].name = "entry-2".to_owned();
    assert_eq!(row(&evidence, Promise::InTime).violations.len(), 1);
}

#[test]
fn can_take_work_sent_before_the_departure() {
    let mut evidence = sound();
    evidence.calls[0].done = secs(20);
    assert!(row(&evidence, Promise::Leaving).violations.is_empty());
}
