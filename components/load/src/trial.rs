//! `hyssop-load try`: a sample deployment, a burst to a cold model, and every promise checked.

use std::path::{Path, PathBuf};
use std::time::Duration;

use futures_util::future::join_all;
use timeline::Event;
use tokio::time::{Instant, sleep, sleep_until};
use units::ModelName;
use web::Client;

use crate::caller::{Caller, Door};
use crate::checks::{self, Row};
use crate::clock::Clock;
use crate::evidence::{Call, Ending, Evidence, Period};
use crate::fleet::{Fleet, terminate};
use crate::probe::{Probe, Probed, completion, unrepeatable};
use crate::run::RunError;
use crate::site::{Layout, Sample, Scale, Site};
use crate::truth::Truth;
use crate::watch::Watch;
use crate::{lines, publish, table};

/// How many requests the burst has.
const BURST: usize = 30;
/// How many tokens each asks for.
const TOKENS: u32 = 12;
/// Calls while an agent stops, and the pause between them.
const LOAD_CALLS: u32 = 60;
const LOAD_PAUSE: Duration = Duration::from_millis(150);
/// How long they come before the stop.
const LOAD_LEAD: Duration = Duration::from_secs(1);
/// How long the end of the trial waits, so that late executions would be seen.
const SETTLE: Duration = Duration::from_secs(1);
/// How many events of the time line are printed.
const EVENTS: usize = 40;

const SCALE: Scale = Scale { engines: 6, services: 2, entries: 3 };

/// What to try.
#[derive(Debug)]
pub(crate) struct Trial {
    /// The sample deployment.
    pub(crate) sample: Sample,
    /// Where the programs are.
    pub(crate) bin: PathBuf,
    /// Where settings files and logs go.
    pub(crate) out: PathBuf,
}

/// What a trial found.
struct Found {
    evidence: Evidence,
    probes: Vec<Probed>,
    rows: Vec<Row>,
    events: Vec<Event>,
    truth: Truth,
    decided: usize,
    model: ModelName,
}

/// Runs a trial, prints what it found, and says whether all promises held.
pub(crate) async fn run(trial: Trial) -> Result<bool, RunError> {
    let begun = Instant::now();
    let clock = Clock::start();
    let layout =
        Layout { sample: trial.sample, scale: SCALE, engine: Default::default(), blind: 0 };
    let site = Site::write(&layout, &trial.bin, &trial.out)?;
    let mut fleet = Fleet::start(site, clock).await?;
    println!("started {} processes after {}", fleet.len(), table::millis(begun.elapsed()));
    let found = carry_through(&trial, &mut fleet, clock).await;
    fleet.stop_rest().await;
    let found = found?;
    found.print();
    println!("took {:.1} s", begun.elapsed().as_secs_f64());
    Ok(found.sound())
}

async fn carry_through(trial: &Trial, fleet: &mut Fleet, clock: Clock) -> Result<Found, RunError> {
    let client = Client::default();
    let caller = Caller::new(clock);
    let model = trial.sample.cold_model();
    let watch = Watch::start(&fleet.site, clock);
    let mut evidence = Evidence::default();

    let publish = publish::tree(trial.sample, &fleet.site, &trial.bin, clock).await?;
    println!("published {} as revision {}", trial.sample.tree().display(), publish.revision);
    evidence.publishes.push(publish);
    let decided = publish::granted(&fleet.site, std::slice::from_ref(&model)).await?;
    let decided = decided.iter().sum();
    println!("{decided} replicas of `{model}` are decided");

    let doors = fleet.site.doors.clone();
    evidence.calls = burst(&caller, &doors, &model, clock).await;
    let events = lines::collect(&fleet.site, &client).await;
    println!("stopping an agent under load");
    let leaving = Departure { trial, caller: &caller, model: &model, clock };
    leaving.carry_through(fleet, &mut evidence).await?;
    evidence.calls.extend(keyed(&caller, &doors, trial.sample, clock).await);
    let mut probes = Vec::new();
    for probe in Probe::ALL {
        probes.push(probe.send(&caller, clock, &doors[0], model.as_str()).await);
    }
    evidence.calls.extend(probes.iter().filter_map(|probed| probed.call.clone()));

    evidence.stops.extend(fleet.stop_system().await);
    sleep(SETTLE).await;
    let samples = watch.finish().await;
    evidence.replicas = samples.replicas;
    evidence.revisions = samples.revisions;
    let truth = Truth::read(&fleet.site, &client).await?;
    truth.tell(&mut evidence);
    let rows = checks::all(&evidence);
    Ok(Found { evidence, probes, rows, events, truth, decided, model })
}

