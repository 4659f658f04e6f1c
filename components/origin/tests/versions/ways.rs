//! How routers tell and find the version of a stream.

use std::collections::HashMap;
use std::time::Duration;

use origin::{
    Attribution, Decision, Doubt, KeeperAnswer, LIST_LAG, Lookup, MAX_ASKED, OriginTable,
    ReadRecords, ResumptionFacts, StreamKey, StreamNeeds, StreamOrigin, ToldStream, VersionHistory,
    choose_told, decide, rank_keepers, retell,
};
use units::ServiceName;

use super::event::Event;
use super::plan::Way;
use super::state::{Endpoint, KEEP, Loader, Router, incarnation};
use super::time::at;
use super::view::List;
use super::world::World;

/// How long a router waits for the answer to a record.
const TELL_TIMEOUT_MS: u64 = 150;
/// How often a record is sent to a keeper.
const MAX_TELLS: u32 = 2;
/// How long a keeper that does not answer is not chosen.
const DEAD_MS: u64 = 3_000;
/// The age of the list from which on it may be outdated.
const STALE_MS: u64 = 3_000;
/// The bytes of HTTP around a message, each way.
const HTTP_BYTES: u64 = 150;
/// The bytes of a question and of its answer.
const QUESTION_BYTES: usize = 220;

/// Whether the incarnation in the origin of a stream began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OriginCheck {
    Confirmed,
    /// A later one may have.
    Doubtful,
    /// Nothing speaks against it.
    Unchecked,
}

impl World {
    /// Tells keepers of a stream that has just begun.
    pub(crate) fn tell_new(&mut self, router: usize, key: StreamKey) {
        let exception = self.plan.way == Way::Derived
            && {
                let origin = self.routers[router].table.get(key, at(self.now));
                let derived = self.preferred(router, key);
                matches!(origin, Lookup::Known(origin) if origin.software.as_ref().map(|software| self.names.version(software)) != derived)
            };
        if exception || self.plan.way.tells_keepers() && self.routers[router].tells {
            let count = self.keepers_to_tell(router);
            self.tell(router, key, count);
        }
    }

    /// Tells what must be told after a read of the list. `before` is the list before it if it has changed.
    pub(crate) fn tell_after_read(&mut self, router: usize, before: Option<List>) {
        if !self.plan.way.tells_keepers() {
            return;
        }
        let (now, names) = (self.now, self.names.clone());
        let state = &mut self.routers[router];
        let tells = state.view.history.versions(&names.service, at(now)).len() > 1;
        let begins = tells && !std::mem::replace(&mut state.tells, tells);
        let mut streams: Vec<StreamKey> = state.told.keys().copied().collect();
        streams.sort_unstable();
        if begins {
            for key in streams {
                let count = self.keepers_to_tell(router);
                self.tell(router, key, count);
            }
            return;
        }
        if !tells || !self.routers[router].hears(now) {
            // A router that is cut off tells once it reaches loaders again.
            return;
        }
        let Some(before) = before else {
            streams.retain(|key| self.routers[router].told[key].is_empty());
            streams.into_iter().for_each(|key| self.tell(router, key, 1));
            return;
        };
        let after = self.routers[router].keepers(&names, now);
        let current = std::mem::replace(&mut self.routers[router].view.list, before);
        let before = self.routers[router].keepers(&names, now);
        self.routers[router].view.list = current;
        let told = |key: &StreamKey| {
            let told = self.routers[router].told[key].iter();
            ToldStream { key: *key, told: told.map(|one| names.endpoints[*one].clone()).collect() }
        };
        let told: Vec<ToldStream> = streams.iter().map(told).collect();
        for retelling in
            retell(&told, self.plan.told.unwrap_or(1), names.domain(router), &before, &after)
        {
            for keeper in retelling.keepers {
                let loader = names.endpoint(after[keeper].endpoint);
                self.send_record(router, streams[retelling.stream], loader, 1);
            }
        }
    }

    /// Tells keepers again of the streams that only a loader knew which has restarted.
    pub(crate) fn regain(&mut self, router: usize, life: u32, loader: usize) {
        let state = &mut self.routers[router];
        if !state.up || state.life != life || !state.tells || state.cut_since.is_some() {
            return;
        }
        let mut unknown = Vec::new();
        for (key, told) in &mut state.told {
            let known = told.len();
            told.retain(|keeper| *keeper != loader);
            if told.is_empty() && known > 0 {
                unknown.push(*key);
            }
        }
        unknown.sort_unstable();
        unknown.into_iter().for_each(|key| self.tell(router, key, 1));
    }

