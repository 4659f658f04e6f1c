//! `hyssop-load affinity`: what preferring replicas with a cached prompt prefix brings, in one run.

use std::path::{Path, PathBuf};
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::json;
use tree::Class;
use units::Span;
use web::{CallError, Client};

use crate::answer::Expected;
use crate::caller::{Ask, Caller};
use crate::clock::Clock;
use crate::evidence::{Call, Ending};
use crate::fleet::Fleet;
use crate::publish;
use crate::report::Percentiles;
use crate::run::RunError;
use crate::site::{Layout, Sample, Scale, Site};
use crate::truth::Truth;

const SCALE: Scale = Scale { engines: 4, services: 0, entries: 4 };
/// Callers at the same time: three quarters of what four replicas run at once.
const CALLERS: u64 = 24;
/// Callers before that, so that all replicas wake.
const CROWD: u64 = 64;
/// Prompts with different starts; an engine keeps a third of them.
const STARTS: u32 = 96;
const KEPT: u32 = 32;
/// How long each way is measured.
const LASTS: Duration = Duration::from_secs(24);
/// How long the crowd waits for the first replica, and then for the others.
const FIRST_WAKE: Duration = Duration::from_secs(8);
const WAKE: Duration = Duration::from_secs(20);
/// A deadline that the crowd's queue at one replica would miss.
const SHORT: Span = Span::millis(2400);
/// The pause of a caller that was refused.
const PAUSE: Duration = Duration::from_millis(100);
const FIRST_TOKEN: Span = Span::millis(400);
const TOKENS: u32 = 8;
const DEADLINE: Span = Span::secs(8);

/// Where the programs are and results go.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) bin: PathBuf,
    pub(crate) out: PathBuf,
}

/// What one way has shown.
#[derive(Debug, Serialize)]
struct Way {
    calls: usize,
    failed: usize,
    first: Percentiles,
    /// Requests that the engines began, and those whose prefix was cached.
    runs: Count,
}

#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Count {
    runs: u64,
    hits: u64,
}

#[derive(Debug, Serialize)]
struct Affinity {
    with: Way,
    without: Way,
    /// Hits of all runs with affinity over those without.
    hit_ratio: f64,
    /// Median time to the first token with affinity over that without.
    first_ratio: f64,
}

/// Measures both ways in turn, prints the result and writes it down.
pub(crate) async fn run(job: Job) -> Result<(), RunError> {
    let with = deploy(&job, "with", 0).await?;
    let without = deploy(&job, "without", SCALE.entries).await?;
    let hit_ratio = with.runs.share() / without.runs.share();
    let first_ratio = with.first.p50 / without.first.p50;
    let affinity = Affinity { with, without, hit_ratio, first_ratio };
    let text = serde_json::to_string_pretty(&affinity).unwrap_or_default();
    println!("{text}");
    std::fs::write(job.out.join("affinity.json"), text + "\n")?;
    Ok(())
}

/// Starts a deployment of its own for a way, so that its caches are its own, and measures there.
async fn deploy(job: &Job, name: &str, blind: usize) -> Result<Way, RunError> {
    let clock = Clock::start();
    let engine = [("first_token", json!(FIRST_TOKEN)), ("prefixes", json!(KEPT))];
    let engine = engine.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    let layout = Layout { sample: Sample::Press, scale: SCALE, engine, blind };
    let site = Site::write(&layout, &job.bin, &job.out.join("affinity-logs"))?;
    let mut fleet = Fleet::start(site, clock).await?;
    let measured = measure(&job.bin, &fleet.site, clock, name).await;
    fleet.stop_system().await;
    fleet.stop_rest().await;
    measured
}

async fn measure(bin: &Path, site: &Site, clock: Clock, name: &str) -> Result<Way, RunError> {
    publish::tree(Sample::Press, site, bin, clock).await?;
    publish::granted(site, &[Sample::Press.cold_model()]).await?;
    let stage = Stage { site, client: Client::default(), caller: Caller::new(clock), clock };
    let crowd = Crowd { callers: CROWD, deadline: DEADLINE };
    stage.round("first-wake", FIRST_WAKE, crowd).await?;
    stage.round("wake", WAKE, Crowd { deadline: SHORT, ..crowd }).await?;
    Ok(stage.round(name, LASTS, Crowd { callers: CALLERS, ..crowd }).await?)
}

/// How many callers there are, and how long they wait.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    callers: u64,
    deadline: Span,
}

struct Stage<'a> {
    site: &'a Site,
    client: Client,
    caller: Caller,
    clock: Clock,
}

impl Stage<'_> {
    /// Lets callers ask one after the other for a while; each round has prompts of its own.
    async fn round(&self, name: &str, lasts: Duration, crowd: Crowd) -> Result<Way, CallError> {
        let before = self.count().await?;
        let end = self.clock.now() + lasts;
        let calls = (0..crowd.callers).map(|seed| self.ask_until(name, end, crowd.deadline, seed));
        let calls = join_all(calls).await;
        let after = self.count().await?;
        let calls: Vec<Call> = calls.into_iter().flatten().collect();
        let served = calls.iter().filter(|call| call.ending == Ending::Served);
        let times: Vec<Duration> =
            served.filter_map(|call| Some(call.first?.saturating_sub(call.at))).collect();
        let runs = Count { runs: after.runs - before.runs, hits: after.hits - before.hits };
        let failed = calls.len() - times.len();
        let way = Way { calls: calls.len(), failed, first: Percentiles::of(times), runs };
        println!("{name}: {} calls, {failed} failed, {:.2} hits", way.calls, runs.share());
        Ok(way)
    }

    async fn ask_until(&self, name: &str, end: Duration, deadline: Span, seed: u64) -> Vec<Call> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let doors = &self.site.doors;
        let mut calls = Vec::new();
        while self.clock.now() < end {
            let start = rng.random_range(0..STARTS);
            let door = &doors[rng.random_range(0..doors.len())];
            let ask = Ask { deadline, ..page(name, start, calls.len()) };
            let door = std::slice::from_ref(door);
            let call = self.caller.send(door, &ask, self.clock.now()).await;
            if call.ending != Ending::Served {
                tokio::time::sleep(PAUSE).await;
            }
            calls.push(call);
        }
        calls
    }

    async fn count(&self) -> Result<Count, CallError> {
        let truth = Truth::read(self.site, &self.client).await?;
        let mut count = Count::default();
        for engine in truth.engines.values() {
            count.hits += engine.hits;
            count.runs += engine.executions.values().map(|run| u64::from(run.runs)).sum::<u64>();
        }
        Ok(count)
    }
}

/// A streamed completion whose prompt starts like many others.
fn page(round: &str, start: u32, page: usize) -> Ask {
    let model = Sample::Press.cold_model();
    let story = format!("{round} {start} ").repeat(16);
    let prompt = format!("{story}page {page}");
    let body = json!({ "model": model, "prompt": prompt, "stream": true, "max_tokens": TOKENS });
    Ask {
        method: Method::POST,
        path: "/v1/completions".to_owned(),
        body: body.to_string().into(),
        target: model.to_string(),
        class: Class::Interactive,
        deadline: DEADLINE,
        key: None,
        expected: Expected::Refusal,
    }
}

impl Count {
    fn share(self) -> f64 {
        self.hits as f64 / self.runs as f64
    }
}
