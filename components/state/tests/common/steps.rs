//! Random sessions: writers with views of different age, whose records surface late, twice or never.

use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::sample::Index;
use record::{Body, Record};
use serde_json::json;
use state::State;
use tree::Change;
use units::{Epoch, Offset};

use crate::common::{
    add, attach, claim, decide, edit, gone, grant, id, leave, model, release, remove, revoke, set,
};

const MODELS: [&str; 2] = ["page", "line"];
const ENDPOINTS: [&str; 3] = ["a", "b", "c"];
const WRITERS: usize = 4;

/// What a writer wants.
#[derive(Debug, Clone)]
pub(crate) enum Intent {
    Claim,
    Renew,
    Resign,
    Attach {
        endpoint: usize,
        instance: usize,
    },
    Leave {
        endpoint: usize,
    },
    Release {
        endpoint: usize,
        grants: Vec<Index>,
    },
    Decide {
        choices: Vec<Choice>,
    },
    Most {
        model: usize,
        most: u32,
    },
    Version {
        model: usize,
        version: u32,
    },
    Add {
        model: usize,
    },
    Remove {
        model: usize,
    },
    /// Something written before, in a new record.
    Again {
        record: Index,
    },
    /// A claim by a writer that follows another, longer log.
    Astray {
        ahead: u64,
    },
}

/// What a planner decides.
#[derive(Debug, Clone)]
pub(crate) enum Choice {
    Grant { model: usize, index: u32, version: u32, endpoint: usize },
    Revoke { grant: Index },
    Gone { endpoint: usize },
}

/// One step of a session.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// A writer reads the log up to its end.
    Look { writer: usize },
    /// A writer reads, writes and is read at once.
    Act { writer: usize, intent: Intent },
    /// A writer makes a record from what it has read, which is then on its way.
    Write { writer: usize, intent: Intent },
    /// A record that was written at any time surfaces, maybe not for the first time.
    Surface { record: Index },
    /// The newest record surfaces.
    SurfaceNewest,
    /// Offsets pass.
    Skip { count: u64 },
}

fn intent() -> impl Strategy<Value = Intent> {
    let model = 0..MODELS.len();
    let endpoint = 0..ENDPOINTS.len();
    let grants = proptest::collection::vec(any::<Index>(), 0..3);
    let choices = proptest::collection::vec(choice(), 0..4);
    prop_oneof![
        3 => Just(Intent::Claim),
        1 => Just(Intent::Renew),
        1 => Just(Intent::Resign),
        4 => (endpoint.clone(), 0..5_usize)
            .prop_map(|(endpoint, n)| Intent::Attach { endpoint, instance: n / 4 }),
        1 => endpoint.clone().prop_map(|endpoint| Intent::Leave { endpoint }),
        3 => (endpoint, grants).prop_map(|(endpoint, grants)| Intent::Release { endpoint, grants }),
        10 => choices.prop_map(|choices| Intent::Decide { choices }),
        2 => (model.clone(), 0..4_u32).prop_map(|(model, most)| Intent::Most { model, most }),
        1 => (model.clone(), 1..4_u32)
            .prop_map(|(model, version)| Intent::Version { model, version }),
        3 => model.clone().prop_map(|model| Intent::Add { model }),
        1 => model.prop_map(|model| Intent::Remove { model }),
        1 => any::<Index>().prop_map(|record| Intent::Again { record }),
        1 => (0..9_u64).prop_map(|ahead| Intent::Astray { ahead }),
    ]
}