    fn keepers_to_tell(&mut self, router: usize) -> usize {
        let now = at(self.now);
        self.plan.told.unwrap_or_else(|| self.routers[router].budget.keepers(now))
    }

    /// Tells the first keepers of a stream, but for those that have acknowledged it.
    fn tell(&mut self, router: usize, key: StreamKey, count: usize) {
        if !self.routers[router].hears(self.now) {
            return;
        }
        let names = self.names.clone();
        let keepers = self.routers[router].keepers(&names, self.now);
        for keeper in choose_told(key, &keepers, count, names.domain(router)) {
            let loader = names.endpoint(keepers[keeper].endpoint);
            let told = self.routers[router].told.get(&key);
            if told.is_some_and(|told| !told.contains(&loader)) {
                self.send_record(router, key, loader, 1);
            }
        }
    }

    fn send_record(&mut self, router: usize, key: StreamKey, loader: usize, tries: u32) {
        let faults = self.plan.faults;
        let cut = self.routers[router].cut_since.is_some();
        let lost = cut || self.percent(faults.lost_percent);
        let late = self.percent(faults.late_percent);
        let after = if late { self.random(200, 1_000) } else { self.random(1, 10) };
        let after = if lost { TELL_TIMEOUT_MS } else { after };
        let life = self.routers[router].life;
        let record = format!(
            r#"[{{"key":"{key}","service":"{}","software":"{}","endpoint":"{}","age":12,"keep":60000}}]"#,
            self.names.service, self.names.versions[0], self.names.endpoints[loader],
        );
        self.count_bytes(router, record.len());
        self.schedule(after, Event::Told { router, life, loader, key, tries, lost });
    }

    /// A record has reached its keeper, or the router has waited in vain.
    pub(crate) fn told(
        &mut self,
        router: usize,
        life: u32,
        loader: usize,
        key: StreamKey,
        tries: u32,
        lost: bool,
    ) {
        let now = at(self.now);
        let sender = &mut self.routers[router];
        if sender.life != life {
            // A message of a process that has ended since may arrive, but what it held is not modelled.
            return;
        }
        if !lost && self.loaders[loader].up {
            let Lookup::Known(origin) = sender.table.get(key, now) else { return };
            let keeper = &mut self.loaders[loader];
            if let Some(software) = &origin.software {
                keeper.view.history.record(&origin.service, software, now);
            }
            keeper.table.record(key, origin, KEEP, now);
            if let Some(told) = sender.told.get_mut(&key) {
                told.push(loader);
            }
        } else if sender.up && sender.told.contains_key(&key) {
            if tries < MAX_TELLS {
                return self.send_record(router, key, loader, tries + 1);
            }
            sender.dead.insert(loader, self.now + DEAD_MS);
            if sender.cut_since.is_none() {
                self.tell(router, key, 1);
            }
        }
    }

    pub(crate) fn count_question(&mut self, router: usize) {
        self.count_bytes(router, QUESTION_BYTES);
        self.report.questions += 1;
    }

    pub(crate) fn count_bytes(&mut self, router: usize, json: usize) {
        let bytes = u64::try_from(json).expect("a short message") + 2 * HTTP_BYTES;
        self.report.bytes += bytes;
        self.routers[router].bytes += bytes;
    }

    /// The version at which a new stream should begin.
    pub(crate) fn preferred(&self, router: usize, key: StreamKey) -> Option<usize> {
        (self.plan.way == Way::Derived).then(|| self.derive(router, key)).flatten()
    }

    /// The version that follows from a key, among those that the router's list shows.
    fn derive(&self, router: usize, key: StreamKey) -> Option<usize> {
        let list = &self.routers[router].view.list;
        let serving = list.iter().filter(|entry| !entry.draining).map(|entry| entry.version);
        let rank = |version: &usize| {
            let salt = self.names.versions[*version].as_str().as_bytes();
            StreamKey::new(b"version", key.to_string().as_bytes(), salt)
        };
        serving.max_by_key(rank)
    }

