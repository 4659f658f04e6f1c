//! The callers of a soak.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin_platform::{Call, Connection, exchange};
use tokio::time::{Instant, sleep};

use super::keys::Whose;
use super::world::{KINDS, POISON, Shared};

const MODELS: [&str; 3] = ["a", "b", "c"];
/// Between two sends of a caller that insists.
const INSIST: Duration = Duration::from_millis(120);
/// A connection is used for this many requests at most.
const KEPT: u32 = 40;

impl Shared {
    /// A caller that sends one request again and again, to one router after the other.
    pub(super) async fn insist(self: Arc<Self>, until: Instant) {
        for turn in 0.. {
            if Instant::now() >= until {
                return;
            }
            let index = turn % self.routers.len();
            if let Some(mut connection) = Connection::open(self.routers[index]).await {
                let body = Some(POISON);
                self.call(&mut connection, index, ("unsafe", MODELS[0]), body, Whose::School(0))
                    .await;
            }
            sleep(INSIST).await;
        }
    }

    /// One caller: it stays on its connection while that answers, and then goes to another router.
    pub(super) async fn caller(self: Arc<Self>, seed: u64, until: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while Instant::now() < until {
            let index = rng.random_range(0..self.routers.len());
            let Some(mut connection) = Connection::open(self.routers[index]).await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            for _ in 0..rng.random_range(1..KEPT) {
                let kind = KINDS[rng.random_range(0..KINDS.len())];
                let model = MODELS[rng.random_range(0..MODELS.len())];
                // Some go on with a key that has been replaced, or taken away.
                let older = if rng.random_bool(0.2) { rng.random_range(1..4) } else { 0 };
                let whose = Whose::School(older);
                let goes_on = self.call(&mut connection, index, (kind, model), None, whose).await;
                if !goes_on || Instant::now() >= until {
                    break;
                }
                sleep(Duration::from_millis(rng.random_range(1..20))).await;
            }
        }
    }

    /// A caller of the workspace that asks for more than it may.
    pub(super) async fn press(self: Arc<Self>, until: Instant) {
        for turn in 0.. {
            if Instant::now() >= until {
                return;
            }
            let index = turn % self.routers.len();
            if let Some(mut connection) = Connection::open(self.routers[index]).await {
                self.call(&mut connection, index, ("safe", MODELS[0]), None, Whose::Hot).await;
            }
            sleep(Duration::from_millis(2)).await;
        }
    }

    /// One call; whether the connection can be used again.
    async fn call(
        &self,
        connection: &mut Connection,
        router: usize,
        (kind, model): (&'static str, &str),
        body: Option<&str>,
        whose: Whose,
    ) -> bool {
        let id = self.next_id(router);
        let start = Instant::now();
        let key = self.keys.sign(&id, whose);
        let answer = connection.call(&request(kind, &id, model, &key, body.unwrap_or(&id))).await;
        let goes_on = answer.as_ref().is_some_and(|answer| {
            answer.whole && answer.header("connection").is_none_or(|text| text != "close")
        });
        self.calls().push(Call { id, kind, answer, took: start.elapsed() });
        goes_on
    }

    /// The id of the next request to a router.
    pub(super) fn next_id(&self, router: usize) -> String {
        format!("{}-{}", name(router), self.next.fetch_add(1, Ordering::Relaxed))
    }

    /// Waits until each router serves each kind.
    pub(super) async fn until_served(self: Arc<Self>) {
        while !self.all_ready().await {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether each router has a share in limits: it lets a request in, or refuses it as one too many.
    pub(super) async fn all_share(&self) -> bool {
        for (index, router) in self.routers.iter().enumerate() {
            let id = self.next_id(index);
            let more = self.keys.sign(&id, Whose::Hot) + "Connection: close\r\n";
            let text = request("safe", &id, MODELS[0], &more, &id);
            let answer = exchange(*router, text.as_bytes()).await;
            if answer.is_none_or(|answer| answer.status == 503) {
                return false;
            }
        }
        true
    }

    pub(super) async fn all_ready(&self) -> bool {
        for (index, router) in self.routers.iter().enumerate() {
            for kind in KINDS {
                let id = self.next_id(index);
                let more = self.keys.sign(&id, Whose::School(0)) + "Connection: close\r\n";
                let text = request(kind, &id, MODELS[0], &more, &id);
                let answer = exchange(*router, text.as_bytes()).await;
                if answer.is_none_or(|answer| answer.status != 200) {
                    return false;
                }
            }
        }
        true
    }
}

/// What the ids of requests to a router begin with.
pub(super) fn name(router: usize) -> String {
    format!("front{router}")
}

fn request(kind: &str, id: &str, model: &str, more: &str, body: &str) -> String {
    format!(
        "POST /{kind}/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Model: {model}\r\nContent-Length: {}\r\n{more}\r\n{body}",
        body.len()
    )
}

#[cfg(test)]
mod tests;
