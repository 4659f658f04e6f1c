//! `hyssopctl`: the operator's program.

use std::io::Write;
use std::process::ExitCode;

mod cli;
mod cmd;
mod error;
mod files;
mod fleet;
mod lines;
mod session;

use cli::{Command, parse_args};
use error::{CmdError, Exit};
use session::Session;

fn main() -> ExitCode {
    let cli = match parse_args(std::env::args_os()) {
        Ok(cli) => cli,
        Err(error) => {
            eprintln!("error: {error}");
            return Exit::Usage.into();
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: {error}");
            return Exit::Failed.into();
        }
    };
    let ended = runtime.block_on(async {
        let mut out = std::io::stdout();
        run(&cli.command, async || Session::connect(&cli.link).await, &mut out).await
    });
    match ended {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("error: {error}");
            error.exit().into()
        }
    }
}

/// Runs a command; connects only if the command needs the network.
async fn run(
    command: &Command,
    connect: impl AsyncFnOnce() -> Result<Session, CmdError>,
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    match command {
        Command::Help => cmd::help::run(out),
        Command::Version => cmd::help::version(out),
        Command::Reference => cmd::help::reference(out),
        Command::Check { file } => cmd::check::run(file, out),
        Command::Diff { file, replace } => cmd::diff::run(&connect().await?, file, *replace, out),
        Command::Pull { file, force } => cmd::pull::run(&connect().await?, file, *force, out),
        Command::Publish { file, replace } => {
            cmd::publish::run(&connect().await?, file, *replace, out).await
        }
        Command::Set { path, values } => cmd::set::run(&connect().await?, path, values, out).await,
        Command::Explain { path } => cmd::explain::run(&connect().await?, path, out),
        Command::Windows { file, from } => {
            cmd::windows::run(&connect().await?, file.as_deref(), *from, out)
        }
        Command::Status => cmd::status::run(&connect().await?, out).await,
        Command::Losses { worths, files } => cmd::losses::run(worths, files, out),
        Command::Story { request, files } => cmd::story::run(request, files, out),
        Command::Limits { router } => cmd::limits::list(*router, out).await,
        Command::Speeds { router } => cmd::speeds::list(*router, out).await,
        Command::Suspects { router } => cmd::suspects::list(*router, out).await,
        Command::Release { router, digest } => cmd::suspects::release(*router, *digest, out).await,
        Command::Versions { routers } => cmd::versions::list(routers, out).await,
        Command::Waiting { router } => cmd::waiting::list(*router, out).await,
        Command::Workspaces { router } => cmd::workspaces::list(*router, out).await,
        Command::Timeline(filter) => cmd::timeline::run(&connect().await?, filter, out).await,
    }
}

#[cfg(test)]
mod tests;
