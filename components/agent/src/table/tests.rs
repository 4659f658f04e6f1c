use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use units::{ModelName, RequestId, Size};
use wire::Refusal;

use super::{Begin, RequestTable, TableLimits};
use crate::kept::AnswerHead;
use crate::slot::{Cancel, Progress};

const GRACE: Duration = Duration::from_secs(3);

fn table(count: usize, bytes: Size) -> RequestTable {
    RequestTable::new(TableLimits { count, bytes, grace: GRACE })
}

fn id(number: u8) -> RequestId {
    format!("r-{number}").parse().expect("an id")
}

fn model() -> ModelName {
    "page-text".parse().expect("a name")
}

fn begin(table: &mut RequestTable, number: u8, budget: u64) -> Begin {
    table.begin(&id(number), &model(), true, Duration::from_secs(budget))
}

fn answer(begun: Begin, bytes: &'static [u8], delivered: bool) {
    let Begin::New(slot) = begun else { panic!("not new: {begun:?}") };
    assert!(slot.start());
    assert!(slot.head(AnswerHead { status: StatusCode::OK, content: None }));
    slot.push(Bytes::from_static(bytes));
    slot.end(None);
    if delivered {
        slot.delivered();
    }
}

#[test]
fn can_find_a_request_again() {
    let mut table = table(10, Size::mib(1));
    assert!(matches!(begin(&mut table, 1, 1), Begin::New(_)));
    assert!(matches!(begin(&mut table, 1, 1), Begin::Known(_)));
    assert!(matches!(table.find(&id(1)), Begin::Known(_)));
}

#[test]
fn errors_on_a_dispatch_after_a_tombstone() {
    let mut table = table(10, Size::mib(1));
    assert!(matches!(table.find(&id(1)), Begin::New(_)));
    let Begin::Known(slot) = begin(&mut table, 1, 1) else { panic!("the tombstone is lost") };
    assert_eq!(slot.refusal(), Some(Refusal::Cancelled));
}

#[test]
fn errors_on_new_work_rather_than_forgetting() {
    let mut table = table(8, Size::mib(1));
    let begun = (0..20).filter(|n| matches!(begin(&mut table, *n, 1), Begin::New(_))).count();
    assert_eq!(begun, 7, "one place of eight is kept for tombstones");
    assert!(matches!(table.find(&id(100)), Begin::New(_)), "a tombstone still has its place");
    assert!(matches!(table.find(&id(101)), Begin::Full));
    assert_eq!(table.len(), 8);
}

#[test]
fn forgets_after_deadline_and_grace_only() {
    let mut table = table(8, Size::mib(1));
    answer(begin(&mut table, 1, 2), b"answer", true);
    for _ in 0..4 {
        table.sweep();
        assert_eq!(table.len(), 1);
    }
    table.sweep();
    assert_eq!(table.len(), 0);
    assert_eq!(table.bytes(), Size(0));
}

#[test]
fn keeps_what_is_not_over() {
    let mut table = table(8, Size::mib(1));
    let Begin::New(slot) = begin(&mut table, 1, 0) else { panic!("not new") };
    assert!(slot.start());
    for _ in 0..20 {
        table.sweep();
    }
    assert_eq!(table.len(), 1);
    slot.end(Some(wire::UnknownCause::Deadline));
    for _ in 0..4 {
        table.sweep();
    }
    assert_eq!(table.len(), 0);
}

#[test]
fn drops_delivered_answers_before_refusing() {
    let mut table = table(100, Size(10));
    answer(begin(&mut table, 1, 1), b"delivered", true);
    answer(begin(&mut table, 2, 1), b"not yet", false);
    answer(begin(&mut table, 3, 1), b"four", false);
    assert_eq!(table.bytes(), Size(11));
    assert!(matches!(begin(&mut table, 4, 1), Begin::Full));
    assert_eq!(table.len(), 3);
}

/// What may happen to a request.
#[derive(Debug, Clone, Copy)]
enum Step {
    Dispatch { number: u8, budget: u64 },
    Resume { number: u8 },
    Cancel { number: u8 },
    Start { number: u8 },
    End { number: u8 },
    Sweep,
}

/// How far a request is in the naive table.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Naive {
    Queued,
    Running,
    Over,
}

/// A table that remembers everything in one map and looks at all of it on each sweep.
#[derive(Debug, Default)]
struct NaiveTable {
    now: u64,
    requests: HashMap<u8, (Naive, u64)>,
}

