//! `hyssop-agent`.

use std::process::ExitCode;

const ABOUT: &str = "hyssop-agent: has charge of one endpoint";

fn main() -> ExitCode {
    process::run(ABOUT, |settings: &agent::Settings| &settings.identity, agent::run)
}
