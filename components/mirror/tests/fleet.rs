//! Calls to the store and the age of what followers know, in deployments of several sizes, with faults of mirrors and of the store.

mod world;

use std::time::Duration;

use rstest::rstest;
use tokio::time::sleep;
use world::{BOUND, Fault, World};

/// By then all followers have read the store for the first time.
const START: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_secs(60);

/// Hundreds of routers that each waited for changes at the store made most of the calls to it. With mirrors the calls of a quiet time
/// grow with the mirrors, one for up to 64 routers, each of which reads at most once in a quarter of the bound.
#[rstest]
#[case::three(3, 4, 0)]
#[case::grown(29, 4, 0)]
#[case::fleet(384, 6, 6)]
#[case::twice_the_fleet(768, 6, 12)]
#[tokio::test(start_paused = true)]
async fn the_calls_of_a_quiet_time_grow_with_mirrors_and_not_with_followers(
    #[case] followers: u32,
    #[case] domains: u32,
    #[case] mirrors: u32,
) {
    let world = World::start(followers, domains, 1);
    sleep(START).await;
    let before = world.store.calls();
    sleep(QUIET).await;
    let calls = world.store.calls() - before;
    let readers = if mirrors == 0 { f64::from(followers) } else { f64::from(mirrors) };
    let interval = if mirrors == 0 { 0.7 } else { 0.25 };
    let allowed = readers * (QUIET.as_secs_f64() / (BOUND.as_secs_f64() * interval) + 1.0);
    assert!(calls as f64 <= allowed, "{calls} calls, {allowed} allowed");
}

/// Each change was read by every router from the store. With mirrors a change costs a call of each mirror.
#[rstest]
#[case::fleet(384, 6, 6)]
#[case::twice_the_fleet(768, 6, 12)]
#[tokio::test(start_paused = true)]
async fn the_calls_for_changes_grow_with_mirrors_times_changes(
    #[case] followers: u32,
    #[case] domains: u32,
    #[case] mirrors: u32,
) {
    let world = World::start(followers, domains, 2);
    sleep(START).await;
    let before = world.store.calls();
    for _ in 0..60 {
        world.store.write();
        sleep(Duration::from_secs(1)).await;
    }
    let calls = world.store.calls() - before;
    let allowed = u64::from(mirrors) * (60 + 48 + 1);
    assert!(calls <= allowed, "{calls} calls, {allowed} allowed");
    assert!(world.oldest_news(|_| false) <= BOUND);
}

/// Whatever fails at the mirrors of a failure domain, those behind them know each change in time.
#[rstest]
#[case::is_killed(Fault::Down)]
#[case::is_frozen(Fault::Frozen)]
#[case::is_cut_off_from_the_store(Fault::CutFromStore)]
#[case::is_turned_away_by_the_store(Fault::TurnedAway)]
#[case::is_slow(Fault::Slow(Duration::from_millis(1_900)))]
#[case::is_very_slow(Fault::Slow(Duration::from_millis(4_000)))]
#[tokio::test(start_paused = true)]
async fn every_change_is_known_in_time_while_a_mirror(
    #[case] fault: Fault,
    #[values(1, 3, 9)] broken: usize,
    #[values(5, 6)] seed: u64,
) {
    let world = World::start(80, 2, seed);
    sleep(START).await;
    for round in 0..12 {
        let mirrors = world.mirrors(0);
        let id = &mirrors[round % mirrors.len()];
        let broken =
            mirrors.iter().cycle().skip(round % mirrors.len()).take(broken.min(mirrors.len()));
        broken.clone().for_each(|id| world.store.set_fault(id.as_str(), Some(fault)));
        world.store.write();
        sleep(Duration::from_millis(700)).await;
        world.store.write();
        sleep(Duration::from_millis(5_300)).await;
        broken.for_each(|id| world.store.set_fault(id.as_str(), None));
        if fault == Fault::Down {
            world.restart(id);
        }
        sleep(Duration::from_millis(1_300)).await;
    }
    let oldest = world.oldest_news(|_| false);
    assert!(oldest <= BOUND, "a change was known after {oldest:?}");
}

/// The store turns away a third of all processes, mirrors among them.
#[rstest]
#[tokio::test(start_paused = true)]
async fn every_change_is_known_in_time_while_the_store_turns_a_third_of_the_processes_away(
    #[values(7, 8)] seed: u64,
) {
    let world = World::start(96, 2, seed);
    sleep(START).await;
    let turned_away = |number: u32| number.is_multiple_of(3);
    for number in (0..96).filter(|number| turned_away(*number)) {
        world.store.set_fault(&format!("front-{number}"), Some(Fault::TurnedAway));
    }
    for number in (0..192).filter(|number| turned_away(*number)) {
        world.store.set_fault(&format!("i-{number}"), Some(Fault::TurnedAway));
    }
    for _ in 0..20 {
        world.store.write();
        sleep(Duration::from_millis(900)).await;
    }
    sleep(BOUND).await;
    assert!(world.oldest_news(turned_away) <= BOUND);
    // Those that are turned away themselves hear of changes from mirrors that are not.
    assert!(world.oldest_news(|number| !turned_away(number)) <= BOUND);
}
