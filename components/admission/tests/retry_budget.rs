//! Retries of all routers together stay within the budget in every window, whatever fails, counted when they arrive.

#[path = "retry_budget/simulation.rs"]
mod simulation;

use rstest::rstest;
use simulation::{Faults, Report, World};

/// Seeds of the random series of faults that are played by default; `RETRY_SEEDS=1..1001` plays others.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..9;
/// The seconds of a play.
const LENGTH_S: u64 = 60;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("RETRY_SEEDS") else { return DEFAULT_SEEDS };
    let (from, until) = text.split_once("..").expect("RETRY_SEEDS is a range such as 1..1001");
    from.parse().expect("a number")..until.parse().expect("a number")
}

fn play(routers: usize, faults: Faults, seed: u64) -> Report {
    World::new(routers, faults, seed).play(LENGTH_S)
}

/// The seeds of which a window has more retries than allowed, with the worst one's share of what is allowed.
fn broken(routers: usize, faults: Faults) -> (Vec<u64>, f64) {
    let reports: Vec<(u64, Report)> =
        seeds().map(|seed| (seed, play(routers, faults, seed))).collect();
    let worst = reports.iter().map(|(_, report)| report.worst_window).fold(0.0, f64::max);
    let seeds = reports.iter().filter(|(_, report)| report.worst_window > 1.0);
    let saved: f64 = reports.iter().map(|(_, report)| report.saved_share()).sum();
    let broken: Vec<u64> = seeds.map(|(seed, _)| *seed).collect();
    println!(
        "{routers} routers, {faults:?}: {} of {} seeds broken, worst window {worst:.2} of what is allowed, {:.3} of the failed \
         requests saved by retries",
        broken.len(),
        reports.len(),
        saved / reports.len() as f64
    );
    (broken, worst)
}

#[rstest]
fn no_window_has_more_retries_than_allowed(
    #[values(1, 4, 25, 370)] routers: usize,
    #[values(
        Faults::None,
        Faults::Outages,
        Faults::RouterRestarts,
        Faults::LoaderRestarts,
        Faults::AddedRouters,
        Faults::FallingLoad,
        Faults::All
    )]
    faults: Faults,
) {
    let (broken, worst) = broken(routers, faults);
    assert!(
        broken.is_empty(),
        "seeds {broken:?}: {worst:.2} of what is allowed in the worst window"
    );
}
