//! The merged time line of all processes.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use timeline::Event;
use units::{ModelName, RequestId};
use web::Client;

use crate::site::Site;

const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Collects the events of entries and agents, causes before effects.
pub(crate) async fn collect(site: &Site, client: &Client) -> Vec<Event> {
    let agents = site.places().map(|place| place.agent.admin);
    let admins: Vec<SocketAddr> =
        site.entries.iter().map(|entry| entry.admin).chain(agents).collect();
    let reads = admins.into_iter().map(|admin| client.get_text(admin, "/timeline", CALL_LIMIT));
    let texts = join_all(reads).await.into_iter().flatten();
    let mut events: Vec<Event> =
        texts.flat_map(|text| Event::from_lines(&text).unwrap_or_default()).collect();
    Event::sort(&mut events);
    events
}

/// The events about a model as such, or about one request.
pub(crate) fn about<'a>(
    events: &'a [Event],
    model: &ModelName,
    request: Option<&RequestId>,
) -> Vec<&'a Event> {
    let concerns = |event: &&Event| match &event.request {
        Some(id) => Some(id) == request,
        None => event.model.as_ref().is_some_and(|named| same(named, model)),
    };
    events.iter().filter(concerns).collect()
}

/// Whether two names are of one model: `page-text` and `page-text@v2` are.
fn same(a: &ModelName, b: &ModelName) -> bool {
    let base = |name: &ModelName| name.as_str().split('@').next().map(str::to_owned);
    base(a) == base(b)
}

/// One line of text for an event, with the wall clock relative to the first.
pub(crate) fn line(event: &Event, start: u64) -> String {
    let request = event.request.as_ref().map_or("", RequestId::as_str);
    let model = event.model.as_ref().map_or("", ModelName::as_str);
    let millis = event.wall.saturating_sub(start);
    let (tick, process, kind) = (event.tick, &event.instance, event.kind);
    let text = format!(
        "{millis:>7} ms {tick:>6} {process:<12} {kind:<15} {model} {request} {}",
        event.note
    );
    text.trim_end().to_owned()
}
