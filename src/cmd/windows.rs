//! `hyssopctl windows`.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use policy::{StoreCapacity, WindowLoad, schedule};
use state::State;
use tree::{Leaf, NodeKind, Tree};
use units::{EndpointId, ReplicaIndex, ServiceName, Size};

use crate::error::{CmdError, Exit};
use crate::files;
use crate::session::Session;

/// How far ahead openings are shown.
const AHEAD: Duration = Duration::from_secs(40 * 24 * 3600);

/// The endpoints of a service.
#[derive(Debug, Default)]
struct Room {
    endpoints: Vec<EndpointId>,
    memory: Size,
}

/// What must be loaded on one service when a window opens.
#[derive(Debug, Default)]
struct Need {
    /// What the windows that open then and those still open need.
    memory: Size,
    models: usize,
    replicas: u32,
    /// What must be loaded for those that open then.
    loads: Vec<WindowLoad>,
}

/// Shows which windows open next, in a file or in force, and whether what they need fits.
pub(crate) fn run(
    session: &Session,
    file: Option<&Path>,
    from: Option<Timestamp>,
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let tree = match file {
        Some(file) => files::read(file)?.1.tree,
        None => session.tree().0,
    };
    let rooms = session.journal.read(rooms);
    let needs = needs(&tree, from.unwrap_or_else(Timestamp::now), &rooms);
    if needs.is_empty() {
        writeln!(out, "no window opens within 40 days")?;
    }
    for ((opens, service), need) in needs {
        writeln!(out, "{}", line(opens, &service, need, rooms.get(&service)))?;
    }
    Ok(Exit::Done)
}

fn rooms(state: &State) -> BTreeMap<ServiceName, Room> {
    let mut rooms: BTreeMap<ServiceName, Room> = BTreeMap::new();
    for member in state.members().filter(|member| !member.leaving) {
        let room = rooms.entry(member.attach.service.clone()).or_default();
        room.endpoints.push(member.attach.endpoint.clone());
        room.memory = room.memory + member.attach.memory;
    }
    rooms
}

/// The needs by opening and service.
fn needs(
    tree: &Tree,
    now: Timestamp,
    rooms: &BTreeMap<ServiceName, Room>,
) -> BTreeMap<(Timestamp, ServiceName), Need> {
    let models = tree.leaves().iter().filter(|leaf| leaf.kind == NodeKind::Model);
    let models: Vec<&Leaf> = models.map(Arc::as_ref).collect();
    let mut needs = BTreeMap::new();
    for leaf in &models {
        let Some(service) = &leaf.settings.service else { continue };
        for opens in openings(leaf, now) {
            let key = (opens, service.clone());
            needs.entry(key).or_insert_with(|| Need::of(&models, opens, service, rooms));
        }
    }
    needs
}

/// When a leaf's windows open.
fn openings(leaf: &Leaf, now: Timestamp) -> BTreeSet<Timestamp> {
    let ahead = SignedDuration::try_from(AHEAD).unwrap_or(SignedDuration::MAX);
    let mut found = BTreeSet::new();
    for window in &leaf.settings.windows {
        let next = |at: &Timestamp| window.next_opening(*at);
        let soon = |at: &Timestamp| at.duration_since(now) <= ahead;
        found.extend(std::iter::successors(next(&now), next).take_while(soon));
    }
    found
}

impl Need {
    fn of(
        models: &[&Leaf],
        opens: Timestamp,
        service: &ServiceName,
        rooms: &BTreeMap<ServiceName, Room>,
    ) -> Self {
        let mut need = Self::default();
        let same = |leaf: &&&Leaf| leaf.settings.service.as_ref() == Some(service);
        for leaf in models.iter().filter(same) {
            need.add(leaf, opens, rooms.get(service));
        }
        need
    }

    fn add(&mut self, leaf: &Leaf, opens: Timestamp, room: Option<&Room>) {
        let settings = &leaf.settings;
        let open = settings.windows.iter().filter_map(|window| {
            let since = window.open_at(opens)?;
            Some((window.replicas, since == opens))
        });
        let open: Vec<(u32, bool)> = open.collect();
        let most = |opening: bool| {
            let those = open.iter().filter(|(_, now)| *now == opening);
            those.map(|(replicas, _)| *replicas).max().unwrap_or(0)
        };
        let (before, now) = (most(false), most(true));
        let replicas = before.max(now);
        self.models += usize::from(replicas > 0);
        self.replicas += replicas;
        for index in 0..replicas {
            self.memory = self.memory + settings.weights + settings.kv_room;
            if index >= before {
                self.load(leaf, opens, index, room);
            }
        }
    }

    fn load(&mut self, leaf: &Leaf, opens: Timestamp, index: u32, room: Option<&Room>) {
        // Where it will be loaded is the planner's decision; for the time it takes, in turn will do.
        let turn = room.and_then(|room| room.endpoints.iter().cycle().nth(self.loads.len()));
        let Some(endpoint) = turn.cloned() else { return };
        let (model, weights) = (leaf.model.clone(), leaf.settings.weights);
        self.loads.push(WindowLoad { model, index: ReplicaIndex(index), endpoint, weights, opens });
    }
}

fn line(opens: Timestamp, service: &ServiceName, need: Need, room: Option<&Room>) -> String {
    let Need { memory, models, replicas, loads } = need;
    let needed = round(memory);
    let head = format!("{opens} {service}: {models} models with {replicas} replicas need {needed}");
    let Some(room) = room else { return format!("{head}; no endpoint has attached") };
    let have = format!("{} endpoints have {}", room.endpoints.len(), round(room.memory));
    let fits = if memory <= room.memory { "" } else { ", which is too little" };
    let starts = schedule(loads, &StoreCapacity::default()).first().map(|slot| slot.starts);
    let starts = starts.map_or_else(String::new, |at| format!("; loads begin by {at:.0}"));
    format!("{head}, {have}{fits}{starts}")
}

/// A size in whole GiB, rounded up, for people.
fn round(size: Size) -> Size {
    Size::gib(size.0.div_ceil(Size::gib(1).0))
}
