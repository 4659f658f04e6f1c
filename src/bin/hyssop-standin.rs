//! `hyssop-standin`.

use std::process::ExitCode;

use process::Workers;

const ABOUT: &str = "hyssop-standin: stands in for one part of the platform in tests";
const WORKERS: Workers = Workers::Cores;

fn main() -> ExitCode {
    process::run(ABOUT, WORKERS, |settings: &standin::Settings| &settings.identity, standin::run)
}