const COUNT: usize = 8;

impl NaiveTable {
    fn step(&mut self, step: Step) -> &'static str {
        match step {
            Step::Dispatch { number, budget } => match self.requests.get(&number) {
                Some(_) => "known",
                None if self.requests.len() >= COUNT - 1 => "full",
                None => {
                    let until = self.now + budget + GRACE.as_secs();
                    self.requests.insert(number, (Naive::Queued, until));
                    "new"
                }
            },
            Step::Resume { number } => match self.requests.get(&number) {
                Some(_) => "known",
                None if self.requests.len() >= COUNT => "full",
                None => {
                    self.requests.insert(number, (Naive::Over, self.now + GRACE.as_secs()));
                    "new"
                }
            },
            Step::Cancel { number } => match self.requests.get_mut(&number) {
                Some((stage @ Naive::Queued, _)) => {
                    *stage = Naive::Over;
                    "refused"
                }
                Some((Naive::Running, _)) => "stopping",
                Some((Naive::Over, _)) => "over",
                None => "none",
            },
            Step::Start { number } => match self.requests.get_mut(&number) {
                Some((stage @ Naive::Queued, _)) => {
                    *stage = Naive::Running;
                    "started"
                }
                _ => "none",
            },
            Step::End { number } => {
                if let Some((stage @ Naive::Running, _)) = self.requests.get_mut(&number) {
                    *stage = Naive::Over;
                }
                "none"
            }
            Step::Sweep => {
                self.now += 1;
                let now = self.now;
                for (stage, until) in self.requests.values_mut() {
                    if *until <= now && *stage != Naive::Over {
                        *until = now + GRACE.as_secs();
                    }
                }
                self.requests.retain(|_, (_, until)| *until > now);
                "none"
            }
        }
    }
}

fn real_step(table: &mut RequestTable, step: Step) -> &'static str {
    let name = |begun: &Begin| match begun {
        Begin::New(_) => "new",
        Begin::Known(_) => "known",
        Begin::Full => "full",
    };
    match step {
        Step::Dispatch { number, budget } => name(&begin(table, number, budget)),
        Step::Resume { number } => name(&table.find(&id(number))),
        Step::Cancel { number } => match table.slots.get(&id(number)).map(|slot| slot.cancel()) {
            Some(Cancel::Refused) => "refused",
            Some(Cancel::Stopping | Cancel::RunsOn) => "stopping",
            Some(Cancel::Over) => "over",
            None => "none",
        },
        Step::Start { number } => {
            let started = table.slots.get(&id(number)).is_some_and(|slot| slot.start());
            if started { "started" } else { "none" }
        }
        Step::End { number } => {
            if let Some(slot) = table.slots.get(&id(number)) {
                slot.end(Some(wire::UnknownCause::Deadline));
            }
            "none"
        }
        Step::Sweep => {
            table.sweep();
            "none"
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let number = 0u8..12;
    prop_oneof![
        3 => (number.clone(), 0u64..5).prop_map(|(number, budget)| Step::Dispatch { number, budget }),
        2 => number.clone().prop_map(|number| Step::Resume { number }),
        1 => number.clone().prop_map(|number| Step::Cancel { number }),
        2 => number.clone().prop_map(|number| Step::Start { number }),
        2 => number.prop_map(|number| Step::End { number }),
        3 => Just(Step::Sweep),
    ]
}

#[test]
fn does_as_the_naive_table_does() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..120);
    let ran = runner.run(&steps, |steps| {
        let mut real = table(COUNT, Size::mib(1));
        let mut naive = NaiveTable::default();
        for step in steps {
            prop_assert_eq!(real_step(&mut real, step), naive.step(step), "{:?}", step);
            prop_assert_eq!(real.len(), naive.requests.len(), "{:?}", step);
            for number in naive.requests.keys() {
                prop_assert!(real.slots.contains_key(&id(*number)), "{} is lost", number);
            }
        }
        Ok(())
    });
    ran.expect("both tables agree");
}

#[test]
fn tombstones_answer_cancelled() {
    let mut table = table(8, Size::mib(1));
    let Begin::New(slot) = table.find(&id(1)) else { panic!("not new") };
    assert!(matches!(slot.now(0), Progress::Refused(Refusal::Cancelled)));
}
