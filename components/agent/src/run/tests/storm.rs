//! Random requests, faults, grants and restarts, compared with what the engine really did.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use record::GrantId;
use rstest::rstest;
use tokio::task::JoinHandle;
use tree::Class;
use units::{Size, Span};
use wire::{Dispatch, Refusal};

use super::world::{Answer, Running, World, id, pause, settings, until};
use crate::{EndpointKind, Settings};

const MODELS: [&str; 3] = ["page-text", "read-aloud", "glossary"];
const ROUNDS: usize = 150;

/// What the callers of the storm were told.
#[derive(Default)]
struct Told {
    open: Vec<(String, JoinHandle<Answer>)>,
    served: BTreeSet<String>,
    not_run: BTreeMap<String, Refusal>,
    unknown: BTreeSet<String>,
}

impl Told {
    async fn collect(&mut self) {
        for (request, answer) in std::mem::take(&mut self.open) {
            match answer.await.expect("an answer") {
                answer if answer.whole().is_some() => {
                    self.served.insert(request);
                }
                Answer::NotRun { refusal, .. } => {
                    self.not_run.insert(request, refusal);
                }
                _ => {
                    self.unknown.insert(request);
                }
            }
        }
    }
}

struct Storm {
    world: World,
    rng: ChaCha8Rng,
    settings: Settings,
    running: Running,
    grants: BTreeMap<&'static str, (GrantId, bool)>,
    told: Told,
    count: usize,
}

impl Storm {
    async fn new(seed: u64, fenced: bool) -> Self {
        let world = World::new();
        world.engine.set(|faults| faults.unfenced = !fenced);
        let settings = Settings { fenced, table: 10_000, ..settings(EndpointKind::Engine) };
        let running = world.start_with(settings.clone()).await;
        let grants = MODELS.map(|model| (model, (world.grant(model, "v1"), false)));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (grants, told) = (grants.into(), Told::default());
        Self { world, rng, settings, running, grants, told, count: 0 }
    }

    async fn round(&mut self) {
        match self.rng.random_range(0..100) {
            0..50 => self.dispatch(),
            50..56 => self.cancel(),
            56..62 => self.lose_orders(),
            62..66 => self.silence(),
            66..70 => self.late_orders(),
            70..73 => self.world.engine.crash(),
            73..80 => self.turn_grant(),
            80..83 => self.fail_loads(),
            83..85 => self.restart().await,
            _ => {}
        }
        let millis = self.rng.random_range(0..1500);
        pause(millis).await;
    }

    fn dispatch(&mut self) {
        let model = MODELS.choose(&mut self.rng).expect("a model");
        let classes = [Class::Urgent, Class::Interactive, Class::Series];
        let adapters = [None, None, Some("urdu"), Some("sindhi")];
        let adapter =
            adapters.choose(&mut self.rng).expect("a choice").filter(|_| *model == MODELS[0]);
        for _ in 0..self.rng.random_range(1..4) {
            let request = format!("r-{}", self.count);
            self.count += 1;
            let head = Dispatch {
                model: Some(id(model)),
                adapter: adapter.map(id),
                class: *classes.choose(&mut self.rng).expect("a class"),
                budget: Span::millis(self.rng.random_range(100..40_000)),
                repeatable: self.rng.random_bool(0.5),
                ..self.running.head(&request)
            };
            let answer = self.running.dispatch(&head);
            if self.rng.random_bool(0.1) {
                let twice = self.running.dispatch(&head);
                self.told.open.push((request.clone(), twice));
            }
            self.told.open.push((request, answer));
        }
    }

    fn cancel(&mut self) {
        if self.count > 0 {
            let request = format!("r-{}", self.rng.random_range(0..self.count));
            self.running.resume(&request, 0, true);
        }
    }

    fn lose_orders(&mut self) {
        let (replies, orders) = (self.rng.random_range(0..3), self.rng.random_range(0..3));
        self.world.engine.set(|faults| {
            faults.lost_replies = replies;
            faults.lost_orders = orders;
        });
    }

    fn late_orders(&mut self) {
        let late = self.rng.random_bool(0.3).then(|| self.rng.random_range(100..1_900));
        self.world.engine.set(|faults| faults.late_orders = late.map(Duration::from_millis));
    }

    fn silence(&mut self) {
        let after = self.rng.random_range(0..4);
        self.world.engine.set(|faults| faults.silent_after = Some(after));
    }

    fn fail_loads(&mut self) {
        let fails = self.rng.random_bool(0.3);
        self.world.engine.set(|faults| {
            faults.fail_loads = fails.then(|| "damaged".to_owned());
            faults.refuse_orders = fails;
        });
    }

    /// Revokes a grant, or gives it again once it was released.
    fn turn_grant(&mut self) {
        let model = *MODELS.choose(&mut self.rng).expect("a model");
        let (grant, revoked) = self.grants[model];
        if !revoked {
            self.world.revoke(grant);
            self.grants.insert(model, (grant, true));
        } else if self.world.state().grant(grant).is_none() {
            let version = if self.rng.random_bool(0.5) { "v1" } else { "v2" };
            self.world.version(model, version);
            self.grants.insert(model, (self.world.grant(model, version), false));
        }
    }

    /// Ends the agent without a word and starts another.
    async fn restart(&mut self) {
        self.running.die().await;
        self.running = self.world.start_with(self.settings.clone()).await;
    }

    /// Once no fault is left, every model is served again.
    async fn recover(&mut self) {
        for model in MODELS {
            let (grant, revoked) = self.grants[model];
            if revoked {
                until(|| self.world.state().grant(grant).is_none()).await;
                self.world.version(model, "v1");
                self.world.grant(model, "v1");
            }
        }
        pause(35_000).await;
        for model in MODELS {
            let request = format!("after-{model}");
            let budget = Span::secs(120);
            let head = Dispatch { model: Some(id(model)), budget, ..self.running.head(&request) };
            let answer = self.running.dispatch(&head).await.expect("an answer");
            assert!(answer.whole().is_some(), "{model}: {answer:?}");
        }
    }

    /// Compares what callers were told with what the engine did.
    async fn check(mut self) {
        self.world.engine.set(|faults| {
            faults.late_orders = None;
            faults.fail_loads = None;
            faults.refuse_orders = false;
            faults.lost_orders = 0;
        });
        self.told.collect().await;
        self.recover().await;
        let truth = self.world.engine.truth();
        let told = &self.told;
        for (request, refusal) in &told.not_run {
            let runs = truth.executions.get(request);
            let served = told.served.contains(request) || told.unknown.contains(request);
            assert!(runs.is_none() || served, "{request} ran, but was refused: {refusal}");
        }
        for (request, count) in &truth.executions {
            assert_eq!(*count, 1, "{request} ran {count} times");
        }
        assert!(truth.high_water <= Size::gib(24), "{} of memory", truth.high_water);
        assert!(truth.most_loaded.values().all(|most| *most == 1), "{:?}", truth.most_loaded);
        assert_eq!(truth.cut_by_unload, 0, "an unload has cut requests");
        pause(60_000).await;
        until(|| self.world.engine.loaded().is_empty()).await;
        until(|| self.running.agent.desk().ledger.taken() == Size(0)).await;
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn keeps_its_promises_in_a_storm(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 1011, 1160, 1170)] seed: u64,
    #[values(true, false)] fenced: bool,
) {
    let mut storm = Storm::new(seed, fenced).await;
    for _ in 0..ROUNDS {
        storm.round().await;
    }
    storm.check().await;
}