fn choice() -> impl Strategy<Value = Choice> {
    let endpoint = 0..ENDPOINTS.len();
    prop_oneof![
        6 => (0..MODELS.len(), 0..3_u32, 1..8_u32, endpoint.clone()).prop_map(
            |(model, index, n, endpoint)| {
                Choice::Grant { model, index, version: n.saturating_sub(5).max(1), endpoint }
            }
        ),
        2 => any::<Index>().prop_map(|grant| Choice::Revoke { grant }),
        1 => endpoint.prop_map(|endpoint| Choice::Gone { endpoint }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let writer = 0..WRITERS;
    let skip = prop_oneof![4 => 1..20_u64, 1 => 4000..4200_u64];
    let act = (writer.clone(), intent());
    prop_oneof![
        24 => act.prop_map(|(writer, intent)| Step::Act { writer, intent }),
        4 => writer.clone().prop_map(|writer| Step::Look { writer }),
        6 => (writer, intent()).prop_map(|(writer, intent)| Step::Write { writer, intent }),
        2 => any::<Index>().prop_map(|record| Step::Surface { record }),
        4 => Just(Step::SurfaceNewest),
        1 => skip.prop_map(|count| Step::Skip { count }),
    ]
}

/// Sessions of up to `most` steps.
pub(crate) fn steps(most: usize) -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec(step(), 1..most)
}

/// Runs steps and hands each record that surfaces to a log.
pub(crate) struct Session {
    views: [State; WRITERS],
    written: Vec<Record>,
    end: Offset,
}

impl Session {
    pub(crate) fn new() -> Self {
        Self { views: Default::default(), written: Vec::new(), end: Offset(0) }
    }

    /// Takes a step; gives the record that surfaces by it with its offset.
    pub(crate) fn take(&mut self, step: &Step, newest: &State) -> Option<(Offset, Record)> {
        match step {
            Step::Look { writer } => self.views[*writer] = newest.clone(),
            Step::Write { writer, intent } => self.write(*writer, intent),
            Step::Act { writer, intent } => {
                self.views[*writer] = newest.clone();
                self.write(*writer, intent);
                return Some(self.surface(self.written.len() - 1));
            }
            Step::Skip { count } => self.end.0 += count,
            Step::Surface { record } if !self.written.is_empty() => {
                return Some(self.surface(record.index(self.written.len())));
            }
            Step::SurfaceNewest if !self.written.is_empty() => {
                return Some(self.surface(self.written.len() - 1));
            }
            Step::Surface { .. } | Step::SurfaceNewest => {}
        }
        None
    }

    fn surface(&mut self, place: usize) -> (Offset, Record) {
        self.end = self.end.next();
        (self.end, self.written[place].clone())
    }

    fn write(&mut self, writer: usize, intent: &Intent) {
        let view = &self.views[writer];
        let name = format!("r{}", self.written.len());
        let body = match intent {
            Intent::Again { record } if !self.written.is_empty() => {
                self.written[record.index(self.written.len())].body.clone()
            }
            _ => body(view, &name, intent),
        };
        let from = id(&format!("writer-{writer}"));
        let ahead = match intent {
            Intent::Astray { ahead } => *ahead,
            _ => 0,
        };
        let seen = Offset(view.offset().0 + ahead);
        self.written.push(Record::new(name, from, 0, seen, body));
    }
}

fn body(view: &State, name: &str, intent: &Intent) -> Body {
    let epoch = view.lease().epoch;
    let incarnation = |endpoint: usize| {
        let member = view.member(&id(ENDPOINTS[endpoint]));
        member.map_or(0, |member| member.incarnation.0)
    };
    let base = view.offset().0;
    match intent {
        Intent::Claim | Intent::Again { .. } | Intent::Astray { .. } => claim(epoch.0),
        Intent::Renew => Body::Renew { epoch },
        Intent::Resign => Body::Resign { epoch },
        Intent::Attach { endpoint, instance } => {
            let (name, previous) = (ENDPOINTS[*endpoint], incarnation(*endpoint));
            let mut attach = attach(name, &format!("{name}-{instance}"), previous);
            if *endpoint == 2 {
                attach.memory = units::Size::gib(16);
            }
            Body::Attach(attach)
        }
        Intent::Leave { endpoint } => leave(ENDPOINTS[*endpoint], incarnation(*endpoint)),
        Intent::Release { endpoint, grants } => {
            let mut known: Vec<_> = view.grants_at(&id(ENDPOINTS[*endpoint])).collect();
            if known.is_empty() {
                known = view.grants().collect();
            }
            let picked = grants.iter().filter(|_| !known.is_empty());
            let picked = picked.map(|grant| known[grant.index(known.len())].id).collect();
            release(ENDPOINTS[*endpoint], incarnation(*endpoint), picked)
        }
        Intent::Decide { choices } => decisions(view, epoch, choices),
        Intent::Most { model, most } => {
            let path = format!("/{}", MODELS[*model]);
            edit(name, base, vec![set(&path, "replicas-most", json!(most))])
        }
        Intent::Version { model, version } => {
            let path = format!("/{}", MODELS[*model]);
            edit(name, base, vec![set(&path, "version", json!(format!("v{version}")))])
        }
        Intent::Add { model: place } => edit(name, base, new_model(*place)),
        Intent::Remove { model } => edit(name, base, vec![remove(&format!("/{}", MODELS[*model]))]),
    }
}

fn new_model(place: usize) -> Vec<Change> {
    let name = MODELS[place];
    let weights = ["8GiB", "15GiB"][place];
    let mut changes = model(name, 2, weights);
    changes.push(add(&format!("/{name}/v2"), tree::NodeKind::Version));
    changes
}

fn decisions(view: &State, epoch: Epoch, choices: &[Choice]) -> Body {
    let all: Vec<_> = view.grants().collect();
    let decision = |choice: &Choice| match choice {
        Choice::Grant { model, index, version, endpoint } => {
            let mut decision = grant(MODELS[*model], *index, ENDPOINTS[*endpoint]);
            if let record::Decision::Grant { artifact, .. } = &mut decision {
                *artifact = id(&format!("{}@v{version}", MODELS[*model]));
            }
            decision
        }
        Choice::Revoke { grant } if all.is_empty() => revoke(grant.index(9) as u64, 0),
        Choice::Revoke { grant } => {
            let grant = all[grant.index(all.len())].id;
            revoke(grant.offset.0, grant.part)
        }
        Choice::Gone { endpoint } => {
            let member = view.member(&id(ENDPOINTS[*endpoint]));
            gone(ENDPOINTS[*endpoint], member.map_or(0, |member| member.incarnation.0))
        }
    };
    decide(epoch.0, choices.iter().map(decision).collect())
}
