//! `hyssopctl timeline`.

use std::io::Write;

use timeline::Event;

use crate::cli::Filter;
use crate::error::{CmdError, Exit};
use crate::fleet::Target;
use crate::session::Session;

/// Shows the events of all processes in causal order.
pub(crate) async fn run(
    session: &Session,
    filter: &Filter,
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let mut targets = session.fleet.targets(&session.journal);
    for admin in &filter.addrs {
        if targets.iter().all(|target| target.admin != *admin) {
            targets.push(Target { name: admin.to_string(), admin: *admin });
        }
    }
    let mut exit = Exit::Done;
    let mut events = Vec::new();
    for (target, answer) in session.fleet.events(&targets).await {
        match answer {
            Ok(found) => events.extend(found.into_iter().filter(|event| wanted(filter, event))),
            Err(error) => {
                exit = Exit::Lagging;
                writeln!(out, "{}: {error}", target.name)?;
            }
        }
    }
    Event::sort(&mut events);
    events.iter().try_for_each(|event| writeln!(out, "{}", line(event)))?;
    Ok(exit)
}

fn wanted(filter: &Filter, event: &Event) -> bool {
    fn fits<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
        wanted.is_none() || wanted == found
    }
    fits(&filter.request, &event.request)
        && (fits(&filter.model, &event.model) || is_version(filter, event))
        && fits(&filter.endpoint, &event.endpoint)
}

/// Whether an event is about a version of the model that is wanted, as engines name it.
fn is_version(filter: &Filter, event: &Event) -> bool {
    let (Some(wanted), Some(found)) = (&filter.model, &event.model) else { return false };
    found.as_str().split_once('@').is_some_and(|(model, _)| model == wanted.as_str())
}

fn line(event: &Event) -> String {
    let millis = i64::try_from(event.wall).unwrap_or(i64::MAX);
    let wall = jiff::Timestamp::from_millisecond(millis).unwrap_or_default();
    let mut line = format!("{:>8} {wall:.3} {:<20} {:<12}", event.tick, event.instance, event.kind);
    let words = [
        event.request.as_ref().map(|id| format!(" request {id}")),
        event.model.as_ref().map(|name| format!(" model {name}")),
        event.endpoint.as_ref().map(|id| format!(" endpoint {id}")),
        (!event.note.is_empty()).then(|| format!(" {}", event.note)),
    ];
    line.extend(words.into_iter().flatten());
    line
}
