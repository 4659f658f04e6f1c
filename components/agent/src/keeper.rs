//! The task that keeps the replicas as the grants, the queues and the memory ask for; it alone orders.

use std::sync::Arc;
use std::time::Duration;

use edge::OrderKind;
use policy::StoreCapacity;
use record::{Body, GrantId};
use timeline::Kind;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::authority::Barred;
use crate::desk::Closed;
use crate::orders::{self, OrderEnd};
use crate::plan::OrderIds;
use crate::settle::{Change, Seen};

/// The longest pause between two looks at the replicas.
const TICK: Duration = Duration::from_millis(250);

/// How long an inventory may be waited for.
const POLL: Duration = Duration::from_secs(1);

/// The pause after an inventory that could not be read.
const POLL_PAUSE: Duration = Duration::from_millis(250);

/// The pause between two looks at the closing windows.
const LOOK: Duration = Duration::from_secs(1);

/// How long the release of grants may take before it is tried again.
const RELEASE_LIMIT: Duration = Duration::from_secs(10);

/// Follows the endpoint's inventory until nobody looks any more.
pub(crate) async fn follow_inventory(agent: Arc<Agent>, seen: watch::Sender<Option<Arc<Seen>>>) {
    let mut after = 0;
    while !seen.is_closed() {
        let begun = tokio::time::Instant::now();
        let read = tokio::select! {
            read = agent.endpoint.inventory(after, POLL) => read,
            () = agent.recheck.notified() => agent.endpoint.inventory(0, Duration::ZERO).await,
        };
        match read {
            Ok(inventory) => {
                after = inventory.version;
                let _ = seen.send(Some(Arc::new(Seen { inventory, begun })));
            }
            Err(error) => {
                log::warn!("agent: the inventory can't be read: {error}");
                tokio::time::sleep(POLL_PAUSE).await;
            }
        }
    }
}

/// Keeps the replicas until another incarnation takes over.
pub(crate) async fn run(
    agent: Arc<Agent>,
    mut inventory: watch::Receiver<Option<Arc<Seen>>>,
) -> Barred {
    let mut keeper = Keeper {
        ids: OrderIds::new(format!("{}-{}", agent.settings.endpoint, agent.incarnation())),
        agent,
        orders: JoinSet::new(),
        releases: JoinSet::new(),
        reconciled: false,
        looked: None,
    };
    if keeper.agent.settings.fenced {
        keeper.seal();
    }
    let mut changes = keeper.agent.journal.changes();
    loop {
        let agent = keeper.agent.clone();
        tokio::select! {
            biased;
            Some(Ok(end)) = keeper.orders.join_next() => keeper.ended(&end),
            Some(_) = keeper.releases.join_next() => {}
            Ok(()) = inventory.changed() => {
                let seen = inventory.borrow_and_update().clone();
                if let Some(seen) = seen {
                    keeper.settle(&seen);
                }
            }
            Ok(()) = changes.changed() => {}
            () = agent.nudge.notified() => {}
            () = tokio::time::sleep(TICK) => {}
        }
        if let Err(barred @ Barred::Superseded { .. }) = agent.authority.current() {
            agent.desk().close(Closed::Superseded(barred.refusal()));
            return barred;
        }
        keeper.act();
    }
}

/// Waits until another incarnation has taken over a plain service; nothing is ordered there.
pub(crate) async fn watch_takeover(agent: &Agent) -> Barred {
    let mut changes = agent.journal.changes();
    loop {
        if let Err(barred @ Barred::Superseded { .. }) = agent.authority.current() {
            agent.desk().close(Closed::Superseded(barred.refusal()));
            return barred;
        }
        agent.measure();
        let _ = tokio::time::timeout(TICK, changes.changed()).await;
    }
}

/// The name of an artifact that there is not.
const NOTHING: &str = "none@fence";

struct Keeper {
    agent: Arc<Agent>,
    ids: OrderIds,
    orders: JoinSet<OrderEnd>,
    releases: JoinSet<()>,
    reconciled: bool,
    /// When it last looked at the closing windows.
    looked: Option<Instant>,
}

impl Keeper {
    /// Takes over an inventory.
    fn settle(&mut self, seen: &Seen) {
        let agent = &self.agent;
        self.reconciled |= agent.authority.start().is_some_and(|start| {
            let limit = agent.settings.order_limit.0;
            let sealed = !agent.settings.fenced || seen.inventory.fence >= agent.incarnation();
            seen.begun >= start && (sealed || seen.begun >= start + limit)
        });
        let changes = agent.desk().settle(seen, agent.settings.order_limit.0);
        for change in changes {
            self.note(&change);
        }
    }

