//! Workspaces of a soak: keys are taken away in series, one workspace asks for far more than it may, and what servers ran is
//! held against both.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use standin_platform::{Server, Workspace, config, with_workspaces};
use tokio::time::Instant;

/// A key that was taken away must not be served later than this.
pub(super) const REVOKE: Duration = Duration::from_secs(3);
/// Limits are counted in windows of this length.
pub(super) const WINDOW: Duration = Duration::from_secs(8);
/// By this part limits may be passed, and by so many tokens.
pub(super) const OVERSHOOT: f64 = 0.1;
/// The same in tokens.
pub(super) const SLACK: f64 = 17_000.0;
/// Tokens a second of the workspace that asks for too many.
const HOT_RATE: f64 = 3_000.0;
/// What each of its requests counts.
const HOT_COST: f64 = 200.0;
const HOT_KEY: &str = "key-of-the-hot";
/// So many keys of the other workspace are good at a time.
const GOOD: usize = 2;

/// Whose request it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Whose {
    /// Of the workspace whose keys change, with the newest key, or one so much older.
    School(usize),
    /// Of the one that asks for too much.
    Hot,
}

#[derive(Debug, Default)]
struct State {
    keys: Vec<String>,
    /// When each was taken away, the oldest first.
    removed: Vec<Instant>,
    /// The key of each request, and when it was sent.
    sent: HashMap<String, (usize, Instant)>,
}

/// The keys that callers have.
#[derive(Debug, Default)]
pub(super) struct Keys(Mutex<State>);

impl Keys {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A configuration with one more key, and without the oldest of those that were good.
    pub(super) fn configure(&self, version: u64, kinds: &[&str]) -> serde_json::Value {
        let mut state = self.lock();
        let next = format!("key-{}-of-the-school", state.keys.len());
        state.keys.push(next);
        drop(state);
        self.configuration(version, kinds)
    }

    /// The configuration with the keys that are good.
    pub(super) fn configuration(&self, version: u64, kinds: &[&str]) -> serde_json::Value {
        let state = self.lock();
        let good = state.keys.len().saturating_sub(GOOD);
        let keys: Vec<&str> = state.keys[good..].iter().map(String::as_str).collect();
        let school = Workspace { name: "school", keys: &keys, rate: None };
        let hot = Workspace { name: "hot", keys: &[HOT_KEY], rate: Some(HOT_RATE) };
        with_workspaces(config(version, kinds), &[school, hot])
    }

    /// Notes that the newest configuration is written.
    pub(super) fn written(&self) {
        let mut state = self.lock();
        let gone = state.keys.len().saturating_sub(GOOD);
        let now = Instant::now();
        state.removed.resize(gone, now);
    }

    /// Which processes have written a key in their lines, a line each.
    pub(super) fn told(&self, logs: &Path) -> std::io::Result<Vec<String>> {
        let state = self.lock();
        let mut told = Vec::new();
        for entry in std::fs::read_dir(logs)? {
            let file = entry?.path();
            if file.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let lines = String::from_utf8_lossy(&std::fs::read(&file)?).into_owned();
            let keys = state.keys.iter().map(String::as_str).chain([HOT_KEY]);
            for key in keys.filter(|key| lines.contains(key)) {
                told.push(format!("the key {key} stands in {}", file.display()));
            }
        }
        Ok(told)
    }

    /// The header line of a request, which is sent now.
    pub(super) fn sign(&self, id: &str, whose: Whose) -> String {
        let mut state = self.lock();
        let key = match whose {
            Whose::Hot => HOT_KEY,
            Whose::School(older) => {
                let at = state.keys.len().saturating_sub(1 + older);
                state.sent.insert(id.to_owned(), (at, Instant::now()));
                &state.keys[at]
            }
        };
        format!("Authorization: Bearer {key}\r\n")
    }

    /// What servers ran that they should not have, a line each.
    pub(super) fn broken(&self, servers: &[Server]) -> Vec<String> {
        let state = self.lock();
        let mut broken = Vec::new();
        let mut hot = Vec::new();
        for seen in servers.iter().flat_map(Server::received_requests) {
            let id = seen.header("request-id").unwrap_or("");
            if seen.header("authorization").is_some() {
                broken.push(format!("a server saw the key of {id}"));
            }
            if seen.header("tenant") == Some("hot") {
                hot.push(seen.at);
            }
            let Some((key, sent)) = state.sent.get(id) else { continue };
            if seen.header("tenant") != Some("school") {
                broken.push(format!("{id} was not run for its workspace"));
            }
            if state.removed.get(*key).is_some_and(|removed| *sent > *removed + REVOKE) {
                broken.push(format!("{id} ran, sent too long after its key was taken away"));
            }
        }
        hot.sort_unstable();
        let allowed = (HOT_RATE * WINDOW.as_secs_f64() + HOT_RATE) * (1.0 + OVERSHOOT) + SLACK;
        let worst = hot.iter().enumerate().map(|(first, start)| {
            hot[first..].iter().take_while(|at| **at - *start <= WINDOW).count()
        });
        let tokens =
            f64::from(u32::try_from(worst.max().unwrap_or(0)).unwrap_or(u32::MAX)) * HOT_COST;
        if tokens > allowed {
            broken.push(format!("{tokens} tokens of a workspace in one window, {allowed} allowed"));
        }
        broken
    }
}
