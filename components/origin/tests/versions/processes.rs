//! Routers and loaders that start, stop and read the list.

use std::collections::HashMap;

use rand::RngExt;

use super::event::Event;
use super::reports::{POLL_MS, REPORT_MS, REPORT_RETRY_MS};
use super::state::{Loader, Router};
use super::time::at;
use super::view::View;
use super::world::World;

/// The time between two reads of the list.
const READ_MS: u64 = 1_000;
/// How soon a loader that has started asks its endpoint.
const FIRST_POLL_MS: u64 = 20;

impl World {
    pub(crate) fn read_list(&mut self, router: usize, life: u32) {
        if self.routers[router].life != life || !self.routers[router].up {
            return;
        }
        let first = self.routers[router].view.read_at == 0;
        let next = if first { self.random(1, READ_MS) } else { READ_MS };
        self.schedule(next, Event::ReadList { router, life });
        if self.routers[router].store_cut {
            return;
        }
        let read_at = self.now - self.random(0, self.plan.list_delay_ms);
        let read_at = read_at.max(self.routers[router].view.read_at);
        let (list, names, now) = (self.list_at(read_at), self.names.clone(), self.now);
        if self.routers[router].view.read_at == 0 {
            self.read_recorded_versions(router);
        }
        let before = self.routers[router].view.list.clone();
        let changed = self.routers[router].view.read(list.clone(), read_at, now, &names);
        if changed {
            self.poll_new(router, &before, &list);
            let Router { view, table, .. } = &mut self.routers[router];
            view.record_restarts(&before, table, now, &names);
        }
        self.tell_after_read(router, changed.then_some(before));
        let records = self.routers[router].table.len();
        self.report.router_records = self.report.router_records.max(records);
    }

    /// Takes the versions that endpoints had lately, which the store keeps, into the history of a router that has just started.
    fn read_recorded_versions(&mut self, router: usize) {
        let names = self.names.clone();
        let mut until: HashMap<usize, u64> = HashMap::new();
        for (index, (_, list)) in self.lists.iter().enumerate() {
            let ended = self.lists.get(index + 1).map_or(self.now, |(since, _)| *since);
            until.extend(list.iter().map(|entry| (entry.version, ended)));
        }
        let history = &mut self.routers[router].view.history;
        for (version, until) in until {
            let software = &names.versions[version];
            history.record_past(&names.service, software, at(until), at(self.now));
        }
    }

    pub(crate) fn read_list_loader(&mut self, loader: usize, life: u32) {
        if self.loaders[loader].life != life || !self.loaders[loader].up {
            return;
        }
        let read_at = self.now - self.random(0, self.plan.list_delay_ms);
        let read_at = read_at.max(self.loaders[loader].view.read_at);
        let (list, names, now) = (self.list_at(read_at), self.names.clone(), self.now);
        let before = self.loaders[loader].view.list.clone();
        let Loader { view, table, .. } = &mut self.loaders[loader];
        if view.read(list, read_at, now, &names) {
            view.record_restarts(&before, table, now, &names);
        }
        let next = self.random(READ_MS - 50, READ_MS + 50);
        self.schedule(next, Event::ReadListLoader { loader, life });
        let records = self.loaders[loader].table.len();
        self.report.loader_records = self.report.loader_records.max(records);
    }

    pub(crate) fn start_loader(&mut self, loader: usize, since: u64) {
        let life = self.loaders[loader].life + 1;
        self.loaders[loader] = Loader { up: true, life, view: View::new(since), ..Loader::new() };
        let poll = if since == 0 { POLL_MS } else { FIRST_POLL_MS };
        let poll = self.loader_rng.random_range(0..poll);
        self.schedule(poll, Event::Poll { loader, life });
        let first = self.random(0, 200);
        self.schedule(first, Event::ReadListLoader { loader, life });
        for router in 0..self.routers.len() {
            self.hear_state(router, loader, self.reported(loader));
            if since > 0 {
                let after =
                    REPORT_RETRY_MS + self.loader_rng.random_range(REPORT_MS.0..=REPORT_MS.1);
                let life = self.routers[router].life;
                self.schedule(after, Event::Regained { router, life, loader });
            }
        }
    }

    pub(crate) fn stop_router(&mut self, router: usize) {
        self.routers[router].up = false;
        let hit = |stream: &&usize| self.streams[**stream].router == router;
        let hit: Vec<usize> = self.running.iter().filter(hit).copied().collect();
        for stream in hit {
            self.caller_returns(stream);
        }
    }

    pub(crate) fn start_router(&mut self, router: usize) {
        let life = self.routers[router].life + 1;
        let bytes = self.routers[router].bytes;
        self.routers[router] = Router { bytes, ..Router::new(life, self.now) };
        self.schedule(0, Event::ReadList { router, life });
    }

    /// A router that callers reach.
    pub(crate) fn any_router(&mut self) -> Option<usize> {
        for _ in 0..20 {
            let router = self.rng.random_range(0..self.routers.len());
            if self.routers[router].up && self.routers[router].view.read_at > 0 {
                return Some(router);
            }
        }
        None
    }

    /// Whether a router would have heard of a restart of an endpoint, as far as it knows.
    pub(crate) fn hears(&self, router: usize, endpoint: usize) -> bool {
        self.routers[router].hears(self.now) && self.loaders[endpoint].up
    }
}