/// Sends many requests to one cold model through all entries at once.
async fn burst(caller: &Caller, doors: &[Door], model: &ModelName, clock: Clock) -> Vec<Call> {
    let asks: Vec<_> = (0..BURST)
        .map(|n| completion(model.as_str(), &format!("page {n} of the picture book"), TOKENS))
        .collect();
    let at = clock.now();
    let calls = asks.iter().enumerate().map(|(n, ask)| {
        let door = &doors[n % doors.len()];
        caller.send(std::slice::from_ref(door), ask, at)
    });
    join_all(calls).await
}

/// The stop of an agent that serves, and a change of the configuration, under load.
struct Departure<'a> {
    trial: &'a Trial,
    caller: &'a Caller,
    model: &'a ModelName,
    clock: Clock,
}

impl Departure<'_> {
    async fn carry_through(
        &self,
        fleet: &mut Fleet,
        evidence: &mut Evidence,
    ) -> Result<(), RunError> {
        let name = publish::holder(&fleet.site, self.model).await?;
        let agent = fleet.take(&name);
        let doors = fleet.site.doors.clone();
        let load = self.load(&doors);
        let stop = async {
            sleep(LOAD_LEAD).await;
            let from = self.clock.now();
            match agent {
                Some(agent) => Some((from, terminate(agent, self.clock).await)),
                None => None,
            }
        };
        let site = &fleet.site;
        let change = publish::change(self.trial.sample, site, &self.trial.bin, self.clock);
        let (calls, stop, publish) = tokio::join!(load, stop, change);
        evidence.calls.extend(calls);
        evidence.publishes.push(publish?);
        if let Some((from, stop)) = stop {
            evidence.departures.push(Period { name, from, to: self.clock.now() });
            evidence.stops.push(stop);
        }
        Ok(())
    }

    /// Calls at a steady rate, for longer than a leaving endpoint may get new work.
    async fn load(&self, doors: &[Door]) -> Vec<Call> {
        let start = self.clock.now();
        let calls = (0..LOAD_CALLS).map(|n| async move {
            let at = start + LOAD_PAUSE * n;
            sleep_until(self.clock.instant(at)).await;
            let ask = completion(self.model.as_str(), &format!("line {n}"), TOKENS);
            let door = &doors[n as usize % doors.len()];
            self.caller.send(std::slice::from_ref(door), &ask, at).await
        });
        join_all(calls).await
    }
}

/// Sends a call that may not be repeated, and at the same time a repeat of it through another entry.
async fn keyed(caller: &Caller, doors: &[Door], sample: Sample, clock: Clock) -> Vec<Call> {
    let ask = unrepeatable(sample.service(), sample.unrepeatable(), "try-1", "{\"page\":7}");
    let at = clock.now();
    join_all(doors.iter().take(2).map(|door| caller.send(std::slice::from_ref(door), &ask, at)))
        .await
}

impl Found {
    fn sound(&self) -> bool {
        let kept = self.rows.iter().all(|row| row.violations.is_empty());
        let probed = self.probes.iter().all(|probed| probed.right);
        let keyed = self.evidence.calls.iter().filter(|call| call.key.is_some());
        let keyed = keyed.filter(|call| call.ending == Ending::Served).count() == 1;
        let served = self.burst().any(|call| call.ending == Ending::Served);
        kept && probed && keyed && served
    }

