//! Measures the fold: records a second, the bytes of a snapshot and the time to restore it.
//!
//! `cargo run --release -p state --example fold-bench [today|half|full|MODELS ADAPTERS ENDPOINTS]`; memory is
//! only right for the first size of a run.

use std::time::{Duration, Instant};

use record::{
    Attach, Body, Decision, GrantId, MAX_CACHED_CHECKPOINTS, RECORD_WINDOW_OFFSETS, Record,
};
use sample::{add, id, set};
use serde_json::json;
use state::{State, chunks, from_text, to_text};
use tree::{Change, Edit, NodeKind};
use units::{EndpointId, Epoch, Offset, ReplicaIndex, Revision};

/// The limit of one chunk's data.
const CHUNK: usize = 64 << 10;
/// How many records of each kind are measured.
const ROUNDS: usize = 2000;
/// How often each measurement is made; the shortest counts, because the machine has other work too.
const REPEATS: usize = 9;
/// How many replicas a model may have.
const MOST: usize = 8;

/// How much there is of everything.
struct Scale {
    name: &'static str,
    models: usize,
    adapters: usize,
    endpoints: usize,
}

const SCALES: [Scale; 3] = [
    Scale { name: "today", models: 100, adapters: 96, endpoints: 22 },
    Scale { name: "half", models: 115, adapters: 500, endpoints: 1300 },
    Scale { name: "full", models: 230, adapters: 1000, endpoints: 2600 },
];

/// A process that applies the log's text, and the time this takes by kind of record.
struct Bench {
    state: State,
    count: u64,
    rows: Vec<(&'static str, usize, Duration)>,
}

impl Bench {
    fn new() -> Self {
        Self { state: State::default(), count: 0, rows: Vec::new() }
    }

    /// Applies records as text and notes the time.
    fn measure(&mut self, kind: &'static str, bodies: Vec<Body>) {
        let texts: Vec<Vec<u8>> = bodies.into_iter().map(|body| self.text(body)).collect();
        let first = self.state.offset();
        let start = Instant::now();
        for (offset, text) in (first.0 + 1..).map(Offset).zip(&texts) {
            let applied = self.state.apply_bytes(offset, text);
            assert!(applied.is_done(), "{kind}: {:?}", applied.verdicts);
        }
        self.rows.push((kind, texts.len(), start.elapsed()));
    }

