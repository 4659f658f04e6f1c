//! `hyssopctl story`: what became of one request, from the lines of all processes.

use std::collections::BTreeSet;
use std::io::Write;
use std::path::PathBuf;

use serde_json::Value;

use crate::error::{CmdError, Exit};
use crate::lines::{self, Line, Read};

/// Lines about the endpoints and the model of a request are told if they are this close to it, in milliseconds: a
/// load from a weight store and a pause of the store fit into it.
const AROUND: u64 = 10_000;

/// Tells the story of one request.
pub(crate) fn run(request: &str, files: &[PathBuf], out: &mut dyn Write) -> Result<Exit, CmdError> {
    let read = lines::read(files)?;
    let own: Vec<&Line> =
        read.lines.iter().filter(|line| line.text("request") == request).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|line| line.time).min(), own.iter().map(|line| line.time).max())
    else {
        writeln!(out, "no line of the request `{request}` in {} lines", read.lines.len())?;
        writeln!(out, "check the id, and name the log of the router that took it")?;
        missing(&read, &[], out)?;
        return Ok(Exit::Rejected);
    };
    let story = related(&read.lines, &own, first, last);
    for line in &story {
        writeln!(out, "{}", show(line, first))?;
    }
    missing(&read, &own, out)?;
    Ok(Exit::Done)
}

/// The request's own lines, and those about its endpoints, its model and what its processes depend on.
fn related<'a>(lines: &'a [Line], own: &[&Line], first: u64, last: u64) -> Vec<&'a Line> {
    let endpoints: BTreeSet<&str> = own.iter().map(|line| line.text("endpoint")).collect();
    let routers: BTreeSet<&str> = own.iter().map(|line| line.text("instance")).collect();
    let model = own.iter().map(|line| line.text("model")).find(|model| !model.is_empty());
    let model = model.map_or("", |model| model.split('/').next().unwrap_or(model));
    let request = own[0].text("request");
    let tells = |line: &&Line| {
        if line.text("request") == request {
            return true;
        }
        let near = line.time + AROUND >= first && line.time <= last + AROUND / 10;
        if !near || !line.text("request").is_empty() {
            return false;
        }
        let about_model = !model.is_empty()
            && (line.text("model").split('/').next() == Some(model)
                || line.text("loading") == model);
        let about_endpoint = endpoints.contains(line.text("endpoint"))
            && matches!(line.text("event"), "member" | "suspect" | "order");
        let about_router = routers.contains(line.text("instance"))
            && matches!(
                line.text("event"),
                "lost" | "regained" | "configured" | "stopping" | "started"
            );
        about_model || about_endpoint || about_router
    };
    let mut story: Vec<&Line> = lines.iter().filter(tells).collect();
    story.sort_by_key(|line| (line.time, rank(line.text("event"))));
    story
}

/// What causes goes before what follows, in lines of the same millisecond.
fn rank(event: &str) -> u8 {
    match event {
        "accepted" => 0,
        "wanted" | "resumption" => 1,
        "declined" => 4,
        "order" => 2,
        "holds" => 3,
        "loaded" => 3,
        "step" | "repeat" => 4,
        "answered" | "refused" | "left" => 6,
        _ => 5,
    }
}

fn show(line: &Line, first: u64) -> String {
    let millis = i128::from(line.time) - i128::from(first);
    let rest = line.fields.iter().filter(|(name, value)| {
        !matches!(name.as_str(), "time_ms" | "instance" | "event" | "request") && **value != ""
    });
    let rest: Vec<String> = rest.map(|(name, value)| format!("{name}={}", plain(value))).collect();
    let (instance, event) = (line.text("instance"), line.text("event"));
    format!("{millis:>+8} ms  {instance:<24} {event:<11} {}", rest.join(" "))
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Says what the logs do not tell.
fn missing(read: &Read, own: &[&Line], out: &mut dyn Write) -> Result<(), CmdError> {
    let has = |events: &[&str]| own.iter().any(|line| events.contains(&line.text("event")));
    if !own.is_empty() && !has(&["accepted"]) {
        writeln!(
            out,
            "missing: the line that the request was taken; the log begins later or was cut"
        )?;
    }
    if !own.is_empty() && !has(&["answered", "refused", "left"]) {
        writeln!(out, "missing: how the request ended; its router was killed, or the log was cut")?;
    }
    let endpoints: BTreeSet<&str> = own.iter().map(|line| line.text("endpoint")).collect();
    for endpoint in endpoints.into_iter().filter(|endpoint| !endpoint.is_empty()) {
        let told = |line: &Line| line.text("endpoint") == endpoint && line.text("event") == "holds";
        if !read.lines.iter().any(told) {
            writeln!(
                out,
                "missing: what {endpoint} held; it runs no models, or name its loader's log"
            )?;
        }
    }
    let dropped = read.lines.iter().filter(|line| line.text("event") == "dropped").count();
    if dropped > 0 {
        writeln!(out, "missing: lines that were left out under load, {dropped} times")?;
    }
    if read.broken > 0 {
        writeln!(out, "missing: {} lines that are cut", read.broken)?;
    }
    if read.foreign > 0 {
        writeln!(out, "passed over: {} lines of other programs", read.foreign)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