    /// The version at which a stream goes on, or none if it is refused.
    pub(crate) fn decide(&mut self, router: usize, key: StreamKey, own: Lookup) -> Option<usize> {
        let names = self.names.clone();
        let services = [names.service.clone()];
        let mut facts = self.facts(router, &services, own);
        match (&facts.own, self.plan.way) {
            (Lookup::Unknown, Way::AskRouters) => self.ask_routers(router, key, &mut facts),
            (Lookup::Unknown, _) => self.ask_keepers(router, key, &mut facts),
            _ => {}
        }
        let check = self.check_origin(router, key, &mut facts);
        let origins = facts.answers.iter().map(|answer| &answer.origin);
        let origins = std::iter::once(&facts.own).chain(origins);
        let listed = origins.filter_map(|lookup| {
            let Lookup::Known(origin) = lookup else { return None };
            let endpoint = names.endpoint(&origin.endpoint);
            let hears = self.hears(router, endpoint);
            let listed = self.routers[router].view.listed(endpoint, hears, self.now, &names)?;
            Some((origin.endpoint.clone(), listed))
        });
        facts.listed = listed.collect();
        let decision = match (decide(&facts), check) {
            (Decision::At { .. }, OriginCheck::Doubtful) => Decision::Nowhere(Doubt::Restarted),
            (decision, _) => decision,
        };
        match (decision, self.plan.way) {
            (Decision::At { software, .. }, _) => Some(names.version(&software)),
            (Decision::Nowhere(Doubt::Unknown), Way::Derived) => self.derive(router, key),
            (other, _) => {
                *self.report.doubts.entry(format!("{other:?}")).or_default() += 1;
                None
            }
        }
    }

    /// Finds out whether the incarnation in the origin of a stream began it, and adds that to `facts`.
    fn check_origin(
        &mut self,
        router: usize,
        key: StreamKey,
        facts: &mut ResumptionFacts<'_>,
    ) -> OriginCheck {
        let now = at(self.now);
        let table = &mut self.routers[router].table;
        for answer in &facts.answers {
            if let Lookup::Known(origin) = &answer.origin {
                table.record(key, origin.clone(), KEEP, now);
            }
        }
        if let Some(origin) = table.recorded(key, now).cloned() {
            let check = self.check_incarnation(router, &origin, facts.versions.len() > 1);
            let table = &mut self.routers[router].table;
            if check == OriginCheck::Confirmed {
                table.record(key, StreamOrigin { confirmed: true, ..origin }, KEEP, now);
            }
            let found = table.get(key, now);
            let answers = facts.answers.iter_mut().map(|answer| &mut answer.origin);
            let known = answers.filter(|lookup| matches!(lookup, Lookup::Known(_)));
            known.for_each(|lookup| *lookup = found.clone());
            // This router may have seen restarts which contradict an origin that is confirmed by now.
            if facts.own != Lookup::Unknown {
                facts.own = found;
            }
            return check;
        }
        let several = facts.versions.len() > 1;
        let Lookup::Known(origin) = &mut facts.own else { return OriginCheck::Unchecked };
        let check = self.check_incarnation(router, origin, several);
        origin.confirmed |= check == OriginCheck::Confirmed;
        check
    }

    fn check_incarnation(
        &mut self,
        router: usize,
        origin: &StreamOrigin,
        several: bool,
    ) -> OriginCheck {
        if origin.confirmed {
            return OriginCheck::Confirmed;
        }
        let endpoint = self.names.endpoint(&origin.endpoint);
        let runs = self.routers[router].view.runs(endpoint).map(incarnation);
        let restarting = runs.is_some_and(|runs| Some(runs) != origin.incarnation);
        if self.plan.way.confirms_afterwards() && (several || restarting) {
            match self.attribute(router, origin) {
                Some(Attribution::Confirmed) => return OriginCheck::Confirmed,
                Some(Attribution::Doubtful | Attribution::Undecided) => {
                    return OriginCheck::Doubtful;
                }
                Some(Attribution::Unseen) | None => {}
            }
        }
        if self.routers[router].table.contradicts(origin)
            || several && self.runs_other_incarnation(router, endpoint)
            || several && self.plan.way.confirms_at_start() && !self.is_seen_since(router, origin)
        {
            return OriginCheck::Doubtful;
        }
        OriginCheck::Unchecked
    }

    /// Whether an endpoint still runs in the incarnation of an origin, or a list that would show a later one does not.
    fn is_seen_since(&self, router: usize, origin: &StreamOrigin) -> bool {
        let endpoint = self.names.endpoint(&origin.endpoint);
        let Endpoint { up, incarnation: runs, .. } = self.endpoints[endpoint];
        let view = &self.routers[router].view;
        let listed = view.entry(endpoint).map(|entry| incarnation(entry.incarnation));
        let answers = up && origin.incarnation == Some(incarnation(runs));
        answers || listed == origin.incarnation && at(view.read_at) >= origin.begun + LIST_LAG
    }

