//! `hyssop-load bench`: what the way through entry and agent costs, and what overload leaves.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;
use thiserror::Error;
use tree::Class;
use units::{ModelName, Rate, Span};

use crate::answer::Expected;
use crate::caller::{Ask, Caller, Door};
use crate::children::ChildError;
use crate::clock::Clock;
use crate::evidence::{Call, Ending};
use crate::experiment::{Experiment, Load, Shape, Target};
use crate::fleet::Fleet;
use crate::publish::{self, PublishError};
use crate::report::Percentiles;
use crate::run::{self, RunError};
use crate::site::{Layout, Sample, Scale, Site, SiteError};

/// Calls one after the other, for latency.
const SINGLE: usize = 400;
/// Callers at the same time, for throughput: as many as one replica runs at once.
const CALLERS: usize = 8;
/// Calls of each of them.
const EACH: usize = 250;
/// How often latency and throughput are measured, straight and through in turn.
const ROUNDS: usize = 3;
/// What one replica serves a second in the overload test: 8 at once, about 0.33 s each.
const CAPACITY: f64 = 24.0;
const OVERLOAD_MODEL: &str = "page-outline";
const OVERLOAD_WARM: Span = Span::secs(10);
const OVERLOAD_LASTS: Span = Span::secs(20);
const OVERLOAD_TOKENS: u32 = 12;
const OVERLOAD_DEADLINE: Span = Span::secs(3);
const SCALE: Scale = Scale { engines: 2, services: 0, entries: 1 };

/// Why the bench could not be carried through.
#[derive(Debug, Error)]
pub(crate) enum BenchError {
    /// The deployment could not be written down.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// A process failed.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// The configuration is not in force.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// An overload run failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// No engine has the model.
    #[error("no call through the entry was served: {0}")]
    Cold(String),
    /// The result can't be written.
    #[error("cannot write the result: {0}")]
    Write(#[from] std::io::Error),
}

/// The result of the bench.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Bench {
    /// The machine's load average of the last minute, as the bench itself and others caused it.
    busy: f64,
    /// Latency of single calls straight to the engine.
    straight: Percentiles,
    /// Latency of single calls through the entry.
    through: Percentiles,
    /// What the way through entry and agent adds to the median, in milliseconds.
    added: f64,
    /// Median latency through the entry over that straight to the engine.
    latency_ratio: f64,
    /// Calls a second straight to the engine.
    straight_rate: f64,
    /// Calls a second through the entry.
    through_rate: f64,
    /// Calls a second through the entry over those straight to the engine.
    rate_ratio: f64,
    /// Calls served in time a second, at about the capacity of one replica.
    goodput: f64,
    /// The same at twice that load.
    overload_goodput: f64,
    /// Goodput at overload over goodput at capacity.
    goodput_ratio: f64,
}

/// Where the programs are and results go.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) bin: PathBuf,
    pub(crate) out: PathBuf,
}

/// Runs the bench, prints it beside the last result, and writes it in its place.
pub(crate) async fn run(job: Job) -> Result<(), BenchError> {
    let file = job.out.join("bench.json");
    let last = std::fs::read(&file).ok().and_then(|text| serde_json::from_slice(&text).ok());
    let logs = job.out.join("bench-logs");
    let bench = measure(&job.bin, &logs).await?;
    bench.print(last.as_ref());
    std::fs::write(&file, serde_json::to_string_pretty(&bench).unwrap_or_default() + "\n")?;
    println!("result: {}", file.display());
    Ok(())
}

async fn measure(bin: &Path, logs: &Path) -> Result<Bench, BenchError> {
    let overhead = overhead(bin, logs).await?;
    let goodput = serve_steady("bench-1x", CAPACITY, bin, logs).await?;
    let overload_goodput = serve_steady("bench-2x", 2.0 * CAPACITY, bin, logs).await?;
    let (straight, through) = (overhead.straight.latency(), overhead.through.latency());
    let (straight_rate, through_rate) = (overhead.straight.rate(), overhead.through.rate());
    Ok(Bench {
        busy: busy(),
        added: through.p50 - straight.p50,
        latency_ratio: through.p50 / straight.p50,
        rate_ratio: through_rate / straight_rate,
        straight,
        through,
        straight_rate,
        through_rate,
        goodput,
        overload_goodput,
        goodput_ratio: overload_goodput / goodput,
    })
}

/// Calls over one of the two ways.
#[derive(Debug, Default)]
struct Way {
    single: Vec<Duration>,
    calls: usize,
    spent: Duration,
}

impl Way {
    fn latency(&self) -> Percentiles {
        Percentiles::of(self.single.iter().copied())
    }

    fn rate(&self) -> f64 {
        self.calls as f64 / self.spent.as_secs_f64()
    }

    async fn measure(&mut self, caller: &Caller, clock: Clock, addr: SocketAddr, ask: &Ask) {
        let doors = [Door { name: "bench".to_owned(), addr }];
        for _ in 0..SINGLE {
            let call = caller.send(&doors, ask, clock.now()).await;
            self.single.push(call.done.saturating_sub(call.at));
        }
        let begun = clock.now();
        join_all((0..CALLERS).map(|_| async {
            for _ in 0..EACH {
                caller.send(&doors, ask, clock.now()).await;
            }
        }))
        .await;
        self.spent += clock.now() - begun;
        self.calls += CALLERS * EACH;
    }
}

#[derive(Debug, Default)]
struct Overhead {
    straight: Way,
    through: Way,
}