    fn text(&mut self, body: Body) -> Vec<u8> {
        self.count += 1;
        let name = format!("entry-3-0a1b2c3d-{:08}", self.count);
        let seen = self.state.offset();
        let record = Record::new(name, id("entry-3"), self.count, seen, body);
        serde_json::to_vec(&record).expect("records are text")
    }
}

fn edit(base: Offset, name: String, changes: Vec<Change>) -> Body {
    let base = Revision::from(base);
    Body::Edit(Edit { id: id(&name), author: "amna".to_owned(), base, changes })
}

/// One branch with the settings that all models inherit.
fn branch() -> Vec<Change> {
    vec![
        add("/hall", NodeKind::Branch),
        set("/hall", "service", json!("assist-llm")),
        set("/hall", "replicas-most", json!(MOST)),
        set("/hall", "weights", json!("8GiB")),
        set("/hall", "kv-room", json!("2GiB")),
        set("/hall", "deadline", json!("30s")),
    ]
}

/// One model with two versions, its adapters and a few settings of its own.
fn model(number: usize, scale: &Scale) -> Vec<Change> {
    let path = format!("/hall/model-{number:03}");
    let mut changes = vec![
        add(&path, NodeKind::Model),
        add(&format!("{path}/v1"), NodeKind::Version),
        add(&format!("{path}/v2"), NodeKind::Version),
        set(&path, "version", json!("v1")),
        set(&path, "queue", json!(64)),
        set(&path, "keep-warm", json!("5m")),
    ];
    let own = (0..scale.adapters).filter(|adapter| adapter % scale.models == number);
    changes.extend(own.map(|n| add(&format!("{path}/adapter-{n:04}"), NodeKind::Adapter)));
    changes
}

fn attach(number: usize) -> Body {
    let addr = format!("10.{}.{}.{}:7001", number / 62500, number / 250 % 250, number % 250 + 1);
    let addr = addr.parse().expect("an address");
    let cached = (0..MAX_CACHED_CHECKPOINTS)
        .map(|n| id(&format!("model-{:03}@v1", (number + n * 29) % 230)))
        .collect();
    Body::Attach(Attach {
        instance: id(&format!("assist-{number:04}-5f3a")),
        domain: id(&format!("domain-{}", number % 8)),
        service: id("assist-llm"),
        cached,
        ..sample::attach(&format!("assist-{number:04}"), addr)
    })
}

/// Grants spread over models and endpoints: as many as there are endpoints, within the bounds.
fn grants(scale: &Scale) -> Vec<Decision> {
    let count = scale.endpoints.min(scale.models * MOST);
    (0..count).map(|number| grant(scale, number)).collect()
}

fn grant(scale: &Scale, number: usize) -> Decision {
    let model = number % scale.models;
    Decision::Grant {
        model: id(&format!("model-{model:03}")),
        index: ReplicaIndex((number / scale.models) as u32),
        artifact: id(&format!("model-{model:03}@v1")),
        endpoint: id(&format!("assist-{number:04}")),
        reason: "demand of 3.2 requests a second".to_owned(),
    }
}

fn decide(epoch: Epoch, decisions: Vec<Decision>) -> Body {
    Body::Decide { epoch, decisions }
}

fn build(bench: &mut Bench, scale: &Scale) {
    bench.measure("claim", vec![Body::Claim { previous: Epoch(0) }]);
    let epoch = bench.state.lease().epoch;
    bench.measure("branch", vec![edit(Offset(0), "branch".to_owned(), branch())]);
    let base = bench.state.offset();
    let models = |number| edit(base, format!("model-{number}"), model(number, scale));
    bench.measure("edit that adds a model", (0..scale.models).map(models).collect());
    bench.measure("attach", (0..scale.endpoints).map(attach).collect());
    let granted = grants(scale);
    let batches = granted.chunks(100).map(|batch| decide(epoch, batch.to_vec())).collect();
    bench.measure("decide of 100 grants", batches);
}

/// Revokes, releases and grants again, one after the other.
fn churn(bench: &mut Bench, scale: &Scale) {
    let epoch = bench.state.lease().epoch;
    let held: Vec<_> =
        bench.state.grants().take(ROUNDS).map(|g| (g.id, g.endpoint.clone())).collect();
    let revoke = |grant: GrantId| Decision::Revoke { grant, reason: "idle".to_owned() };
    bench.measure("revoke", held.iter().map(|(g, _)| decide(epoch, vec![revoke(*g)])).collect());
    let incarnation =
        |endpoint: &EndpointId| bench.state.member(endpoint).map(|member| member.incarnation);
    let release = |(grant, endpoint): &(GrantId, EndpointId)| Body::Release {
        endpoint: endpoint.clone(),
        incarnation: incarnation(endpoint).unwrap_or_default(),
        grants: vec![*grant],
    };
    let releases = held.iter().map(release).collect();
    bench.measure("release", releases);
    let again = grants(scale).into_iter().take(held.len());
    bench.measure("grant", again.map(|g| decide(epoch, vec![g])).collect());
}

fn steady(bench: &mut Bench, scale: &Scale) {
    let epoch = bench.state.lease().epoch;
    bench.measure("renew", vec![Body::Renew { epoch }; ROUNDS]);
    let base = bench.state.offset();
    let queue = |number: usize| {
        let path = format!("/hall/model-{number:03}");
        edit(base, format!("queue-{number}"), vec![set(&path, "queue", json!(number + 1))])
    };
    bench.measure("edit of one setting", (0..scale.models).map(queue).collect());
    bench.measure(
        "renew, to fill the window",
        vec![Body::Renew { epoch }; RECORD_WINDOW_OFFSETS as usize],
    );
}

fn shortest<T>(mut work: impl FnMut() -> T) -> Duration {
    let once = |_| {
        let start = Instant::now();
        std::hint::black_box(work());
        start.elapsed()
    };
    (0..REPEATS).map(once).min().unwrap_or_default()
}

fn snapshot(state: &State) {
    let json = serde_json::to_vec(state).expect("a state is text").len();
    let text = to_text(state);
    let wrote = shortest(|| to_text(state));
    let restored = shortest(|| from_text(&text).expect("it is whole"));
    let parts = chunks(state, CHUNK).len();
    println!("  snapshot: {json} bytes of JSON, {} packed, {parts} chunks of 64 KiB", text.len());
    println!("  snapshot: written in {wrote:.1?}, restored in {restored:.1?}");
}

/// What one more state takes: the growth of resident memory with several restored ones, shared out.
fn memory(state: &State) -> u64 {
    let text = to_text(state);
    let first = from_text(&text);
    let before = resident();
    let states: Vec<_> = (0..REPEATS).map(|_| from_text(&text)).collect();
    let grown = resident().saturating_sub(before);
    drop((first, states));
    grown / REPEATS as u64
}

fn run(scale: &Scale) -> Bench {
    let mut bench = Bench::new();
    build(&mut bench, scale);
    steady(&mut bench, scale);
    churn(&mut bench, scale);
    bench
}

/// The resident memory of this process, in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or_default()
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [models, adapters, endpoints] = args.as_slice() {
        let number = |text: &String| text.parse().expect("a number");
        let (models, adapters) = (number(models), number(adapters));
        report(&Scale { name: "asked", models, adapters, endpoints: number(endpoints) });
        return;
    }
    let wanted = |scale: &&Scale| args.first().is_none_or(|name| name == scale.name);
    SCALES.iter().filter(wanted).for_each(report);
}

fn report(scale: &Scale) {
    println!(
        "{}: {} models, {} adapters, {} endpoints",
        scale.name, scale.models, scale.adapters, scale.endpoints
    );
    let bench = run(scale);
    println!("  a state takes {} KiB", memory(&bench.state));
    let others: Vec<Bench> = (1..REPEATS).map(|_| run(scale)).collect();
    for (row, (kind, count, time)) in bench.rows.iter().enumerate() {
        let best = others.iter().map(|bench| bench.rows[row].2).fold(*time, Duration::min);
        let each = best / (*count).max(1) as u32;
        let rate = *count as f64 / best.as_secs_f64();
        println!("  {kind}: {count} records, {each:.1?} each, {rate:.0}/s");
    }
    snapshot(&bench.state);
}
