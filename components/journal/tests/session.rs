//! A whole session of three processes through the failures of the log, as a golden file.

mod common;

use std::fmt::Write;
use std::time::Duration;

use common::{LIMIT, Node, Site, attach, claim, pass};
use edge::Stream;
use journal::SnapshotRule;
use record::Body;
use state::{Applied, State};
use timeline::{Event, Kind};
use units::Offset;

/// Writes down what happens.
struct Session {
    site: Site,
    nodes: Vec<(&'static str, Node)>,
    text: String,
}

impl Session {
    fn start(&mut self, name: &'static str, number: u16) {
        let seeds = [1, 2, 3].into_iter().filter(|seed| *seed != number).collect::<Vec<_>>();
        let rule = SnapshotRule { records: 8, age: Duration::from_secs(900) };
        let node = self.site.node_with(number, &seeds, |options| options.snapshot = rule);
        self.nodes.push((name, node));
    }

    fn node(&self, name: &str) -> &Node {
        let found = self.nodes.iter().find(|(other, _)| *other == name);
        &found.expect("it was started").1
    }

    fn end(&mut self, name: &str) {
        let index = self.nodes.iter().position(|(other, _)| *other == name);
        self.nodes.remove(index.expect("it was started")).1.end();
    }

    fn say(&mut self, line: &str) {
        self.text += line;
        self.text.push('\n');
    }

    async fn append(&mut self, name: &str, body: Body) {
        let shown = match self.node(name).journal.append(body, LIMIT).await {
            Ok(applied) => show(&applied),
            Err(error) => error.to_string(),
        };
        self.say(&format!("  {name} appends: {shown}"));
    }

    /// Waits until all has calmed down and shows each process.
    async fn show(&mut self, title: &str) {
        pass(40).await;
        self.say(title);
        for (name, node) in &self.nodes {
            let ready = if node.is_ready() { "ready" } else { "not ready" };
            let health = node.journal.health();
            let state = node.journal.read(|state: &State| {
                let members: Vec<&str> =
                    state.members().map(|member| member.attach.endpoint.as_str()).collect();
                format!("{}, {}, [{}]", state.offset(), state.lease().epoch, members.join(" "))
            });
            writeln!(self.text, "  {name}: {ready}, log {health:?}, {state}").expect("text grows");
        }
    }
}

fn show(applied: &Applied) -> String {
    let verdicts: Vec<String> =
        applied.verdicts.iter().map(|verdict| format!("{verdict:?}")).collect();
    format!("{} {}", applied.offset, verdicts.join(" "))
}

/// The log's ups and downs as one process saw them.
fn log_events(node: &Node) -> Vec<String> {
    let events = Event::from_lines(&node.recorder.to_lines()).expect("events are text");
    let of_log = |event: &&Event| matches!(event.kind, Kind::LogUp | Kind::LogDown);
    events.iter().filter(of_log).map(|event| format!("{}: {}", event.kind, event.note)).collect()
}

#[tokio::test(start_paused = true)]
async fn can_go_through_a_day_of_failures() {
    let mut day = Session { site: Site::default(), nodes: Vec::new(), text: String::new() };
    for (name, number) in [("a", 1), ("b", 2), ("c", 3)] {
        day.start(name, number);
    }
    day.show("three processes start over an empty log").await;
    day.append("a", claim(0)).await;
    day.append("b", claim(0)).await;
    day.append("c", attach(3)).await;
    day.show("one lease, one loser, one member").await;

    day.site.log.set(|faults| faults.lost = 1);
    day.append("a", claim(1)).await;
    day.show("an answer was lost").await;

    day.site.log.set(|faults| faults.outage = true);
    day.append("b", attach(2)).await;
    day.start("d", 4);
    day.show("the log is down; d starts").await;

    day.site.log.set(|faults| faults.outage = false);
    day.append("d", attach(4)).await;
    day.show("the log is up again").await;

    let due = day.node("a").journal.snapshot_due();
    let snapshot = day.node("a").journal.append_snapshot(LIMIT).await;
    day.say(&format!("  snapshot due {due}, written up to {snapshot:?}"));
    day.site.log.expire(Stream::Control, Offset(6));
    ["a", "b", "c", "d"].into_iter().for_each(|name| day.end(name));
    for (name, number) in [("e", 1), ("f", 2), ("g", 3)] {
        day.start(name, number);
    }
    day.show("all processes were replaced; early records have expired").await;

    day.site.log.wipe(Stream::Control);
    day.start("h", 5);
    day.show("the log lost everything; h starts").await;
    day.append("e", claim(4)).await;
    day.show("the log is not the one that was folded").await;
    for line in log_events(day.node("e")) {
        day.say(&format!("  e saw {line}"));
    }
    insta::assert_snapshot!(day.text);
}
