//! `hyssop-standin`.

use std::process::ExitCode;

const ABOUT: &str = "hyssop-standin: stands in for one part of the platform in tests";

fn main() -> ExitCode {
    process::run(ABOUT, |settings: &standin::Settings| &settings.identity, standin::run)
}
