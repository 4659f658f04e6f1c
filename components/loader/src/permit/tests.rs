//! Tests of loaders that share load permits through a store that is restored from older copies.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin_platform::Store as Standin;

use super::*;

/// The time of a load; longer than any of these tests, so that no permit expires.
const SOLO_TIME: Duration = Duration::from_secs(60);
/// The time after a restore within which all loaders know again which permits are taken.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// The number of permits: the limit on concurrent loads before any load has been measured.
const PERMITS: usize = 2;

/// A loader that requests permits, as its controller sees it.
struct Loader {
    commands: mpsc::UnboundedSender<PermitCommand>,
    granted: watch::Receiver<Option<ModelName>>,
    highest_era: watch::Sender<Era>,
}

impl Loader {
    async fn start(store: &Standin, number: usize) -> Self {
        let (instance, store) = (format!("side-{number}"), Store::new(store.addr));
        let start =
            store.append(TOPIC, instance.as_bytes(), Duration::ZERO).await.expect("an answer");
        let (_, start) = watch::channel(Some(start));
        let (commands, receiver) = mpsc::unbounded_channel();
        let (sender, granted) = watch::channel(None);
        let (highest_era, era_receiver) = watch::channel(Era::default());
        tokio::spawn(PermitTask::new(store, instance, start, era_receiver, receiver, sender).run());
        Self { commands, granted, highest_era }
    }

    async fn start_all(store: &Standin, count: usize) -> Vec<Self> {
        let mut all = Vec::new();
        for number in 0..count {
            all.push(Self::start(store, number).await);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        all
    }

    /// Requests a permit for a model that no other loader requests.
    fn request(&self, number: usize) {
        let model = format!("m{number}").parse().expect("a name");
        self.commands
            .send(PermitCommand::Request(PermitRequest {
                model,
                demand: 3.0,
                solo_time: SOLO_TIME,
                software: None,
            }))
            .expect("an open channel");
    }

    fn release(&self) {
        self.commands.send(PermitCommand::Release(None)).expect("an open channel");
    }

    fn has_permit(&self) -> bool {
        self.granted.borrow().is_some()
    }
}

fn with_permit(loaders: &[Loader]) -> Vec<usize> {
    (0..loaders.len()).filter(|number| loaders[*number].has_permit()).collect()
}

/// Waits until `expected` accepts the loaders that have a permit; there are never more of them than permits.
async fn wait_for_permits(
    loaders: &[Loader],
    within: Duration,
    expected: impl Fn(&[usize]) -> bool,
) {
    let start = Instant::now();
    loop {
        let now = with_permit(loaders);
        assert!(now.len() <= PERMITS, "{now:?} have a permit at once");
        if expected(&now) {
            return;
        }
        assert!(start.elapsed() < within, "{now:?} have a permit");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Restores the store from a copy of this age; a router reports the new era to each loader.
fn restore(store: &Standin, age: Duration, era: u64, loaders: &[Loader]) {
    store.restore_backup(age);
    for loader in loaders {
        loader.highest_era.send_replace(Era(era));
    }
}

/// Failure: the requests of two loaders are lost, and a loader that reads the records only afterwards considers both
/// permits free.
#[tokio::test]
async fn loads_in_progress_keep_their_permits_after_a_restore() {
    let store = Standin::start().await;
    let loaders = Loader::start_all(&store, 4).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    (0..2).for_each(|number| loaders[number].request(number));
    wait_for_permits(&loaders, RECOVERY_TIME, |now| now == [0, 1]).await;
    restore(&store, Duration::from_millis(700), 1, &loaders);
    (2..4).for_each(|number| loaders[number].request(number));
    let start = Instant::now();
    while start.elapsed() < RECOVERY_TIME {
        assert_eq!(with_permit(&loaders), [0, 1]);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    loaders[0].release();
    wait_for_permits(&loaders, RECOVERY_TIME, |now| now.len() == 2).await;
}

/// Failure: the releases of two loaders are lost, and both permits count as taken until they expire.
#[tokio::test]
async fn permits_of_completed_loads_are_free_after_a_restore() {
    let store = Standin::start().await;
    let loaders = Loader::start_all(&store, 4).await;
    (0..2).for_each(|number| loaders[number].request(number));
    wait_for_permits(&loaders, RECOVERY_TIME, |now| now == [0, 1]).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    (0..2).for_each(|number| loaders[number].release());
    tokio::time::sleep(Duration::from_millis(300)).await;
    restore(&store, Duration::from_millis(800), 1, &loaders);
    (2..4).for_each(|number| loaders[number].request(number));
    wait_for_permits(&loaders, RECOVERY_TIME, |now| now == [2, 3]).await;
}

/// Failure: the requests of waiting loaders are lost, and they get no permit until they renew them, twenty seconds
/// later.
#[tokio::test]
async fn waiting_loaders_get_permits_after_a_restore() {
    let store = Standin::start().await;
    let loaders = Loader::start_all(&store, 4).await;
    (0..2).for_each(|number| loaders[number].request(number));
    wait_for_permits(&loaders, RECOVERY_TIME, |now| now == [0, 1]).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    (2..4).for_each(|number| loaders[number].request(number));
    tokio::time::sleep(Duration::from_millis(300)).await;
    restore(&store, Duration::from_millis(700), 1, &loaders);
    (0..2).for_each(|number| loaders[number].release());
    wait_for_permits(&loaders, RECOVERY_TIME, |now| now == [2, 3]).await;
}

/// Restores the store several times from copies of random age, while loaders request and release permits at random and
/// learn of the restores at different times or not at all. Once all loaders know, there are never more loads than
/// permits, and in the end each loader gets a permit.
async fn run_random_restores(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let store = Standin::start().await;
    let loaders = Loader::start_all(&store, 6).await;
    let mut requesting = [false; 6];
    let mut era = 0;
    for _ in 0..rng.random_range(1..4) {
        for _ in 0..8 {
            let number = rng.random_range(0..loaders.len());
            if loaders[number].has_permit() && rng.random_bool(0.5) {
                loaders[number].release();
                requesting[number] = false;
            } else if !requesting[number] {
                loaders[number].request(number);
                requesting[number] = true;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(1..200))).await;
        }
        era += 1;
        store.restore_backup(Duration::from_millis(rng.random_range(0..2_500)));
        for loader in &loaders {
            if rng.random_bool(0.8) {
                loader.highest_era.send_replace(Era(era));
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
    }
    for loader in &loaders {
        loader.highest_era.send_replace(Era(era));
    }
    // Too many loads may have begun before all loaders knew of the last restore; from now on no more begin.
    tokio::time::sleep(RECOVERY_TIME).await;
    let start = Instant::now();
    let max = with_permit(&loaders).len().max(PERMITS);
    while requesting.contains(&true) {
        let now = with_permit(&loaders);
        assert!(now.len() <= max, "seed {seed}: {now:?} have a permit at once");
        assert!(
            start.elapsed() < RECOVERY_TIME * 3,
            "seed {seed}: {now:?} have a permit, requested: {requesting:?}"
        );
        if let Some(number) = now.first() {
            loaders[*number].release();
            requesting[*number] = false;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn each_loader_gets_a_permit_after_restores_from_copies_of_any_age() {
    let seeds = match std::env::var("SOAK_SEEDS").ok().as_deref().map(|text| text.split_once(".."))
    {
        Some(Some((from, to))) => from.parse().expect("a seed")..to.parse().expect("a seed"),
        _ => 1..9,
    };
    futures_util::future::join_all(seeds.map(run_random_restores)).await;
}