    /// Shows the endpoint the new fencing number with an order that has no other effect, so that orders of
    /// older incarnations are refused before the inventory is relied on.
    fn seal(&mut self) {
        let artifact = NOTHING.parse().expect("a valid name");
        let draft = self.ids.draft(OrderKind::Unload { artifact });
        self.order(draft);
    }

    fn ended(&mut self, end: &OrderEnd) {
        let limit = self.agent.settings.order_limit.0;
        let change = self.agent.desk().replied(&end.id, &end.kind, &end.sent, limit);
        if let Some(change) = change {
            self.note(&change);
        }
    }

    fn note(&self, change: &Change) {
        let (kind, artifact, note) = match change {
            Change::Loaded(artifact) => (Kind::Loaded, artifact, String::new()),
            Change::Unloaded(artifact) => (Kind::Unloaded, artifact, String::new()),
            Change::Failed { artifact, cause } => {
                log::warn!("agent: {artifact} could not be loaded: {cause}");
                (Kind::Unloaded, artifact, format!("load failed: {cause}"))
            }
        };
        if !matches!(change, Change::Loaded(_)) {
            self.agent.caches().forget(artifact);
        }
        let name = match change {
            Change::Loaded(_) => "loaded",
            Change::Unloaded(_) => "unloaded",
            Change::Failed { .. } => "failed",
        };
        metrics::counter!("hyssop_agent_loads_total", "end" => name).increment(1);
        self.agent.record(kind, |event| event.model(artifact).note(note));
    }

    /// Looks at what closing windows need here, now and then.
    fn look_at_windows(&mut self) {
        if self.looked.is_some_and(|at| at.elapsed() < LOOK) {
            return;
        }
        self.looked = Some(Instant::now());
        let (agent, store) = (&self.agent, StoreCapacity::default());
        let (endpoint, now) = (&agent.settings.endpoint, agent.calendar.now());
        let needs =
            agent.journal.read(|state| policy::needed_replicas(state, endpoint, now, &store));
        agent.desk().hold(&needs);
    }

    /// Sends what is due.
    fn act(&mut self) {
        self.look_at_windows();
        if self.reconciled && self.agent.authority.check().is_ok() {
            let drafts = self.agent.desk().plan(&mut self.ids);
            for draft in drafts {
                self.order(draft);
            }
        }
        let grants = self.agent.desk().released();
        if !grants.is_empty() && self.releases.is_empty() {
            self.releases.spawn(release(self.agent.clone(), grants));
        }
        self.agent.measure();
    }

    fn order(&mut self, draft: crate::plan::Draft) {
        self.agent.record_order(&draft);
        let agent = self.agent.clone();
        self.orders.spawn(async move {
            let limit = agent.reply_limit();
            orders::send(&agent.authority, agent.endpoint.as_ref(), draft, limit).await
        });
    }
}

/// Gives grants back whose replicas are confirmed gone.
async fn release(agent: Arc<Agent>, grants: Vec<GrantId>) {
    let endpoint = agent.settings.endpoint.clone();
    let body = Body::Release { endpoint, incarnation: agent.incarnation(), grants };
    if let Err(error) = agent.journal.append(body, RELEASE_LIMIT).await {
        log::info!("agent: the release of grants is not in the log yet: {error}");
    }
}

impl Agent {
    fn record_order(&self, draft: &crate::plan::Draft) {
        let kind = match draft.kind {
            OrderKind::Load { .. } | OrderKind::LoadAdapter { .. } => Kind::LoadOrdered,
            _ => Kind::UnloadOrdered,
        };
        let model = crate::settle::artifact_of(&draft.kind);
        self.record(kind, |event| {
            let event = event.note(draft.id.clone());
            model.map_or(event.clone(), |model| event.model(model))
        });
    }

    fn measure(&self) {
        let (waiting, running, taken) = {
            let desk = self.desk();
            (desk.waiting(), desk.running(), desk.ledger.taken())
        };
        let (count, bytes) = {
            let table = self.table();
            (table.len(), table.bytes())
        };
        metrics::gauge!("hyssop_agent_waiting").set(waiting as f64);
        metrics::gauge!("hyssop_agent_running").set(running as f64);
        metrics::gauge!("hyssop_agent_memory_bytes").set(taken.0 as f64);
        metrics::gauge!("hyssop_agent_table_requests").set(count as f64);
        metrics::gauge!("hyssop_agent_table_bytes").set(bytes.0 as f64);
    }
}
