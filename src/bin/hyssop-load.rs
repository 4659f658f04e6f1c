//! `hyssop-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    load::run(std::env::args_os())
}
