//! Adapters next to their models.

use tokio::time::sleep;
use units::{AdapterName, ModelName, Size};

use super::Engine;
use super::core::Core;
use super::replica::{Adapter, Ticket};

impl Engine {
    pub(super) fn load_adapter(
        &self,
        order: &str,
        artifact: &ModelName,
        adapter: AdapterName,
        weights: Size,
    ) {
        let begun = self.change(|core| self.begin_adapter(core, artifact, &adapter, weights));
        match begun {
            Ok(Some(ticket)) => {
                tokio::spawn(self.clone().finish_adapter(ticket, adapter));
            }
            Ok(None) => {}
            Err(reason) => self.change(|core| core.fail(order, reason)),
        }
    }

    /// Takes the memory of an adapter; nothing to do for one that is there.
    fn begin_adapter(
        &self,
        core: &mut Core,
        artifact: &ModelName,
        adapter: &AdapterName,
        weights: Size,
    ) -> Result<Option<Ticket>, &'static str> {
        let ready = core.is_ready(artifact).ok_or("the adapter's model is not ready")?;
        if ready.adapters.contains_key(adapter) {
            return Ok(None);
        }
        if core.lacks(weights, self.0.settings.memory) {
            return Err("out of memory");
        }
        let Some(replica) = core.replicas.get_mut(artifact) else { return Ok(None) };
        replica.adapters.insert(adapter.clone(), Adapter { weights, ready: false });
        let ticket = Ticket { artifact: artifact.clone(), serial: replica.serial };
        core.truth.high_water = core.truth.high_water.max(core.taken());
        core.version += 1;
        Ok(Some(ticket))
    }

    async fn finish_adapter(self, ticket: Ticket, adapter: AdapterName) {
        sleep(self.0.settings.adapter_load.0).await;
        self.change(|core| {
            let Some(replica) = core.replica(&ticket) else { return };
            if let Some(adapter) = replica.adapters.get_mut(&adapter) {
                adapter.ready = true;
                core.truth.adapters += 1;
                core.version += 1;
            }
        });
    }

    pub(super) fn unload_adapter(&self, artifact: &ModelName, adapter: &AdapterName) {
        self.change(|core| {
            let replica = core.replicas.get_mut(artifact);
            if replica.is_some_and(|replica| replica.adapters.remove(adapter).is_some()) {
                core.version += 1;
            }
        });
    }
}