    /// What the loader of an endpoint has seen of the incarnation that a router believes to have begun a stream.
    fn attribute(&mut self, router: usize, origin: &StreamOrigin) -> Option<Attribution> {
        let endpoint = self.names.endpoint(&origin.endpoint);
        self.routers[router].view.entry(endpoint)?;
        self.count_incarnations(router);
        self.report.asked_afterwards += 1;
        let reached = self.routers[router].cut_since.is_none() && self.loaders[endpoint].up;
        if !reached || self.loses_message() || self.loses_message() {
            return None;
        }
        // Without orders of the loader an endpoint serves before the loader has seen that it restarted.
        let needs = match self.plan.crashes {
            Some(_) => StreamNeeds::Model,
            None => StreamNeeds::Nothing,
        };
        Some(self.loaders[endpoint].log.attribute(origin.incarnation?, origin.begun, needs))
    }

    /// Whether an endpoint, when asked, names another incarnation than the list.
    fn runs_other_incarnation(&mut self, router: usize, endpoint: usize) -> bool {
        self.count_question(router);
        let entry = self.routers[router].view.entry(endpoint);
        let state = self.endpoints[endpoint];
        state.up && entry.is_some_and(|entry| entry.incarnation != state.incarnation)
    }

    fn facts<'a>(
        &self,
        router: usize,
        services: &'a [ServiceName],
        own: Lookup,
    ) -> ResumptionFacts<'a> {
        let view = &self.routers[router].view;
        ResumptionFacts {
            service: &services[0],
            allowed: services,
            has_events: true,
            own,
            stored: Lookup::Unknown,
            asked: 0,
            answers: Vec::new(),
            unheard: 0,
            records: Some(ReadRecords::default()),
            listed: HashMap::new(),
            versions: view.history.versions(&services[0], at(self.now)),
            watched: view.history.watched(&services[0], at(self.now)),
            has_unknown_version: false,
            // In the simulation routers read the store at their start, unless they are cut off.
            knows_past_versions: view.read_at > 0,
            list_is_stale: self.now > view.read_at + STALE_MS,
            list_age: Duration::from_millis(self.now - view.read_at),
        }
    }

    /// Asks the best keeper, and the others at once if its answer does not decide.
    fn ask_keepers(&mut self, router: usize, key: StreamKey, facts: &mut ResumptionFacts<'_>) {
        let names = self.names.clone();
        let keepers = self.routers[router].keepers(&names, self.now);
        let chosen = rank_keepers(key, &keepers, MAX_ASKED);
        let loaders = chosen.iter().map(|index| names.endpoint(keepers[*index].endpoint));
        for (index, loader) in loaders.enumerate() {
            if index == 1 && facts.is_decided() {
                return;
            }
            self.ask_keeper(router, key, loader, facts);
        }
    }

    fn ask_keeper(
        &mut self,
        router: usize,
        key: StreamKey,
        loader: usize,
        facts: &mut ResumptionFacts<'_>,
    ) {
        let cut = self.routers[router].cut_since.is_some();
        self.count_question(router);
        if !cut && !self.loaders[loader].up {
            // The connection is refused.
            return;
        }
        facts.asked += 1;
        if cut || self.percent(2 * self.plan.faults.lost_percent) {
            return;
        }
        let Loader { table, view, .. } = &self.loaders[loader];
        facts.answers.push(self.answer(key, table, &view.history));
    }

    fn ask_routers(&mut self, router: usize, key: StreamKey, facts: &mut ResumptionFacts<'_>) {
        facts.asked = self.routers.len() - 1;
        for other in (0..self.routers.len()).filter(|other| *other != router) {
            self.count_question(router);
            let cut = self.routers[router].cut_since.or(self.routers[other].cut_since).is_some();
            if cut || self.percent(2 * self.plan.faults.lost_percent) || !self.routers[other].up {
                continue;
            }
            let Router { table, view, .. } = &self.routers[other];
            facts.answers.push(self.answer(key, table, &view.history));
        }
    }

    fn answer(
        &self,
        key: StreamKey,
        table: &OriginTable,
        history: &VersionHistory,
    ) -> KeeperAnswer {
        let (service, now) = (&self.names.service, at(self.now));
        KeeperAnswer {
            origin: table.get(key, now),
            versions: history.versions(service, now),
            watched: history.watched(service, now),
            kept: history.watched(service, now),
            listed: Duration::MAX,
        }
    }
}
