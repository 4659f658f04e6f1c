//! `hyssopctl losses`: what was on time, by class of request, and what the others lost.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;

use crate::cli::Worth;
use crate::error::{CmdError, Exit};
use crate::lines::{self, Line};

/// What became of one request, as far as its lines tell.
#[derive(Debug, Clone, Default)]
struct Tale {
    class: String,
    /// The time within which its answer was to begin, in milliseconds.
    target: u64,
    /// The longest pause that was allowed in its answer; 0 if any.
    pause: u64,
    cold: bool,
    waited: u64,
    sent: bool,
    end: Option<End>,
}

#[derive(Debug, Clone)]
enum End {
    Answered { status: u64, first: u64, gap: u64, whole: bool },
    Refused(String),
    Left,
}

/// What a request lost its worth to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    Nothing,
    /// Late: its model was not loaded.
    Cold,
    /// Late: it waited for a place.
    Queue,
    /// Late: the endpoint took too long to begin.
    First,
    /// Late: a pause in the answer was too long.
    Pause,
    /// Turned away or ended by the router, with the cause.
    Refused(String),
    /// The endpoint's own failure.
    Failed,
    /// The answer broke off.
    Broken,
    /// The caller left before it was sent.
    LeftWaiting,
    /// The caller left after it was sent.
    LeftSent,
    /// Nothing tells how it ended.
    Untold,
}

impl Loss {
    fn name(&self) -> String {
        match self {
            Self::Nothing => "on time".to_owned(),
            Self::Cold => "late: model not loaded".to_owned(),
            Self::Queue => "late: waited for a place".to_owned(),
            Self::First => "late: endpoint began late".to_owned(),
            Self::Pause => "late: pause in the answer".to_owned(),
            Self::Refused(cause) => format!("refused: {cause}"),
            Self::Failed => "failed by the endpoint".to_owned(),
            Self::Broken => "broken off".to_owned(),
            Self::LeftWaiting => "caller left, not sent yet".to_owned(),
            Self::LeftSent => "caller left, sent".to_owned(),
            Self::Untold => "end not told".to_owned(),
        }
    }

    fn late(&self) -> bool {
        matches!(self, Self::Cold | Self::Queue | Self::First | Self::Pause)
    }
}

impl Tale {
    fn hear(&mut self, line: &Line) {
        match line.text("event") {
            "accepted" => {
                line.text("class").clone_into(&mut self.class);
                (self.target, self.pause) = (line.number("target_ms"), line.number("pause_ms"));
            }
            "step" if line.text("step") == "sent" => {
                self.sent = true;
                self.cold |= line.fields.get("cold").is_some_and(|cold| cold == true);
                self.waited += line.number("waited_ms");
            }
            "answered" => {
                let whole = line.fields.get("whole").is_some_and(|whole| whole == true);
                let (first, gap) = (line.number("first_ms"), line.number("gap_ms"));
                self.end = Some(End::Answered { status: line.number("status"), first, gap, whole });
            }
            "refused" => self.end = Some(End::Refused(line.text("cause").to_owned())),
            "left" => self.end = Some(End::Left),
            _ => {}
        }
    }

    fn loss(&self) -> Loss {
        match &self.end {
            None => Loss::Untold,
            Some(End::Left) if self.sent => Loss::LeftSent,
            Some(End::Left) => Loss::LeftWaiting,
            Some(End::Refused(cause)) => Loss::Refused(cause.clone()),
            Some(End::Answered { whole: false, .. }) => Loss::Broken,
            Some(End::Answered { status, .. }) if !(200..300).contains(status) => Loss::Failed,
            Some(End::Answered { first, .. }) if *first > self.target => {
                if self.cold {
                    Loss::Cold
                } else if self.waited * 2 > self.target {
                    Loss::Queue
                } else {
                    Loss::First
                }
            }
            Some(End::Answered { gap, .. }) if self.pause > 0 && *gap > self.pause => Loss::Pause,
            Some(End::Answered { .. }) => Loss::Nothing,
        }
    }
}

/// Shows the table.
pub(crate) fn run(
    worths: &[Worth],
    files: &[PathBuf],
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let read = lines::read(files)?;
    let mut tales: BTreeMap<&str, Tale> = BTreeMap::new();
    for line in read.lines.iter().filter(|line| !line.text("request").is_empty()) {
        tales.entry(line.text("request")).or_default().hear(line);
    }
    // A request whose beginning was left out has no class.
    tales.retain(|_, tale| !tale.class.is_empty());
    if tales.is_empty() {
        writeln!(out, "no request in {} lines; name the logs of routers", read.lines.len())?;
        return Ok(Exit::Rejected);
    }
    let mut classes: BTreeMap<&str, BTreeMap<Loss, u32>> = BTreeMap::new();
    for tale in tales.values() {
        *classes.entry(&tale.class).or_default().entry(tale.loss()).or_default() += 1;
    }
    for (class, losses) in classes {
        let worth = worths.iter().find(|worth| worth.class == class);
        let (timely, late) = worth.map_or((1.0, 0.0), |worth| (worth.timely, worth.late));
        let all: u32 = losses.values().sum();
        let owed = f64::from(all) * timely;
        writeln!(out, "{class}: {all} requests, {owed:.0} owed")?;
        for (loss, count) in losses {
            let each = match &loss {
                Loss::Nothing => timely,
                late_one if late_one.late() => late,
                _ => 0.0,
            };
            let share = 100.0 * (timely - each) * f64::from(count) / owed.max(f64::MIN_POSITIVE);
            writeln!(out, "  {:<32} {count:>6}  lost {share:>5.1} %", loss.name())?;
        }
    }
    if read.broken > 0 {
        writeln!(out, "missing: {} lines that are cut", read.broken)?;
    }
    Ok(Exit::Done)
}

#[cfg(test)]
mod tests;
