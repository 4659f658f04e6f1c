//! Tests of loaders that share the lanes of the weight store through a store that comes back from older copies of itself.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin_platform::Store as Standin;

use super::*;

/// What a load takes alone: longer than any of these tests, so that no lane is given up for lost.
const ALONE: Duration = Duration::from_secs(60);
/// Within this time what stands is known to all again.
const KNOWN: Duration = Duration::from_secs(6);
/// As many loads at once as are known to be carried.
const LANES: usize = 2;

/// A loader that waits for a lane, as its steward sees it.
struct Loader {
    say: mpsc::UnboundedSender<Say>,
    granted: watch::Receiver<Option<ModelName>>,
    heard: watch::Sender<Era>,
}

impl Loader {
    async fn start(store: &Standin, number: usize) -> Self {
        let (instance, store) = (format!("side-{number}"), Store::new(store.addr));
        let start = store.append(TOPIC, instance.as_bytes()).await.expect("an answer");
        let (_, start) = watch::channel(Some(start));
        let (say, said) = mpsc::unbounded_channel();
        let (sender, granted) = watch::channel(None);
        let (heard, eras) = watch::channel(Era::default());
        tokio::spawn(Waiter::new(store, instance, start, eras, said, sender).run());
        Self { say, granted, heard }
    }

    async fn all(store: &Standin, count: usize) -> Vec<Self> {
        let mut all = Vec::new();
        for number in 0..count {
            all.push(Self::start(store, number).await);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        all
    }

    /// Wants a model of its own.
    fn want(&self, number: usize) {
        let model = format!("m{number}").parse().expect("a name");
        self.say.send(Say::Want(Wish { model, worth: 3.0, alone: ALONE })).expect("it listens");
    }

    fn done(&self) {
        self.say.send(Say::Done(None)).expect("it listens");
    }

    fn loads(&self) -> bool {
        self.granted.borrow().is_some()
    }
}

fn loading(loaders: &[Loader]) -> Vec<usize> {
    (0..loaders.len()).filter(|number| loaders[*number].loads()).collect()
}

/// Waits until these load, and no others; never more than the lanes at once.
async fn until_loading(loaders: &[Loader], within: Duration, wanted: impl Fn(&[usize]) -> bool) {
    let start = Instant::now();
    loop {
        let now = loading(loaders);
        assert!(now.len() <= LANES, "{now:?} at once");
        if wanted(&now) {
            return;
        }
        assert!(start.elapsed() < within, "{now:?} load");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The store comes back from a copy, and all routers have seen it.
fn restore(store: &Standin, age: Duration, era: u64, loaders: &[Loader]) {
    store.restore(age);
    for loader in loaders {
        loader.heard.send_replace(Era(era));
    }
}

/// What two loaders had asked for was gone; one that had read nothing since took both lanes for free.
#[tokio::test]
async fn loads_in_progress_keep_their_lanes_after_the_store_came_back_from_a_copy() {
    let store = Standin::start().await;
    let loaders = Loader::all(&store, 4).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    (0..2).for_each(|number| loaders[number].want(number));
    until_loading(&loaders, KNOWN, |now| now == [0, 1]).await;
    restore(&store, Duration::from_millis(700), 1, &loaders);
    (2..4).for_each(|number| loaders[number].want(number));
    let start = Instant::now();
    while start.elapsed() < KNOWN {
        assert_eq!(loading(&loaders), [0, 1]);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    loaders[0].done();
    until_loading(&loaders, KNOWN, |now| now.len() == 2).await;
}

/// That two loads were over was gone; both lanes counted as taken until the loads were given up for lost.
#[tokio::test]
async fn loads_that_were_over_give_their_lanes_back_after_the_store_came_back_from_a_copy() {
    let store = Standin::start().await;
    let loaders = Loader::all(&store, 4).await;
    (0..2).for_each(|number| loaders[number].want(number));
    until_loading(&loaders, KNOWN, |now| now == [0, 1]).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    (0..2).for_each(|number| loaders[number].done());
    tokio::time::sleep(Duration::from_millis(300)).await;
    restore(&store, Duration::from_millis(800), 1, &loaders);
    (2..4).for_each(|number| loaders[number].want(number));
    until_loading(&loaders, KNOWN, |now| now == [2, 3]).await;
}

/// What those asked for that waited was gone, and nobody gave them a lane until they asked anew, twenty seconds later.
#[tokio::test]
async fn those_that_wait_get_their_turn_after_the_store_came_back_from_a_copy() {
    let store = Standin::start().await;
    let loaders = Loader::all(&store, 4).await;
    (0..2).for_each(|number| loaders[number].want(number));
    until_loading(&loaders, KNOWN, |now| now == [0, 1]).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    (2..4).for_each(|number| loaders[number].want(number));
    tokio::time::sleep(Duration::from_millis(300)).await;
    restore(&store, Duration::from_millis(700), 1, &loaders);
    (0..2).for_each(|number| loaders[number].done());
    until_loading(&loaders, KNOWN, |now| now == [2, 3]).await;
}

/// Copies of any age, one after the other, while loaders want and end as they like and hear of it at different times or not at
/// all: never more loads than lanes once all know, and at last everybody gets a turn.
async fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let store = Standin::start().await;
    let loaders = Loader::all(&store, 6).await;
    let mut wants = [false; 6];
    let mut era = 0;
    for _ in 0..rng.random_range(1..4) {
        for _ in 0..8 {
            let number = rng.random_range(0..loaders.len());
            if loaders[number].loads() && rng.random_bool(0.5) {
                loaders[number].done();
                wants[number] = false;
            } else if !wants[number] {
                loaders[number].want(number);
                wants[number] = true;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..200))).await;
        }
        era += 1;
        store.restore(Duration::from_millis(rng.random_range(0..2_500)));
        for loader in &loaders {
            if rng.random_bool(0.8) {
                loader.heard.send_replace(Era(era));
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
    }
    for loader in &loaders {
        loader.heard.send_replace(Era(era));
    }
    // What began before all knew may be too many; what begins from now on is not.
    tokio::time::sleep(KNOWN).await;
    let start = Instant::now();
    let most = loading(&loaders).len().max(LANES);
    while wants.contains(&true) {
        let now = loading(&loaders);
        assert!(now.len() <= most, "seed {seed}: {now:?} load at once");
        assert!(start.elapsed() < KNOWN * 3, "seed {seed}: {now:?} load of {wants:?}");
        if let Some(number) = now.first() {
            loaders[*number].done();
            wants[*number] = false;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn everybody_gets_a_turn_after_copies_of_any_age() {
    let seeds = match std::env::var("SOAK_SEEDS").ok().as_deref().map(|text| text.split_once(".."))
    {
        Some(Some((from, to))) => from.parse().expect("a seed")..to.parse().expect("a seed"),
        _ => 1..9,
    };
    futures_util::future::join_all(seeds.map(play)).await;
}