    fn burst(&self) -> impl Iterator<Item = &Call> {
        self.evidence.calls.iter().take(BURST)
    }

    fn print(&self) {
        self.print_answers();
        self.print_truth();
        self.print_events();
        println!("\n{}", table::promises(&self.rows));
    }

    fn print_answers(&self) {
        let burst: Vec<Call> = self.burst().cloned().collect();
        println!("\nburst of {BURST} to `{}`: {}", self.model, table::endings(&burst));
        for call in burst.iter().take(3) {
            let id = call.request.as_ref().map_or("-", |id| id.as_str());
            println!("  {id} through {}: {}", call.entry, table::shorten(&call.text));
        }
        let served = burst.iter().filter(|call| call.ending == Ending::Served);
        let mut firsts: Vec<Duration> =
            served.filter_map(|call| Some(call.first?.saturating_sub(call.at))).collect();
        firsts.sort();
        let show = |part| table::quantile(&firsts, part).map_or("-".to_owned(), table::millis);
        println!("cold start, first request to first token: p50 {}, max {}", show(0.5), show(1.0));
        let rest: Vec<Call> =
            self.evidence.calls.iter().skip(BURST).take(LOAD_CALLS as usize).cloned().collect();
        println!("{LOAD_CALLS} calls while an agent stopped: {}", table::endings(&rest));
        println!("not repeatable, sent twice with one key:");
        for call in self.evidence.calls.iter().filter(|call| call.key.is_some()) {
            println!(
                "  {} ({}) {}",
                table::word(call.ending),
                call.status,
                table::shorten(&call.text)
            );
        }
        println!("bad requests:");
        for probed in &self.probes {
            let verdict = if probed.right { "right" } else { "WRONG" };
            let (wanted, got) = (probed.probe.status(), probed.status);
            let text = table::shorten(&probed.text);
            println!("  {:<16} {got} (wanted {wanted}) {verdict}: {text}", probed.probe);
        }
    }

    fn print_truth(&self) {
        let name = self.model.as_str();
        let own = |artifact: &ModelName| artifact.as_str().split('@').next() == Some(name);
        let samples = || self.evidence.replicas.iter().filter(|sample| own(&sample.artifact));
        let loaded = samples().map(|sample| sample.loaded.len()).max().unwrap_or(0);
        let granted = samples().map(|sample| sample.decided).max().unwrap_or(0);
        println!("\nreplicas of `{name}`: {} decided before the burst", self.decided);
        println!("  then at most {loaded} loaded and {granted} decided at one time");
        println!("memory, most held of capacity:");
        for mark in &self.evidence.memory {
            let part = mark.high as f64 / mark.capacity.max(1) as f64 * 100.0;
            println!("  {:<14} {part:>5.1} %", mark.endpoint);
        }
        let runs = self.truth.runs(&self.evidence);
        let runs: Vec<String> =
            runs.iter().map(|(runs, ids)| format!("{ids} ids ran {runs} times")).collect();
        println!("executions: {}", runs.join(", "));
    }

    fn print_events(&self) {
        let served = self.burst().filter(|call| call.ending == Ending::Served);
        let first = served.filter_map(|call| Some((call.first?, call.request.as_ref()?))).min();
        let request = first.map(|(_, id)| id);
        let events = lines::about(&self.events, &self.model, request);
        let start = events.first().map_or(0, |event| event.wall);
        println!("\ntime line of the cold start:");
        for event in events.iter().take(EVENTS) {
            println!("  {}", lines::line(event, start));
        }
        if events.len() > EVENTS {
            println!("  and {} more", events.len() - EVENTS);
        }
    }
}

/// Where the programs are, unless the command line says so: beside this one.
pub(crate) fn own_folder() -> PathBuf {
    let own = std::env::current_exe().ok();
    own.as_deref().and_then(Path::parent).unwrap_or(Path::new(".")).to_owned()
}
