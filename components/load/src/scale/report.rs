//! The result of the scale bench.

use serde::{Deserialize, Serialize};

use crate::scale::slope::Slope;

/// What one kind of process takes for control in a quiet time, the mean over its processes.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Role {
    /// Processor time, in percent of a core.
    pub(crate) core: f64,
    /// Resident memory of the largest, in MB.
    pub(crate) resident: f64,
    /// Threads of the largest.
    pub(crate) threads: u32,
    /// Bytes a second to and from peers.
    pub(crate) peers: f64,
    /// Bytes a second to and from the log service and the instance list.
    pub(crate) platform: f64,
}

/// What something cost the log service, without renewals of the planner's lease.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Cost {
    pub(crate) appends: u64,
    pub(crate) records: u64,
    pub(crate) bytes: u64,
    /// How long it took.
    pub(crate) seconds: f64,
}

/// What the log service does in a quiet time.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct LogLoad {
    pub(crate) appends: f64,
    pub(crate) reads: f64,
    /// Bytes a second to and from all processes.
    pub(crate) bytes: f64,
}

/// Bytes of the folded state as text, by part.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct StateBytes {
    pub(crate) members: usize,
    pub(crate) grants: usize,
    pub(crate) tree: usize,
    /// Ids of the last records, so that repeats are known.
    pub(crate) recent: usize,
    /// The whole, packed as in a snapshot.
    pub(crate) packed: usize,
}

/// A deployment of one size.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Point {
    /// Agents that run.
    pub(crate) agents: usize,
    /// Members of the folded state, with those that have no process.
    pub(crate) members: usize,
    pub(crate) models: usize,
    pub(crate) adapters: usize,
    pub(crate) grants: usize,
    /// The machine's load average when the quiet time ended.
    pub(crate) machine: f64,
    pub(crate) agent: Role,
    pub(crate) entry: Role,
    /// The entry that holds the planner lease.
    pub(crate) planner: Role,
    pub(crate) log: LogLoad,
    pub(crate) state: StateBytes,
    /// From the start of the processes until all is granted.
    pub(crate) start: Cost,
    /// One edit, until it is in force at every process: the slowest of some.
    pub(crate) edit: Cost,
    /// A request to a cold model.
    pub(crate) wake: Option<Cost>,
    /// An agent killed, until its replicas are granted elsewhere.
    pub(crate) instance: Option<Cost>,
    /// A quarter of the agents killed, until their replicas are granted elsewhere.
    pub(crate) domain: Option<Cost>,
}

/// Calls of one length through an entry and an agent.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct CallPoint {
    pub(crate) tokens: u32,
    pub(crate) calls: usize,
    /// Processor time of the entry for one call, in microseconds.
    pub(crate) entry: f64,
    /// Processor time of the agent for one call, in microseconds.
    pub(crate) agent: f64,
}

/// Memory while so many streams are open.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct StreamPoint {
    pub(crate) streams: usize,
    /// Resident memory of the entry, in MB.
    pub(crate) entry: f64,
    /// Resident memory of the agent, in MB.
    pub(crate) agent: f64,
}

/// The result of the bench.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Result {
    /// Deployments in which every member has a process.
    pub(crate) real: Vec<Point>,
    /// Deployments with few processes and a state of up to the two-year size.
    pub(crate) large: Vec<Point>,
    pub(crate) calls: Vec<CallPoint>,
    pub(crate) streams: Vec<StreamPoint>,
}

/// The two-year size: agents and entries, members, tokens of a call, open streams of an entry.
const PROCESSES: f64 = 2970.0;
const MEMBERS: f64 = 2600.0;
const TOKENS: f64 = 343.0;
const STREAMS: f64 = 43.0;

type Pick = fn(&Point) -> f64;

const ROWS: [(&str, Pick); 26] = [
    ("agent: % of a core", |p| p.agent.core),
    ("agent: MB", |p| p.agent.resident),
    ("agent: threads", |p| f64::from(p.agent.threads)),
    ("agent: B/s with peers", |p| p.agent.peers),
    ("agent: B/s with log and list", |p| p.agent.platform),
    ("entry: % of a core", |p| p.entry.core),
    ("entry: MB", |p| p.entry.resident),
    ("entry: B/s with peers", |p| p.entry.peers),
    ("entry: B/s with log and list", |p| p.entry.platform),
    ("planner: % of a core", |p| p.planner.core),
    ("planner: MB", |p| p.planner.resident),
    ("planner: B/s with peers", |p| p.planner.peers),
    ("planner: B/s with log and list", |p| p.planner.platform),
    ("log: appends/s", |p| p.log.appends),
    ("log: reads/s", |p| p.log.reads),
    ("log: KB/s", |p| p.log.bytes / 1e3),
    ("snapshot: KB", |p| p.state.packed as f64 / 1e3),
    ("start: appends", |p| p.start.appends as f64),
    ("start: s", |p| p.start.seconds),
    ("an edit: appends", |p| p.edit.appends as f64),
    ("an edit in force everywhere: s", |p| p.edit.seconds),
    ("a cold wake: appends", |p| of(p.wake, |cost| cost.appends as f64)),
    ("an instance lost: appends", |p| of(p.instance, |cost| cost.appends as f64)),
    ("an instance lost: s", |p| of(p.instance, |cost| cost.seconds)),
    ("a quarter lost: appends", |p| of(p.domain, |cost| cost.appends as f64)),
    ("a quarter lost: s", |p| of(p.domain, |cost| cost.seconds)),
];

