//! `hyssop-entry`.

use std::process::ExitCode;

use process::Workers;

const ABOUT: &str = "hyssop-entry: answers callers' requests";
const WORKERS: Workers = Workers::AtMost(4);

fn main() -> ExitCode {
    process::run(ABOUT, WORKERS, |settings: &entry::Settings| &settings.identity, entry::run)
}
