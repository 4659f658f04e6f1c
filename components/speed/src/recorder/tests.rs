//! Tests of what one router measures.

use super::*;

/// Records events of one stream for a time, with this time between two.
fn stream(recorder: &mut StepRecorder, from: Instant, length: Duration, gap: Duration) -> Instant {
    let mut now = from;
    while now < from + length {
        now += gap;
        recorder.record(Step { gap, events: 1 }, now);
    }
    now
}

fn millis(step: Option<Step>) -> f64 {
    step.map_or(0.0, |step| step.gap.as_secs_f64() * 1e3)
}

/// Guards against memory that grows with the events: a router has thousands of them a second.
#[test]
fn a_recorder_has_a_bounded_size() {
    assert!(size_of::<StepRecorder>() < 2_048, "{}", size_of::<StepRecorder>());
}

/// Guards against taking noise for speed: the engine takes 2.5 times as long for 600 ms.
#[test]
fn noise_does_not_show_in_the_last_second() {
    let start = Instant::now();
    let mut recorder = StepRecorder::new(start);
    let (usual, slow) = (Duration::from_millis(20), Duration::from_millis(50));
    let mut now = stream(&mut recorder, start, Duration::from_secs(2), usual);
    let until = now + Duration::from_millis(600);
    while now < until {
        now = stream(&mut recorder, now, slow, slow);
        let gap = millis(recorder.recent(now));
        assert!((18.0..23.0).contains(&gap), "{gap}");
    }
}

/// Guards against a slow endpoint that goes on to get requests as a fast one.
#[test]
fn a_lasting_slowdown_shows_within_a_second() {
    let start = Instant::now();
    let mut recorder = StepRecorder::new(start);
    let now = stream(&mut recorder, start, Duration::from_secs(3), Duration::from_millis(20));
    let now = stream(&mut recorder, now, Duration::from_millis(950), Duration::from_millis(50));
    let gap = millis(recorder.recent(now));
    assert!((46.0..54.0).contains(&gap), "{gap}");
}

#[test]
fn an_ended_slowdown_is_forgotten_within_a_second() {
    let start = Instant::now();
    let mut recorder = StepRecorder::new(start);
    let now = stream(&mut recorder, start, Duration::from_secs(5), Duration::from_millis(50));
    let now = stream(&mut recorder, now, Duration::from_millis(950), Duration::from_millis(20));
    let gap = millis(recorder.recent(now));
    assert!((18.0..23.0).contains(&gap), "{gap}");
}

#[test]
fn what_was_measured_is_taken_once_and_expires() {
    let start = Instant::now();
    let mut recorder = StepRecorder::new(start);
    assert_eq!(recorder.take(start), None);
    let now = stream(&mut recorder, start, Duration::from_secs(1), Duration::from_millis(20));
    assert_eq!(recorder.take(now).map(|step| step.events), Some(50));
    assert_eq!(recorder.take(now), None);
    let idle = now + Duration::from_secs(29);
    assert_eq!(recorder.recent(idle), None);
    assert!((18.0..23.0).contains(&millis(recorder.average(idle))) && !recorder.expired(idle));
    let long_idle = now + STEP_LIFETIME;
    assert!(recorder.average(long_idle).is_none() && recorder.expired(long_idle));
}

/// Guards against a router that depends on loaders: those of an older version publish nothing.
#[test]
fn without_a_loader_a_router_uses_what_it_has_measured_itself() {
    let start = Instant::now();
    let mut recorder = StepRecorder::new(start);
    let now = stream(&mut recorder, start, Duration::from_secs(1), Duration::from_millis(20));
    recorder.take(now);
    let later = now + Duration::from_secs(5);
    let known = known_step(Some(&recorder), None, later);
    assert!((18.0..23.0).contains(&millis(known)), "{known:?}");
    assert_eq!(known.map(|step| step.events), Some(50));
    assert_eq!(known_step(None, None, later), None);
}

#[test]
fn what_all_routers_measure_counts_unless_this_one_has_measured_enough_lately() {
    let start = Instant::now();
    let mut recorder = StepRecorder::new(start);
    let published = Some(Step { gap: Duration::from_millis(90), events: 400 });
    let now = stream(&mut recorder, start, Duration::from_millis(900), Duration::from_millis(20));
    let own = known_step(Some(&recorder), published, now);
    assert!((18.0..23.0).contains(&millis(own)), "{own:?}");
    assert_eq!(own.map(|step| step.events), Some(400));
    let later = now + Duration::from_secs(1);
    assert_eq!(known_step(Some(&recorder), published, later), published);
}
