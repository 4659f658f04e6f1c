//! The program `hyssop-router`: sends callers' requests to endpoints.

use std::process::ExitCode;

const ABOUT: &str = "hyssop-router: serves callers from endpoints that it calls directly";

fn main() -> ExitCode {
    process::run_single_threaded(
        ABOUT,
        |settings: &router::Settings| settings.instance.as_str(),
        router::run,
    )
}
