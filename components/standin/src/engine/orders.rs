//! Orders to load and unload, and the tasks that carry them out.

use std::collections::BTreeMap;
use std::time::Duration;

use edge::{CacheTier, Order, OrderKind, ReplicaPhase, SeenBody};
use http::{Response, StatusCode};
use serde_json::json;
use tokio::time::sleep;
use units::{Incarnation, ModelName, Size, Span};
use web::{Body, Client};

use super::core::{Core, Fate};
use super::replica::{Replica, Ticket};
use super::{Engine, LoadPhase};
use crate::store::Fetch;

/// The longest that a fetch may take.
const FETCH_LIMIT: Duration = Duration::from_secs(600);

const GIB: f64 = (1_u64 << 30) as f64;

/// A load that was taken on.
#[derive(Debug)]
struct Load {
    order: String,
    ticket: Ticket,
    weights: Size,
    urgent: bool,
}

impl Engine {
    pub(super) fn order(&self, order: Order) -> Response<Body> {
        let fenced = self.0.settings.fenced;
        let seen = self.change(|core| {
            let seen = core.fence;
            core.fence = seen.max(order.fence);
            seen
        });
        if fenced && order.fence < seen {
            return web::json(StatusCode::CONFLICT, &SeenBody { seen });
        }
        if !self.core().seen.insert(order.id.clone()) {
            return accepted();
        }
        let Order { id, fence, urgent, order } = order;
        match order {
            OrderKind::Load { artifact, weights, kv_room } => {
                let load = self.change(|core| {
                    let ticket = self.admit(core, &id, &artifact, weights + kv_room, fence)?;
                    Some(Load { order: id, ticket, weights, urgent })
                });
                if let Some(load) = load {
                    tokio::spawn(self.clone().load(load));
                }
            }
            OrderKind::Unload { artifact } => self.unload(&artifact),
            OrderKind::LoadAdapter { artifact, adapter, weights } => {
                self.load_adapter(&id, &artifact, adapter, weights);
            }
            OrderKind::UnloadAdapter { artifact, adapter } => {
                self.unload_adapter(&artifact, &adapter);
            }
            OrderKind::Role { role } => self.change(|core| {
                core.truth.role = role;
                core.version += 1;
            }),
        }
        accepted()
    }

    /// Takes the memory of a load, if there is something to load and room for it.
    fn admit(
        &self,
        core: &mut Core,
        order: &str,
        artifact: &ModelName,
        need: Size,
        fence: Incarnation,
    ) -> Option<Ticket> {
        match core.replicas.get(artifact).map(|replica| replica.phase) {
            Some(ReplicaPhase::Loading | ReplicaPhase::Ready) => return None,
            Some(ReplicaPhase::Unloading) => {
                core.fail(order, "the model is being unloaded");
                return None;
            }
            None => {}
        }
        if core.lacks(need, self.0.settings.memory) {
            core.fail(order, "out of memory");
            core.note(artifact, LoadPhase::Failed, fence);
            return None;
        }
        let serial = core.next_seq();
        let replica = Replica {
            serial,
            fence,
            phase: ReplicaPhase::Loading,
            base: need,
            adapters: BTreeMap::new(),
            running: 0,
            waiting: BTreeMap::new(),
            busy: None,
        };
        core.replicas.insert(artifact.clone(), replica);
        core.truth.loads += 1;
        core.note(artifact, LoadPhase::Loading, fence);
        Some(Ticket { artifact: artifact.clone(), serial })
    }

    async fn load(self, load: Load) {
        let (tier, fate) = {
            let mut core = self.core();
            (core.tier(&load.ticket.artifact), core.faults.fate())
        };
        if tier == CacheTier::Remote
            && let Err(reason) = self.fetch(&load).await
        {
            return self.fail_load(&load, reason);
        }
        let pace = match tier {
            CacheTier::Disk => self.0.settings.disk_load,
            CacheTier::Memory | CacheTier::Remote => self.0.settings.memory_load,
        };
        let time = per_gib(pace, load.weights);
        sleep(time / 2).await;
        match fate {
            Fate::Good => {}
            Fate::Fail => return self.fail_load(&load, "the load failed on purpose".to_owned()),
            Fate::Die => return self.crash(Duration::ZERO),
        }
        sleep(time / 2).await;
        self.0.freeze.thawed().await;
        self.finish_load(&load.ticket);
    }

    async fn fetch(&self, load: &Load) -> Result<(), String> {
        let Some(store) = self.0.settings.store else {
            sleep(per_gib(self.0.settings.remote_load, load.weights)).await;
            return Ok(());
        };
        let artifact = load.ticket.artifact.clone();
        let fetch = Fetch { artifact, urgent: load.urgent, size: Some(load.weights) };
        // A connection of its own: one from a pool may have gone silent.
        let answer = Client::default().post(store, "/v1/fetch", &fetch, FETCH_LIMIT).await;
        answer.map(|_: serde_json::Value| ()).map_err(|error| error.to_string())
    }

    fn finish_load(&self, ticket: &Ticket) {
        self.change(|core| {
            let Some(replica) = core.replica(ticket) else { return };
            if replica.phase != ReplicaPhase::Loading {
                return;
            }
            replica.phase = ReplicaPhase::Ready;
            let fence = replica.fence;
            core.cache(&ticket.artifact, &self.0.settings);
            core.note(&ticket.artifact, LoadPhase::Ready, fence);
        });
    }

    fn fail_load(&self, load: &Load, reason: String) {
        self.change(|core| {
            if core.replica(&load.ticket).is_some() {
                core.fail(&load.order, reason);
                core.remove(&load.ticket, LoadPhase::Failed);
            }
        });
    }

    fn unload(&self, artifact: &ModelName) {
        let ticket = self.change(|core| {
            let replica = core.replicas.get_mut(artifact)?;
            if replica.phase == ReplicaPhase::Unloading {
                return None;
            }
            replica.phase = ReplicaPhase::Unloading;
            replica.waiting.clear();
            let (serial, fence) = (replica.serial, replica.fence);
            core.truth.unloads += 1;
            core.cut(Some(serial));
            core.note(artifact, LoadPhase::Unloading, fence);
            Some(Ticket { artifact: artifact.clone(), serial })
        });
        let Some(ticket) = ticket else { return };
        let engine = self.clone();
        tokio::spawn(async move {
            sleep(engine.0.settings.unload.0).await;
            engine.change(|core| core.remove(&ticket, LoadPhase::Gone));
        });
    }
}

fn accepted() -> Response<Body> {
    web::json(StatusCode::ACCEPTED, &json!({}))
}

fn per_gib(pace: Span, size: Size) -> Duration {
    pace.0.mul_f64(size.0 as f64 / GIB)
}
