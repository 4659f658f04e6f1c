//! Replays streams of a fleet without a network: endpoints of different speed, models that differ in speed by four times, and noise.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Models, Noise, View};
use rstest::rstest;

/// Time factors of the endpoints of a deployment, a third each.
const UNEVEN: [f64; 3] = [0.7, 0.7, 1.7];
/// Endpoints that a test slows down: more than a tenth of all.
const SLOWED: [usize; 3] = [3, 7, 11];
/// By how much a factor may differ from the true one: a fifth.
const TOLERANCE: f64 = 1.2;

/// The factors as a router sees them that differ from the true ones by more than a fifth, and the number of all that it knows.
fn wrong_factors(fleet: &Fleet, router: usize) -> (Vec<(usize, f64, f64)>, usize) {
    let truth = fleet.true_factors();
    let factors = fleet.routers[router].factors.iter().zip(&truth).enumerate();
    let known: Vec<_> =
        factors.filter_map(|(index, (factor, truth))| Some((index, (*factor)?, *truth))).collect();
    let wrong = |(_, factor, truth): &(usize, f64, f64)| {
        !(1.0 / TOLERANCE..=TOLERANCE).contains(&(factor / truth))
    };
    (known.iter().copied().filter(wrong).collect(), known.len())
}

/// Guards against placing requests by factors that belong to models or that are wrong.
#[test]
fn factors_are_within_a_fifth_of_the_truth() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, (24, Models::Few), &UNEVEN, Noise::None, View::All);
        fleet.run(Duration::from_secs(10));
        let (wrong, known) = wrong_factors(&fleet, 0);
        assert!(wrong.is_empty() && known == 24, "seed {seed}: {known} known, {wrong:?}");
        assert!(fleet.uneven(0), "seed {seed}");
    }
}

/// The noise lasts longer than the second that is measured in some cases, so a few factors are wrong at a time.
#[test]
fn factors_are_within_a_fifth_of_the_truth_under_noise_but_for_one_in_twenty() {
    let (mut wrong, mut known) = (0, 0);
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, (24, Models::Few), &UNEVEN, Noise::Usual, View::All);
        fleet.run(Duration::from_secs(10));
        for _ in 0..20 {
            fleet.run(Duration::from_millis(500));
            let (wrong_now, known_now) = wrong_factors(&fleet, 0);
            wrong += wrong_now.len();
            known += known_now;
            assert!(known_now == 24, "seed {seed}: {known_now} known");
        }
        assert!(fleet.uneven(0), "seed {seed}");
    }
    println!("{wrong} of {known} factors are wrong");
    assert!(wrong * 20 < known, "{wrong} of {known}");
}

/// Guards against endpoints whose speed stays unknown, or is taken from that of their models, because hardly any model runs at two of
/// them.
#[test]
fn nearly_all_factors_are_found_where_endpoints_share_few_models() {
    let (mut wrong, mut known, mut all) = (0, 0, 0);
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, (46, Models::Many), &UNEVEN, Noise::None, View::All);
        fleet.run(Duration::from_secs(5));
        let (wrong_now, known_now) = wrong_factors(&fleet, 0);
        wrong += wrong_now.len();
        known += known_now;
        all += fleet.endpoints.len();
        assert!(fleet.uneven(0), "seed {seed}");
    }
    println!("{wrong} of {known} factors are wrong, {all} endpoints");
    assert!(known * 10 >= all * 8 && wrong * 10 < known, "{wrong} of {known}, {all} endpoints");
}

/// Guards against decisions that change for noise where all endpoints are alike.
#[rstest]
#[case::small(6, Models::Few, View::All)]
#[case::large(16, Models::Few, View::All)]
#[case::many_models(16, Models::Many, View::All)]
#[case::through_loaders(12, Models::Few, View::Few)]
fn noise_never_makes_an_even_service_uneven(
    #[case] endpoints: usize,
    #[case] models: Models,
    #[case] view: View,
) {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed, (endpoints, models), &[1.0], Noise::Usual, view);
        for _ in 0..40 {
            fleet.run(Duration::from_millis(500));
            assert!(!fleet.uneven(0), "seed {seed}");
        }
    }
}

/// Guards against decisions that change where instances of one kind differ a little.
#[rstest]
#[case::all(View::All)]
#[case::through_loaders(View::Few)]
fn a_third_of_slightly_slower_endpoints_leaves_a_service_even(#[case] view: View) {
    for seed in 0..50 {
        let factors = [1.0, 1.0, 1.3];
        let mut fleet = Fleet::new(seed, (24, Models::Few), &factors, Noise::Usual, view);
        for _ in 0..40 {
            fleet.run(Duration::from_millis(500));
            assert!(!fleet.uneven(0), "seed {seed}");
        }
    }
}

/// Guards against a slow endpoint that goes on to get requests as a fast one, and against one that is avoided for ever.
#[test]
fn a_lasting_slowdown_shows_within_a_second_and_is_forgotten() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, (24, Models::Few), &[1.0], Noise::None, View::All);
        fleet.always_busy = true;
        fleet.run(Duration::from_secs(5));
        SLOWED.iter().for_each(|index| fleet.endpoints[*index].factor = 2.0);
        fleet.run(Duration::from_secs(1));
        let (wrong, known) = wrong_factors(&fleet, 0);
        assert!(wrong.is_empty() && known == 24, "seed {seed}: {known} known, {wrong:?}");
        fleet.run(Duration::from_secs(3));
        assert!(fleet.uneven(0), "seed {seed}");
        SLOWED.iter().for_each(|index| fleet.endpoints[*index].factor = 1.0);
        fleet.run(Duration::from_secs(1));
        let (wrong, known) = wrong_factors(&fleet, 0);
        assert!(wrong.is_empty() && known == 24, "seed {seed}: {known} known, {wrong:?}");
        fleet.run(Duration::from_secs(31));
        assert!(!fleet.uneven(0), "seed {seed}");
    }
}

/// Guards against a router that knows nothing because its own callers stream little.
#[test]
fn a_router_that_sees_few_streams_learns_from_the_loaders() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, (24, Models::Few), &UNEVEN, Noise::None, View::Few);
        fleet.run(Duration::from_secs(20));
        let (wrong, known) = wrong_factors(&fleet, 0);
        assert!(wrong.is_empty() && known == 24, "seed {seed}: {known} known, {wrong:?}");
        assert!(fleet.uneven(0), "seed {seed}");
    }
}

/// Guards against depending on loaders: those of an older version neither combine nor publish anything.
#[test]
fn with_old_loaders_a_router_knows_what_it_has_measured_itself() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, (24, Models::Few), &UNEVEN, Noise::None, View::Few);
        fleet.old_loaders = true;
        fleet.run(Duration::from_secs(10));
        let (wrong, known) = wrong_factors(&fleet, 1);
        assert!(wrong.is_empty() && known == 24, "seed {seed}: {known} known, {wrong:?}");
        let (_, known) = wrong_factors(&fleet, 0);
        assert!(known < 24, "seed {seed}: the router has few streams of its own");
    }
}
