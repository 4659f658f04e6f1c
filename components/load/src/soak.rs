//! A soak: routers and loaders as processes before the stand-ins, seeded faults from outside, promises checked.
//!
//! Faults come in series and overlap: links that are cut, slow, lossy or silent, processes that are stopped, paused,
//! killed and started again, servers and a store that misbehave, other writers of its topics, versions of the configuration in a row,
//! each of which takes a key away. Callers go on
//! using their connections until the process behind them is gone.

mod callers;
mod disturbed;
mod keys;
mod releases;
mod world;

use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin_platform::{Behavior, LinkFault, OddRecords, StoreFault};
use tokio::time::{Instant, sleep};

use crate::children::ChildError;
use world::{POISON, World};

/// How long faults go on in one seed.
const PLAYED: Duration = Duration::from_secs(8);
/// Within this time after the last fault all kinds of requests are served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Callers at a time.
const CALLERS: u64 = 12;
/// Callers that send one request again and again which ends the plain servers that run it.
const INSISTING: u64 = 3;
/// Callers of the workspace that asks for more than it may.
const HOT: u64 = 2;
/// Callers that take their streams up again.
const RESUMING: u64 = 8;
/// How often an engine changes the version of its software, for each other fault.
const RELEASED: f64 = 0.2;
/// Makes the times of releases differ from those of other faults.
const RELEASE_SEED: u64 = 1 << 40;
/// Makes the records of other writers differ from other faults.
const ODD_SEED: u64 = 1 << 41;
/// How long a server that ended is gone.
const DOWN: Duration = Duration::from_millis(300);
/// The longest that a process is paused.
const PAUSED: u64 = 2_500;

/// How often the store comes back from a copy, for each other fault.
const RESTORED: f64 = 0.1;
/// How old copies are at most.
const OLDEST: u64 = 9_000;

/// What is to be played.
#[derive(Debug)]
pub(crate) struct Job {
    /// The seeds.
    pub(crate) seeds: Range<u64>,
    /// Whether the store comes back from older copies of itself.
    pub(crate) restores: bool,
    /// Whether engines change the version of their software, and callers take streams up.
    pub(crate) releases: bool,
    /// Whether other writers write records of any bytes into the topics of the system.
    pub(crate) odd_records: bool,
    /// Where the programs are.
    pub(crate) bin: PathBuf,
    /// Where settings and logs go, a folder for each seed.
    pub(crate) out: PathBuf,
}

/// Plays all seeds; whether every promise held.
pub(crate) async fn run(job: &Job) -> Result<bool, ChildError> {
    let mut failed = Vec::new();
    for seed in job.seeds.clone() {
        let out = job.out.join(format!("seed-{seed}"));
        let start = Instant::now();
        let (calls, streams, broken) = play(seed, job, out.clone()).await?;
        println!("seed {seed}: {calls} calls, {} broken, {:.0?}", broken.len(), start.elapsed());
        if job.releases {
            println!("  {streams}");
        }
        for line in broken.iter().take(8) {
            println!("  {line}");
        }
        if !broken.is_empty() {
            println!(
                "  again: hyssop-load soak --seeds {seed}..{}{}{}{}; logs: {}",
                seed + 1,
                if job.restores { " --restores" } else { "" },
                if job.releases { " --releases" } else { "" },
                if job.odd_records { " --odd-records" } else { "" },
                out.display()
            );
            failed.push(seed);
        }
    }
    println!(
        "{} seeds, {} with a promise broken {failed:?}",
        job.seeds.clone().count(),
        failed.len()
    );
    Ok(failed.is_empty())
}

