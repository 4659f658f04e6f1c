//! `hyssop-agent`.

use std::process::ExitCode;

use process::Workers;

const ABOUT: &str = "hyssop-agent: has charge of one endpoint";
const WORKERS: Workers = Workers::AtMost(2);

fn main() -> ExitCode {
    process::run(ABOUT, WORKERS, |settings: &agent::Settings| &settings.identity, agent::run)
}