fn of(cost: Option<Cost>, pick: fn(Cost) -> f64) -> f64 {
    cost.map_or(f64::NAN, pick)
}

impl Result {
    /// Prints everything beside the previous result.
    pub(crate) fn print(&self, last: &Self) {
        println!("\nevery member has a process (previous result in brackets)");
        table(&self.real, &last.real);
        println!("\nfew processes, a large state (previous result in brackets)");
        table(&self.large, &last.large);
        self.print_calls(last);
        self.print_slopes(last);
    }

    fn print_calls(&self, last: &Self) {
        println!("\n{:<36} {:>22} {:>22}", "", "entry", "agent");
        for (index, now) in self.calls.iter().enumerate() {
            let was = last.calls.get(index);
            let name = format!("us of a call of {} tokens", now.tokens);
            let entry = beside(now.entry, was.map(|was| was.entry));
            let agent = beside(now.agent, was.map(|was| was.agent));
            println!("{name:<36} {entry:>22} {agent:>22}");
        }
        for (index, now) in self.streams.iter().enumerate() {
            let was = last.streams.get(index);
            let name = format!("MB with {} open streams", now.streams);
            let entry = beside(now.entry, was.map(|was| was.entry));
            let agent = beside(now.agent, was.map(|was| was.agent));
            println!("{name:<36} {entry:>22} {agent:>22}");
        }
    }

    fn print_slopes(&self, last: &Self) {
        println!("\n{:<44} {:>22} {:>24}", "slopes (previous result in brackets)", "base", "each");
        for ((name, slope, size), (_, was, _)) in self.slopes().into_iter().zip(last.slopes()) {
            let base = beside(slope.base, Some(was.base));
            let each = beside(slope.each, Some(was.each));
            println!("{name:<44} {base:>22} {each:>24}  at {size:>5}: {:.1}", slope.at(size));
        }
    }

    /// What grows with what, and how much there is of that at the two-year size.
    fn slopes(&self) -> Vec<(&'static str, Slope, f64)> {
        let real = |name, pick: Pick| {
            (name, Slope::fit(self.real.iter().map(|p| (p.agents as f64, pick(p)))), PROCESSES)
        };
        let large = |name, pick: Pick| {
            (name, Slope::fit(self.large.iter().map(|p| (p.members as f64, pick(p)))), MEMBERS)
        };
        let calls = |name, pick: fn(&CallPoint) -> f64| {
            (name, Slope::fit(self.calls.iter().map(|p| (f64::from(p.tokens), pick(p)))), TOKENS)
        };
        let streams = |name, pick: fn(&StreamPoint) -> f64| {
            (name, Slope::fit(self.streams.iter().map(|p| (p.streams as f64, pick(p)))), STREAMS)
        };
        vec![
            real("log reads/s by agent process", |p| p.log.reads),
            real("log KB/s by agent process", |p| p.log.bytes / 1e3),
            real("start appends by agent process", |p| p.start.appends as f64),
            real("agent B/s with peers by agent process", |p| p.agent.peers),
            real("entry B/s with peers by agent process", |p| p.entry.peers),
            large("agent % of a core by member", |p| p.agent.core),
            large("agent KB by member", |p| p.agent.resident * 1e3),
            large("agent B/s with log and list by member", |p| p.agent.platform),
            large("entry % of a core by member", |p| p.entry.core),
            large("entry KB by member", |p| p.entry.resident * 1e3),
            large("planner % of a core by member", |p| p.planner.core),
            large("planner KB by member", |p| p.planner.resident * 1e3),
            large("members: state bytes by member", |p| p.state.members as f64),
            large("grants: state bytes by member", |p| p.state.grants as f64),
            large("tree: state bytes by member", |p| p.state.tree as f64),
            large("snapshot bytes by member", |p| p.state.packed as f64),
            calls("entry us of a call by token", |p| p.entry),
            calls("agent us of a call by token", |p| p.agent),
            streams("entry KB by open stream", |p| p.entry * 1e3),
            streams("agent KB by open stream", |p| p.agent * 1e3),
        ]
    }
}

fn table(now: &[Point], last: &[Point]) {
    let head = |name: &str, pick: fn(&Point) -> f64| {
        print!("{name:<36}");
        now.iter().for_each(|point| print!(" {:>22.2}", pick(point)));
        println!();
    };
    head("agents", |p| p.agents as f64);
    head("members", |p| p.members as f64);
    head("models", |p| p.models as f64);
    head("grants", |p| p.grants as f64);
    head("load average", |p| p.machine);
    for (name, pick) in ROWS {
        print!("{name:<36}");
        for (index, point) in now.iter().enumerate() {
            print!(" {:>22}", beside(pick(point), last.get(index).map(pick)));
        }
        println!();
    }
}

/// A value, with the previous one in brackets.
fn beside(now: f64, last: Option<f64>) -> String {
    let show = |value: f64| if value.is_nan() { "-".to_owned() } else { format!("{value:.3}") };
    match last {
        Some(last) => format!("{} ({})", show(now), show(last)),
        None => format!("{} (-)", show(now)),
    }
}
