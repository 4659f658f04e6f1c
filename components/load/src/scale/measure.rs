//! The phases of one deployment: quiet, an edit, a cold wake, losses.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use standin::EngineSettings;
use state::State;
use tokio::time::sleep;
use units::{InstanceId, Size};

use crate::caller::Caller;
use crate::evidence::Ending;
use crate::probe::completion;
use crate::scale::ScaleError;
use crate::scale::content::{Content, model};
use crate::scale::report::{Cost, LogLoad, Point, Role, StateBytes};
use crate::scale::stage::{ENTRIES, Snapshot, Stage};
use crate::scale::usage::machine_load;

/// How long a deployment settles before it is measured.
const SETTLE: Duration = Duration::from_secs(5);
/// How long the quiet time is.
const QUIET: Duration = Duration::from_secs(20);
/// Edits that are published, and the pause between them.
const EDITS: usize = 5;
const EDIT_PAUSE: Duration = Duration::from_secs(1);
/// How long appends may come after what caused them.
const AFTERMATH: Duration = Duration::from_secs(3);
/// The part of the agents that is lost with a failure domain.
const QUARTER: usize = 4;
const TOKENS: u32 = 8;

/// Measures a deployment with a process for every member.
pub(crate) async fn real(bin: &Path, out: &Path, agents: usize) -> Result<Point, ScaleError> {
    let content = Content::of(agents);
    let (mut stage, mut point) = quiet(bin, out, agents, content).await?;
    point.wake = Some(wake(&mut stage).await?);
    point.instance = Some(lose(&mut stage, content, 1).await?);
    point.domain = Some(lose(&mut stage, content, agents / QUARTER).await?);
    Ok(point)
}

/// Measures a deployment with few processes and a state of `members`.
pub(crate) async fn large(
    bin: &Path,
    out: &Path,
    agents: usize,
    members: usize,
) -> Result<Point, ScaleError> {
    let (_stage, point) = quiet(bin, out, agents, Content::of(members)).await?;
    Ok(point)
}

/// Starts a deployment and measures it in a quiet time and with edits.
async fn quiet(
    bin: &Path,
    out: &Path,
    agents: usize,
    content: Content,
) -> Result<(Stage, Point), ScaleError> {
    let engine = EngineSettings { memory: Size::gib(80), ..EngineSettings::default() };
    let mut stage = Stage::start(bin, out, agents, content, &engine).await?;
    let mut point = Point {
        agents,
        members: content.members,
        models: content.models,
        adapters: content.adapters,
        grants: content.grants(),
        ..Point::default()
    };
    stage.until("all members", |state| state.members().count() == content.members).await?;
    stage.until("all grants", |state| granted(state) == content.grants()).await?;
    point.start = stage.since_start();
    sleep(SETTLE).await;
    let before = stage.snapshot().await;
    sleep(QUIET).await;
    let after = stage.snapshot().await;
    point.machine = machine_load();
    let planner = stage.state().lease().holder.clone();
    fill(&mut point, &before, &after, planner.as_ref());
    point.state = state_bytes(stage.state());
    for round in 0..EDITS {
        let mark = stage.mark();
        stage.publish(&format!("edit-{round}"), round).await?;
        let cost = stage.cost(mark);
        if cost.seconds > point.edit.seconds {
            point.edit = cost;
        }
        sleep(EDIT_PAUSE).await;
    }
    Ok((stage, point))
}

/// Works the roles and the log's load out from readings before and after the quiet time.
fn fill(point: &mut Point, before: &Snapshot, after: &Snapshot, planner: Option<&InstanceId>) {
    let span = QUIET.as_secs_f64();
    let is_planner = |name: &str| planner.is_some_and(|planner| planner.as_str() == name);
    let is_entry = |name: &str| name.starts_with("entry");
    point.agent = role(before, after, |name| !is_entry(name));
    point.entry = role(before, after, |name| is_entry(name) && !is_planner(name));
    point.planner = role(before, after, is_planner);
    let rate = |of: fn(&Snapshot) -> u64| (of(after) - of(before)) as f64 / span;
    let log = rate(|snapshot| snapshot.log_bytes);
    // Every process follows the log; the agents and the planner read the list.
    let each = log / (point.agents + ENTRIES) as f64;
    point.agent.platform = each + rate(|snapshot| snapshot.agents_list) / point.agents as f64;
    point.entry.platform = each;
    point.planner.platform = each + rate(|snapshot| snapshot.entries_list);
    point.log = LogLoad {
        appends: (after.counters.appends - before.counters.appends) as f64 / span,
        reads: (after.counters.reads - before.counters.reads) as f64 / span,
        bytes: log,
    };
}

/// What the processes with such names took in the quiet time.
fn role(before: &Snapshot, after: &Snapshot, of: impl Fn(&str) -> bool) -> Role {
    let span = QUIET.as_secs_f64();
    let mut role = Role::default();
    let mut count = 0.0;
    for (name, usage) in after.usage.iter().filter(|(name, _)| of(name)) {
        let Some(was) = before.usage.get(name) else { continue };
        count += 1.0;
        role.core += (usage.busy.saturating_sub(was.busy)).as_secs_f64() / span * 100.0;
        role.resident = role.resident.max(usage.resident);
        role.threads = role.threads.max(usage.threads);
        let peers = |snapshot: &Snapshot| snapshot.peers.get(name).copied().unwrap_or_default();
        role.peers += (peers(after) - peers(before)) / span;
    }
    Role { core: role.core / count, peers: role.peers / count, ..role }
}

fn state_bytes(state: &State) -> StateBytes {
    let whole = serde_json::to_value(state).unwrap_or_default();
    let part = |name: &str| text_len(&whole[name]);
    StateBytes {
        members: part("members"),
        grants: part("grants"),
        tree: part("tree"),
        recent: part("recent") + part("edits"),
        packed: state::to_text(state).len(),
    }
}

fn text_len(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}

fn granted(state: &State) -> usize {
    state.grants().filter(|grant| !grant.revoked).count()
}

/// Sends a request to a model that nobody has used.
async fn wake(stage: &mut Stage) -> Result<Cost, ScaleError> {
    let caller = Caller::new(stage.clock);
    let ask = completion(&model(1), "the first page", TOKENS);
    let mark = stage.mark();
    let call = caller.send(&stage.fleet.site.doors, &ask, stage.clock.now()).await;
    let served = stage.cost(mark);
    if call.ending != Ending::Served {
        return Err(ScaleError::Wake(call.text));
    }
    sleep(AFTERMATH).await;
    Ok(Cost { seconds: served.seconds, ..stage.cost(mark) })
}

/// Kills so many agents at once and waits until all is granted to others.
async fn lose(stage: &mut Stage, content: Content, count: usize) -> Result<Cost, ScaleError> {
    let mut holders: Vec<String> = Vec::new();
    for grant in stage.state().grants() {
        let name = grant.endpoint.to_string();
        if !holders.contains(&name) {
            holders.push(name);
        }
    }
    let all = stage.state().members().map(|member| member.attach.endpoint.to_string());
    // Those who hold grants first.
    let mut names: Vec<String> = holders.iter().cloned().chain(all.collect::<Vec<_>>()).collect();
    let mut seen = std::collections::BTreeSet::new();
    names.retain(|name| seen.insert(name.clone()));
    names.truncate(count);
    let left = stage.state().members().count() - names.len();
    let mark = stage.mark();
    stage.lose(&names).await?;
    stage.until("the lost members gone", |state| state.members().count() == left).await?;
    stage.until("all granted again", |state| granted(state) == content.grants()).await?;
    Ok(stage.cost(mark))
}