/// Measures calls of one token straight to a fast engine and through the entry, in turn.
async fn overhead(bin: &Path, logs: &Path) -> Result<Overhead, BenchError> {
    let clock = Clock::start();
    let fast = [("first_token", json!("0s")), ("token", json!("0s")), ("slots", json!(CALLERS))];
    let engine = fast.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    let layout = Layout { sample: Sample::Press, scale: SCALE, engine, blind: 0 };
    let site = Site::write(&layout, bin, logs)?;
    let mut fleet = Fleet::start(site, clock).await?;
    let measured = both_ways(bin, &fleet.site, clock).await;
    fleet.stop_system().await;
    fleet.stop_rest().await;
    measured
}

async fn both_ways(bin: &Path, site: &Site, clock: Clock) -> Result<Overhead, BenchError> {
    let model = Sample::Press.cold_model();
    publish::tree(Sample::Press, site, bin, clock).await?;
    publish::granted(site, std::slice::from_ref(&model)).await?;
    let caller = Caller::new(clock);
    let through = short(model.as_str());
    let call = caller.send(&site.doors, &through, clock.now()).await;
    let warm = warm_engine(&caller, clock, site, &model, &call).await?;
    let mut overhead = Overhead::default();
    for _ in 0..ROUNDS {
        overhead.straight.measure(&caller, clock, warm.addr, &warm.ask).await;
        overhead.through.measure(&caller, clock, site.doors[0].addr, &through).await;
    }
    Ok(overhead)
}

/// An engine that has the model ready, and how to ask it.
struct Warm {
    addr: SocketAddr,
    ask: Ask,
}

async fn warm_engine(
    caller: &Caller,
    clock: Clock,
    site: &Site,
    model: &ModelName,
    first: &Call,
) -> Result<Warm, BenchError> {
    if first.ending != Ending::Served {
        return Err(BenchError::Cold(first.text.clone()));
    }
    let mut ledger = crate::ledger::Ledger::new(site.log);
    ledger.catch_up().await;
    for grant in ledger.state().grants_of(model) {
        let Some(place) = site.engines.iter().find(|p| p.name == grant.endpoint.as_str()) else {
            continue;
        };
        let ask = short(grant.artifact.as_str());
        let door = Door { name: place.name.clone(), addr: place.endpoint };
        let call = caller.send(&[door], &ask, clock.now()).await;
        if call.status == 200 {
            return Ok(Warm { addr: place.endpoint, ask });
        }
    }
    Err(BenchError::Cold("no engine has the model ready".to_owned()))
}

/// A completion of one token that is not streamed.
fn short(model: &str) -> Ask {
    let body = json!({ "model": model, "prompt": "bench", "max_tokens": 1 }).to_string();
    Ask {
        method: Method::POST,
        path: "/v1/completions".to_owned(),
        body: body.into(),
        target: model.to_owned(),
        class: Class::Interactive,
        deadline: Span::secs(20),
        key: None,
        expected: Expected::Refusal,
    }
}

/// Calls served in time a second when the one replica of a warm model gets so many.
async fn serve_steady(name: &str, rate: f64, bin: &Path, logs: &Path) -> Result<f64, BenchError> {
    let load = |shape, from, deadline| Load {
        name: "bench".to_owned(),
        from,
        to: None,
        shape,
        class: Class::Interactive,
        deadline,
        target: Target::Models {
            names: vec![OVERLOAD_MODEL.to_owned()],
            skew: 0.0,
            tokens: OVERLOAD_TOKENS,
        },
    };
    let wake = Shape::WakeBurst { count: 1, spread: Span::default(), every: Span::default() };
    let steady = Shape::Steady { rate: Rate(rate) };
    let experiment = Experiment {
        deployment: Sample::Press,
        scale: SCALE,
        engine: Default::default(),
        seed: 1,
        lasts: Span(OVERLOAD_WARM.0 + OVERLOAD_LASTS.0),
        loads: vec![
            load(wake, Span::default(), OVERLOAD_WARM),
            load(steady, OVERLOAD_WARM, OVERLOAD_DEADLINE),
        ],
        faults: Vec::new(),
    };
    let found = run::carry_out(&experiment, name, bin, logs).await?;
    let begin = found.start + OVERLOAD_WARM.0;
    let served = found.calls.iter().filter(|call| call.at >= begin && in_time(call)).count();
    Ok(served as f64 / OVERLOAD_LASTS.0.as_secs_f64())
}

fn in_time(call: &Call) -> bool {
    call.ending == Ending::Served && call.done.saturating_sub(call.at) <= call.deadline
}

/// The machine's load average of the last minute; nothing where it can't be read.
fn busy() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|word| word.parse().ok()).unwrap_or_default()
}

impl Bench {
    fn print(&self, last: Option<&Self>) {
        let row = |name: &str, value: fn(&Self) -> f64| {
            let last = last.map_or("-".to_owned(), |last| format!("{:.2}", value(last)));
            println!("{name:<48} {last:>10} {:>10.2}", value(self));
        };
        println!("\n{:<48} {:>10} {:>10}", "", "last", "now");
        row("load average of the machine", |b| b.busy);
        row("straight to the engine, p50 (ms)", |b| b.straight.p50);
        row("through the entry, p50 (ms)", |b| b.through.p50);
        row("through the entry, p99 (ms)", |b| b.through.p99);
        row("added to p50 by the way through (ms)", |b| b.added);
        row("latency p50, through over straight", |b| b.latency_ratio);
        row("straight to the engine (calls/s)", |b| b.straight_rate);
        row("through the entry (calls/s)", |b| b.through_rate);
        row("calls/s, through over straight", |b| b.rate_ratio);
        row("goodput at about capacity (calls/s)", |b| b.goodput);
        row("goodput at twice that (calls/s)", |b| b.overload_goodput);
        row("goodput, overload over capacity", |b| b.goodput_ratio);
    }
}
