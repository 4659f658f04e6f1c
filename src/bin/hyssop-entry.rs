//! `hyssop-entry`.

use std::process::ExitCode;

const ABOUT: &str = "hyssop-entry: answers callers' requests";

fn main() -> ExitCode {
    process::run(ABOUT, |settings: &entry::Settings| &settings.identity, entry::run)
}
