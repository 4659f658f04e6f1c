//! Plays one case of the review: `review-cases-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not be played. With `TROUBLE=0` the disruption is left out.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

mod labels;
mod poison;
mod popular;
mod promise;
mod revoked;
mod world;

use world::{Failed, Record};

/// A case ends after this time at the latest.
const MOST: Duration = Duration::from_secs(115);

/// Whether the rule was broken, and by what.
pub type Outcome = Result<Option<String>, Failed>;

async fn play(case: &str, record: &Record, trouble: bool) -> Outcome {
    match case {
        "popular" => popular::play(record, trouble).await,
        "promise" => promise::play(record, trouble).await,
        "labels" => labels::play(record, trouble).await,
        "poison" => poison::play(record, trouble).await,
        "revoked" => revoked::play(record, trouble).await,
        other => Err(format!("there is no case `{other}`")),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(file)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: review-cases-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let Ok(mut terminated) = signal(SignalKind::terminate()) else { return ExitCode::from(2) };
    // However the case ends, its processes end with it.
    let outcome = tokio::select! {
        outcome = play(&case, &record, trouble) => outcome,
        () = tokio::time::sleep(MOST) => Err("the case took too long".to_owned()),
        _ = terminated.recv() => Err("the case was terminated".to_owned()),
        _ = tokio::signal::ctrl_c() => Err("the case was interrupted".to_owned())
    };
    let (text, code) = match outcome {
        Ok(Some(broken)) => (format!("BROKEN: {broken}"), 1),
        Ok(None) => ("held".to_owned(), 0),
        Err(failed) => (format!("not played: {failed}"), 2),
    };
    record.note(&text);
    println!("{case}, trouble {}: {text}", u8::from(trouble));
    if let Err(error) = record.write(&file) {
        eprintln!("{}: {error}", file.display());
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
