//! The program `hyssop-loader`: loads and evicts models at one endpoint.

use std::process::ExitCode;

const ABOUT: &str = "hyssop-loader: gives the model server beside it its orders";

fn main() -> ExitCode {
    process::run_single_threaded(
        ABOUT,
        |settings: &loader::Settings| settings.instance.as_str(),
        loader::run,
    )
}
