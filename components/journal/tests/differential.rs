//! Random sessions against naive versions: a fold of all records for the journal, a list of wins for keys.
//!
//! `PROPTEST_CASES` and `PROPTEST_RNG_SEED` ask for more or other cases. The pauses that the journal draws
//! at random are not seeded, so a failure may need several runs to show again.

mod common;

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{Node, Site, attach, claim, pass};
use edge::Stream;
use fake::Log;
use journal::{AppendError, KeyOutcome, Keys, SnapshotRule};
use proptest::prelude::{Just, ProptestConfig, Strategy, any};
use proptest::test_runner::{RngSeed, TestCaseError, TestRunner};
use proptest::{collection, prop_assert, prop_assert_eq, prop_oneof};
use record::KeyClaim;
use state::{Applied, State};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use units::Offset;

const CASES: u32 = 60;
/// How many plain cases a session costs.
const COST: u32 = 4;
const SEED: u64 = 20_260_331;
const STEPS: usize = 30;
const NODES: usize = 3;
const LIMIT: Duration = Duration::from_secs(20);

fn config() -> ProptestConfig {
    let asked = ProptestConfig::default();
    let rng_seed = match asked.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        seed => seed,
    };
    ProptestConfig {
        cases: (asked.cases / COST).max(CASES),
        rng_seed,
        failure_persistence: None,
        ..asked
    }
}

/// Runs a session on a runtime of its own whose clock is paused.
fn run<F: Future>(session: F) -> F::Output {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build();
    runtime.expect("threads can start").block_on(session)
}

/// What is wrong with the log from now on.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    None,
    Outage,
    Refuse,
    Lost(u32),
    Late(u64),
    Slow(u64),
}

fn troubles() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        3 => Just(Trouble::None),
        1 => Just(Trouble::Outage),
        1 => Just(Trouble::Refuse),
        2 => (1..5_u32).prop_map(Trouble::Lost),
        2 => (1..40_u64).prop_map(Trouble::Late),
        1 => (1..8_u64).prop_map(Trouble::Slow),
    ]
}

fn make(trouble: Trouble, log: &Log) {
    log.set(|faults| {
        let (age, retention) = (faults.age, faults.retention);
        *faults = fake::Faults { age, retention, ..fake::Faults::default() };
        match trouble {
            Trouble::None => {}
            Trouble::Outage => faults.outage = true,
            Trouble::Refuse => faults.refuse = true,
            Trouble::Lost(count) => faults.lost = count,
            Trouble::Late(seconds) => faults.late = Some(Duration::from_secs(seconds)),
            Trouble::Slow(seconds) => faults.delay = Duration::from_secs(seconds),
        }
    });
}

#[derive(Debug, Clone)]
enum Step {
    Claim { node: usize, stale: bool },
    Attach { node: usize, number: u16 },
    Trouble(Trouble),
    Pass(u64),
    Replace(usize),
    Snapshot(usize),
    Expire,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..NODES, any::<bool>()).prop_map(|(node, stale)| Step::Claim { node, stale }),
        4 => (0..NODES, 1..6_u16).prop_map(|(node, number)| Step::Attach { node, number }),
        4 => troubles().prop_map(Step::Trouble),
        4 => (0..30_u64).prop_map(Step::Pass),
        2 => (0..NODES).prop_map(Step::Replace),
        2 => (0..NODES).prop_map(Step::Snapshot),
        1 => Just(Step::Expire),
    ];
    collection::vec(step, 1..STEPS)
}

/// A site with everything that its log ever held.
struct Session {
    site: Site,
    nodes: Vec<Node>,
    started: u16,
    held: BTreeMap<Offset, Bytes>,
    appends: Vec<JoinHandle<Result<Applied, AppendError>>>,
    snapshots: Vec<JoinHandle<Result<Offset, AppendError>>>,
    whole: Offset,
}

impl Session {
    fn new() -> Self {
        let mut session = Self {
            site: Site::default(),
            nodes: Vec::new(),
            started: 0,
            held: BTreeMap::new(),
            appends: Vec::new(),
            snapshots: Vec::new(),
            whole: Offset(0),
        };
        for _ in 0..NODES {
            let node = session.start();
            session.nodes.push(node);
        }
        session
    }

