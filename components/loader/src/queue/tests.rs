//! Tests of whose turn it is, on a store that slows beyond its lanes.

use super::*;

const ALONE: Duration = Duration::from_secs(6);

fn ask(loader: usize, model: &str, worth: f64) -> Note {
    let model = model.parse().expect("a name");
    Note::Ask { loader: format!("side-{loader}"), model, worth, alone: ALONE, loading: false }
}

fn end(loader: usize, took: Option<Duration>) -> Note {
    let took = took.map(|took| u64::try_from(took.as_millis()).expect("short"));
    Note::End { loader: format!("side-{loader}"), took }
}

/// The loaders that have a lane.
fn with_lane(queue: &Queue) -> Vec<usize> {
    (0..64).filter(|loader| queue.granted(&format!("side-{loader}")).is_some()).collect()
}

#[tokio::test(start_paused = true)]
async fn whom_most_is_wanted_from_goes_first_and_equal_ones_in_turn() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.take(ask(0, "a", 1.0), now);
    queue.take(ask(1, "b", 1.0), now);
    for (loader, model, worth) in [(2, "c", 1.0), (3, "d", 1.0), (4, "e", 160.0)] {
        queue.take(ask(loader, model, worth), now);
    }
    assert_eq!(with_lane(&queue), [0, 1]);
    queue.take(end(0, None), now);
    assert_eq!(with_lane(&queue), [1, 4]);
    queue.take(end(1, None), now);
    assert_eq!(with_lane(&queue), [2, 4]);
}

#[tokio::test(start_paused = true)]
async fn a_second_copy_of_what_is_on_its_way_waits_for_the_first_of_all_others() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.take(ask(0, "a", 9.0), now);
    queue.take(ask(1, "b", 5.0), now);
    queue.take(ask(2, "a", 9.0), now);
    queue.take(ask(3, "c", 1.0), now);
    queue.take(end(1, None), now);
    assert_eq!(with_lane(&queue), [0, 3]);
    queue.take(end(3, None), now);
    assert_eq!(with_lane(&queue), [0, 2], "a lane that nobody else wants");
}

#[tokio::test(start_paused = true)]
async fn one_that_asks_for_more_keeps_its_place_and_one_that_asks_for_another_model_does_not() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for (loader, model) in ["a", "b", "c", "d"].iter().enumerate() {
        queue.take(ask(loader, model, 1.0), now);
    }
    queue.take(ask(3, "d", 5.0), now);
    queue.take(ask(0, "e", 1.0), now);
    assert_eq!(with_lane(&queue), [1, 3], "the first gave its lane up");
}

#[tokio::test(start_paused = true)]
async fn a_loader_that_starts_again_or_falls_silent_gives_its_lane_back() {
    let now = Instant::now();
    let mut queue = Queue::default();
    (0..3).for_each(|loader| queue.take(ask(loader, "a", 1.0), now));
    queue.started("side-0", now);
    assert_eq!(with_lane(&queue), [1, 2]);
    let later = now + ALONE * LOST;
    queue.take(ask(3, "a", 1.0), later);
    assert_eq!(with_lane(&queue), [3]);
}

/// When each of the loaders has its turn without the store, by the same records.
fn turns(queue: &Queue, loaders: std::ops::Range<usize>) -> Vec<Duration> {
    loaders.map(|loader| queue.turn(&format!("side-{loader}"), ALONE)).collect()
}

#[tokio::test(start_paused = true)]
async fn without_the_store_those_that_wait_go_as_many_at_once_as_there_are_lanes() {
    let now = Instant::now();
    let mut queue = Queue::default();
    (0..40).for_each(|loader| queue.started(&format!("side-{loader}"), now));
    for loader in 0..40 {
        queue.take(ask(loader, &format!("m{loader}"), 40.0 - loader as f64), now);
    }
    let turns = turns(&queue, 0..40);
    assert_eq!(turns[..6], [0, 0, 1, 1, 2, 2].map(|round| ALONE * round));
    for round in 0..20 {
        assert_eq!(turns.iter().filter(|turn| **turn == ALONE * round).count(), 2);
    }
}

#[tokio::test(start_paused = true)]
async fn without_the_store_those_that_asked_for_nothing_before_take_turns_by_name() {
    let now = Instant::now();
    let mut queue = Queue::default();
    (0..8).for_each(|loader| queue.started(&format!("side-{loader}"), now));
    queue.take(ask(5, "a", 1.0), now);
    queue.take(ask(6, "b", 1.0), now);
    // Two have a lane; the other six follow behind them.
    let rounds: Vec<u32> = turns(&queue, 0..8)
        .iter()
        .map(|turn| u32::try_from(turn.as_secs() / ALONE.as_secs()).expect("few"))
        .collect();
    assert_eq!(rounds, [1, 1, 2, 2, 3, 0, 0, 3]);
}

