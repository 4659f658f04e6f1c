use super::{MAX_EVENTS, Recorder};
use crate::{Event, Kind};

fn recorder(name: &str) -> Recorder {
    Recorder::new(name.parse().expect("an id"))
}

#[test]
fn a_cause_is_sorted_before_its_effect() {
    let (entry, agent) = (recorder("entry-1"), recorder("agent-1"));
    agent.record(agent.event(Kind::Started));
    let sent = entry.event(Kind::Dispatched);
    agent.clock().observe(sent.tick);
    entry.record(sent);
    agent.record(agent.event(Kind::Queued));
    let lines = agent.to_lines() + &entry.to_lines();
    let mut events = Event::from_lines(&lines).expect("events");
    Event::sort(&mut events);
    let at = |kind| events.iter().position(|event| event.kind == kind).expect("the event");
    assert!(at(Kind::Dispatched) < at(Kind::Queued));
}

#[test]
fn the_oldest_events_are_dropped() {
    let recorder = recorder("entry-1");
    for _ in 0..MAX_EVENTS + 10 {
        recorder.record(recorder.event(Kind::Applied));
    }
    assert_eq!(recorder.to_lines().lines().count(), MAX_EVENTS);
}