    fn start(&mut self) -> Node {
        self.started += 1;
        let rule = SnapshotRule { records: 10, age: Duration::from_secs(60) };
        // Seeds are the ones that started last; whether they still live is left to chance.
        let seeds: Vec<u16> = (self.started.saturating_sub(3)..self.started).collect();
        self.site.node_with(self.started, &seeds, |options| options.snapshot = rule)
    }

    fn note_records(&mut self) {
        let page = self.site.log.records(Stream::Control);
        self.held.extend(page.entries.into_iter().map(|entry| (entry.offset, entry.data)));
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Claim { node, stale } => {
                let epoch = self.nodes[node].journal.read(|state| state.lease().epoch);
                let body = claim(if stale { epoch.0.saturating_sub(1) } else { epoch.0 });
                self.append(node, body);
            }
            Step::Attach { node, number } => self.append(node, attach(number)),
            Step::Trouble(trouble) => make(trouble, &self.site.log),
            Step::Pass(seconds) => pass(seconds).await,
            Step::Replace(node) => {
                let new = self.start();
                std::mem::replace(&mut self.nodes[node], new).end();
            }
            Step::Snapshot(node) => {
                let journal = self.nodes[node].journal.clone();
                let write = async move { journal.append_snapshot(LIMIT).await };
                self.snapshots.push(tokio::spawn(write));
            }
            Step::Expire => self.expire().await,
        }
        self.note_records();
    }

    fn append(&mut self, node: usize, body: record::Body) {
        let journal = self.nodes[node].journal.clone();
        self.appends.push(tokio::spawn(async move { journal.append(body, LIMIT).await }));
    }

    /// Expires what the newest whole snapshot makes unneeded.
    async fn expire(&mut self) {
        for snapshot in self.snapshots.drain(..) {
            if let Ok(upto) = snapshot.await.expect("the task ended") {
                self.whole = self.whole.max(upto);
            }
        }
        self.note_records();
        self.site.log.expire(Stream::Control, self.whole.next());
    }

    async fn finish(mut self) -> Result<(), TestCaseError> {
        make(Trouble::None, &self.site.log);
        pass(120).await;
        self.note_records();
        let mut naive = State::default();
        let verdicts: BTreeMap<Offset, Applied> = self
            .held
            .iter()
            .map(|(offset, data)| (*offset, naive.apply_bytes(*offset, data)))
            .collect();
        for node in &self.nodes {
            prop_assert!(node.is_ready());
            prop_assert_eq!(node.text(), state::to_text(&naive));
        }
        for append in self.appends {
            if let Ok(applied) = append.await.expect("the task ended") {
                prop_assert_eq!(Some(&applied), verdicts.get(&applied.offset));
            }
        }
        Ok(())
    }
}

#[test]
fn can_fold_like_the_plain_fold_of_all_records() {
    let mut runner = TestRunner::new(config());
    let session = |steps: Vec<Step>| {
        run(async {
            let mut session = Session::new();
            for step in steps {
                session.step(step).await;
            }
            session.finish().await
        })
    };
    runner.run(&steps(), session).expect("all sessions agree");
}

const WINDOW: Duration = Duration::from_secs(600);
/// The log keeps claims for longer than they are remembered.
const RETENTION: Duration = Duration::from_secs(700);

#[derive(Debug, Clone)]
enum KeyStep {
    Claim { entry: usize, key: u8 },
    GiveBack(usize),
    Trouble(Trouble),
    Pass(u64),
    Replace(usize),
}

fn key_steps() -> impl Strategy<Value = Vec<KeyStep>> {
    let step = prop_oneof![
        8 => (0..NODES, 0..2_u8).prop_map(|(entry, key)| KeyStep::Claim { entry, key }),
        2 => (0..8_usize).prop_map(KeyStep::GiveBack),
        4 => troubles().prop_map(KeyStep::Trouble),
        4 => (0..30_u64).prop_map(KeyStep::Pass),
        1 => (300..700_u64).prop_map(KeyStep::Pass),
        1 => (0..NODES).prop_map(KeyStep::Replace),
    ];
    collection::vec(step, 1..STEPS * 2)
}