/// A weight store that brings in so many at full speed, and more of them slower in proportion; loaders each want one
/// model after another. Returns when each load was done, in order.
fn play(lanes: u32, models: usize, loaders: usize) -> Vec<(Duration, usize)> {
    const STEP: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut queue = Queue::default();
    // What is still to load of the model that each loader asks for; the first models are wanted most.
    let mut loads: Vec<Option<(usize, Duration, Option<Instant>)>> = vec![None; loaders];
    let mut left: std::collections::VecDeque<usize> = (0..models).collect();
    let (mut done, mut now) = (Vec::new(), start);
    while done.len() < models {
        for (loader, load) in loads.iter_mut().enumerate() {
            if load.is_none()
                && let Some(model) = left.pop_front()
            {
                *load = Some((model, ALONE, None));
                queue.take(ask(loader, &format!("m{model}"), 1.0 / (model + 1) as f64), now);
            }
        }
        if (now - start).as_millis().is_multiple_of(RENEW.as_millis()) {
            // Those that wait ask anew.
            for (loader, load) in loads.iter().enumerate() {
                if let Some((model, _, None)) = load {
                    let worth = 1.0 / (*model + 1) as f64;
                    queue.take(ask(loader, &format!("m{model}"), worth), now);
                }
            }
        }
        assert!(now - start < ALONE * 200, "never done: {done:?}");
        let running = with_lane(&queue);
        let speed = f64::from(lanes).min(running.len() as f64) / running.len() as f64;
        now += STEP;
        for loader in running {
            let load = loads[loader].as_mut().expect("a load");
            load.2.get_or_insert(now);
            load.1 = load.1.saturating_sub(STEP.mul_f64(speed));
            if load.1.is_zero() {
                done.push((now - start, load.0));
                let took = now - load.2.expect("a begin");
                loads[loader] = None;
                queue.take(end(loader, Some(took)), now);
            }
        }
    }
    done
}

#[tokio::test(start_paused = true)]
async fn of_many_models_at_once_the_most_wanted_are_there_after_the_time_of_one_load() {
    for lanes in [2, 4, 8] {
        let done = play(lanes, 40, 12);
        let first: Vec<usize> = done.iter().take(2).map(|(_, model)| *model).collect();
        assert_eq!(first, [0, 1]);
        assert!(done[1].0 < ALONE + Duration::from_secs(1), "{:?}", done[1].0);
    }
}

#[tokio::test(start_paused = true)]
async fn the_store_is_kept_busy_and_not_pressed_far_beyond_its_lanes() {
    for lanes in [1, 4] {
        let done = play(lanes, 24, 12);
        let ideal = ALONE * 24 / lanes;
        let all = done.last().expect("loads").0;
        assert!(all < ideal + ALONE * 3, "{lanes} lanes: {all:?} against {ideal:?}");
    }
}

proptest::proptest! {
    #[test]
    fn readers_of_the_same_records_see_the_same(
        notes in proptest::collection::vec((0_usize..6, 0_u8..4, 0.0_f64..9.0), 0..60),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
        let _inside = runtime.enter();
        let now = Instant::now();
        let (mut one, mut other) = (Queue::default(), Queue::default());
        for (loader, kind, worth) in notes {
            let note = || match kind {
                0 => end(loader, Some(ALONE)),
                1 => end(loader, None),
                _ => ask(loader, &format!("m{kind}"), worth),
            };
            one.take(note(), now);
            other.take(note(), now);
            proptest::prop_assert_eq!(with_lane(&one), with_lane(&other));
            proptest::prop_assert!(with_lane(&one).len() <= 32);
        }
    }
}

/// A load had run alone at first, and beside another one when its record was lost and written again: it seemed to have run beside that one all
/// the time, and four lanes were given out where two are known.
#[tokio::test(start_paused = true)]
async fn loads_whose_records_were_lost_do_not_teach_that_more_are_carried() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.restored();
    for loader in 0..2 {
        let Note::Ask { loader, model, worth, alone, .. } = ask(loader, "a", 1.0) else { continue };
        queue.take(Note::Ask { loader, model, worth, alone, loading: true }, now);
    }
    queue.take(end(1, Some(ALONE)), now);
    queue.settled();
    (2..6).for_each(|loader| queue.take(ask(loader, "b", 1.0), now));
    assert_eq!(with_lane(&queue).len(), 2);
}
