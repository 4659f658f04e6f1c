//! `hyssop-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    load::main(std::env::args_os())
}