/// A claim that won.
#[derive(Debug, Clone)]
struct Win {
    at: Instant,
    claim: KeyClaim,
    entry: usize,
    ended: Option<Instant>,
}

type Claiming = JoinHandle<Option<Win>>;

struct KeySession {
    log: Log,
    entries: Vec<Keys>,
    claims: Vec<(usize, Claiming)>,
    wins: Vec<Win>,
    asked: u32,
}

impl KeySession {
    fn new() -> Self {
        let log = Log::default();
        log.set(|faults| faults.age = Some(RETENTION));
        let start = |_| Keys::start(Arc::new(log.clone()), WINDOW);
        let entries = (0..NODES).map(start).collect();
        Self { log, entries, claims: Vec::new(), wins: Vec::new(), asked: 0 }
    }

    async fn step(&mut self, step: KeyStep) {
        match step {
            KeyStep::Claim { entry, key } => self.claim(entry, key),
            KeyStep::GiveBack(index) => {
                self.collect().await;
                if let Some(win) = self.wins.get_mut(index).filter(|win| win.ended.is_none()) {
                    win.ended = Some(Instant::now());
                    self.entries[win.entry].withdraw(&win.claim);
                }
            }
            KeyStep::Trouble(trouble) => make(trouble, &self.log),
            KeyStep::Pass(seconds) => pass(seconds).await,
            KeyStep::Replace(entry) => {
                self.collect().await;
                self.claims.retain(|(at, claiming)| {
                    let dies = *at == entry;
                    if dies {
                        claiming.abort();
                    }
                    !dies
                });
                self.entries[entry] = Keys::start(Arc::new(self.log.clone()), WINDOW);
            }
        }
    }

    fn claim(&mut self, entry: usize, key: u8) {
        self.asked += 1;
        let claim = KeyClaim {
            key: format!("a{key}").parse().expect("a right key"),
            request: format!("request-{}", self.asked).parse().expect("a right id"),
            entry: format!("entry-{entry}").parse().expect("a right id"),
            digest: "body".to_owned(),
        };
        let keys = self.entries[entry].clone();
        let claiming = tokio::spawn(async move {
            let won = keys.claim(claim.clone(), LIMIT).await == Ok(KeyOutcome::Won);
            won.then(|| Win { at: Instant::now(), claim, entry, ended: None })
        });
        self.claims.push((entry, claiming));
    }

    /// Takes in the claims that are decided.
    async fn collect(&mut self) {
        let (decided, open): (Vec<_>, Vec<_>) =
            self.claims.drain(..).partition(|(_, claiming)| claiming.is_finished());
        self.claims = open;
        for (_, claiming) in decided {
            self.wins.extend(claiming.await.expect("the task ended"));
        }
    }

    async fn finish(mut self) -> Result<(), TestCaseError> {
        make(Trouble::None, &self.log);
        pass(60).await;
        self.collect().await;
        self.wins.sort_by_key(|win| win.at);
        for (index, later) in self.wins.iter().enumerate() {
            let earlier = self.wins[..index].iter();
            for earlier in earlier.filter(|earlier| earlier.claim.key == later.claim.key) {
                let released = earlier.ended.is_some_and(|ended| ended <= later.at);
                let apart = later.at - earlier.at > WINDOW;
                prop_assert!(released || apart, "{:?} and {:?}", earlier, later);
            }
        }
        // Nothing holds a key for good.
        pass(2 * RETENTION.as_secs()).await;
        for entry in 0..NODES {
            let before = self.wins.len();
            self.claim(entry, 9 + u8::try_from(entry).expect("there are few entries"));
            pass(60).await;
            self.collect().await;
            prop_assert_eq!(self.wins.len(), before + 1);
        }
        Ok(())
    }
}

#[test]
fn can_give_a_key_to_one_request_at_a_time() {
    let mut runner = TestRunner::new(config());
    let session = |steps: Vec<KeyStep>| {
        run(async {
            let mut session = KeySession::new();
            pass(1).await;
            for step in steps {
                session.step(step).await;
            }
            session.finish().await
        })
    };
    runner.run(&key_steps(), session).expect("no key is given twice");
}