/// Plays a seed; returns the number of calls, what became of streams, and the promises that were broken.
async fn play(
    seed: u64,
    job: &Job,
    out: PathBuf,
) -> Result<(usize, String, Vec<String>), ChildError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The other faults of a seed are the same with and without restores.
    let mut restores = ChaCha8Rng::seed_from_u64(!seed);
    let mut releases = ChaCha8Rng::seed_from_u64(seed ^ RELEASE_SEED);
    let mut odd_rng = ChaCha8Rng::seed_from_u64(seed ^ ODD_SEED);
    let mut world = World::start(&job.bin, &out, job.releases).await?;
    let shared = world.shared.clone();
    let mut odd = job.odd_records.then(|| {
        OddRecords::shorten_pages(&shared.store, seed);
        OddRecords::write(&shared.store, &mut odd_rng)
    });
    let until = Instant::now() + PLAYED;
    shared.plain.iter().for_each(|server| server.crash_on(POISON.as_bytes(), DOWN));
    let mut insisting: Vec<_> =
        (0..INSISTING).map(|_| tokio::spawn(shared.clone().insist(until))).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(shared.clone().caller(seed * CALLERS + caller, until)))
        .collect();
    if job.releases {
        let seeds = (0..RESUMING).map(|caller| seed * RESUMING + caller);
        insisting.extend(seeds.map(|seed| tokio::spawn(shared.clone().take_up(seed, until))));
    }
    insisting.extend((0..HOT).map(|_| tokio::spawn(shared.clone().press(until))));
    while Instant::now() < until {
        // In each second seed all routers reach the store throughout, so that what they share must have been seen.
        let calm = seed % 2 == 1;
        disturb(&mut world, &mut rng, calm)?;
        if job.restores && restores.random_bool(RESTORED) {
            world.restore(Duration::from_millis(restores.random_range(0..OLDEST)));
        }
        if job.releases && releases.random_bool(RELEASED) {
            world.release(Duration::from_millis(releases.random_range(0..1_200)));
        }
        if let Some(odd) = &mut odd {
            odd.change(&shared.store, &mut odd_rng);
        }
        sleep(Duration::from_millis(rng.random_range(30..400))).await;
        world.tend()?;
        if rng.random_bool(0.25) {
            world.mend();
        }
    }
    world.mend();
    world.revive().await?;
    insisting.extend(callers);
    for caller in insisting {
        // A caller that panicked is told of by its missing calls.
        let _ = caller.await;
    }
    let mut broken = shared.broken();
    match shared.keys.told(&out) {
        Ok(told) => broken.extend(told),
        Err(error) => broken.push(format!("the lines can't be read: {error}")),
    }
    let recovered = tokio::time::timeout(RECOVERY, Arc::clone(&shared).until_served()).await;
    if recovered.is_err() {
        broken.push(format!("not all kinds are served {RECOVERY:?} after the last fault"));
    }
    Ok((shared.count(), shared.streams.to_string(), broken))
}

/// One fault.
fn disturb(world: &mut World, rng: &mut ChaCha8Rng, calm: bool) -> Result<(), ChildError> {
    let shared = world.shared.clone();
    let plain = &shared.plain[rng.random_range(0..shared.plain.len())];
    let engine = &shared.engines[rng.random_range(0..shared.engines.len())];
    let links = if calm { world.beside_routers() } else { world.links.len() };
    let number = rng.random_range(0..links);
    let (link, router) = (&world.links[number], world.router_of(number));
    let process = rng.random_range(0..world.processes());
    match rng.random_range(0..24) {
        0 => plain.queue_behaviors([Behavior::Reset, Behavior::WrongRequestId, Behavior::Unsigned]),
        1 => plain.queue_behaviors([Behavior::Truncated, Behavior::Fail]),
        2 => plain.queue_behaviors(vec![Behavior::Shed; 6]),
        3 => plain.queue_behaviors([Behavior::Stall, Behavior::Slow(Duration::from_millis(300))]),
        4 => engine.queue_behaviors([Behavior::Events(1, 3, false), Behavior::Reset]),
        5 => engine.queue_behaviors(vec![Behavior::Shed; 3]),
        6 => engine.freeze(true),
        7 | 8 if calm => {}
        7 | 8 => {
            shared.disturbed.begin(None);
            shared.store.set_fault(
                [StoreFault::Unavailable, StoreFault::Unresponsive][rng.random_range(0..2)],
            );
        }
        9 => shared.store.compact_config_and_servers(),
        10 => world.configure(),
        11 => shared.store.list_server(plain, "app", Some("draining")),
        12 => {
            shared.disturb_link(router);
            link.set_fault(LinkFault::Cut);
        }
        13 => link.set_fault(LinkFault::Lossy),
        14 => link.set_fault(LinkFault::Slow(Duration::from_millis(rng.random_range(5..80)))),
        15 => {
            shared.disturb_link(router);
            link.stall_connections();
        }
        16 => link.reset_connections(),
        17 => world.signal(process, Signal::SIGTERM)?,
        18 => world.signal(process, Signal::SIGKILL)?,
        19 => plain.start_draining(),
        20 => engine.start_draining(),
        21 => plain
            .queue_behaviors([Behavior::RetryAfter(format!("{:.1}", rng.random_range(0.6..2.5)))]),
        22 => plain.terminate(DOWN),
        _ => world.pause(process, Duration::from_millis(rng.random_range(200..PAUSED)))?,
    }
    Ok(())
}
