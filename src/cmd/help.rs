//! `hyssopctl --help`, `--version` and `reference`.

use std::io::Write;

use crate::error::{CmdError, Exit};

const HELP: &str = "\
hyssopctl: checks, publishes and explains the settings tree, and shows what the system does

Usage: hyssopctl [OPTIONS] COMMAND

Commands:
  check FILE               check a settings file; needs no network
  diff FILE                show what a publish of the file would change
  pull FILE                write the tree in force to the file, with FILE.base beside it;
                           keeps your changes that are not published; --force drops them
  publish FILE             publish what you changed since the pull, and wait until it is in force;
                           --replace (also of diff) puts the file in place of all there is, also of what
                           others published; a file that was never pulled needs it
  set PATH KEY=VALUE...    publish settings of one node; `KEY=` clears the setting
  explain PATH             show the settings in force at a node or a model, and where they come from
  reference                write the reference page of all settings
  windows [FILE]           show which closing windows open within 40 days, in force or in the file, and
                           whether what they need fits the endpoints; --from TIME looks from another time
  status                   show the planner, the grants and every process with its revision
  timeline [ADDR...]       show the events of all processes in causal order;
                           --request ID, --model M and --endpoint E choose
  losses FILE...           show by class of request how many were on time and what the others lost, from the
                           same lines; --worth CLASS=ON_TIME:LATE weighs a class, such as stream-1=2:0.59
  suspects ROUTER          show the requests that a router refuses since they crash endpoints, and the ends that
                           speak against each; ROUTER is its control address
  release ROUTER DIGEST    let one of them go at all routers: it is sent to endpoints again
  limits ROUTER            show the endpoints that announce rate limits, and for how long this router sends
                           them nothing
  speeds ROUTER            show how fast endpoints are relative to the median one of their service, and the times
                           between events of streams that this was measured from
  versions ROUTER...       show the software versions of each service at these routers: the endpoints of each
                           version, the streams that are held to it, and whether keepers are told of them
  waiting ROUTER           show the requests that wait for models at a router, with the expected wait and the
                           workspaces of each queue, and the tokens that each workspace was served lately
  workspaces ROUTER        show workspaces with the digests of their keys, their limits and what they use at a
                           router, and which keys it refused of late
  story ID FILE...         tell what became of one request, from the log lines of routers and loaders;
                           needs no network

Options:
  --settings FILE          read the options below from a JSON file with comments:
                           { \"log\": ADDR, \"seeds\": [ADDR], \"entries\": [ADDR], \"author\": NAME, \"wait\": SPAN }
  --log ADDR               the log service
  --seed ADDR              control address of a process to ask while the log is down; may be repeated
  --entry ADDR             admin address of an entry; may be repeated
  --author NAME            who publishes; default $USER
  --wait SPAN              the longest wait for the log, default 30s, and for an edit to be in force, which is
                           at most 10s
  -h, --help               show this
  -V, --version            show the version

Exit codes:
  0  done
  1  the network or the system failed; nothing was published
  2  the command line or a file is wrong; nothing was published
  3  rejected: another edit won, or the tree would be wrong; nothing was published
  4  not known whether the edit is accepted; publish again to learn it
  5  accepted, but not seen in force everywhere in time; of status, timeline and versions: a process did
     not answer
";

pub(crate) fn run(out: &mut dyn Write) -> Result<Exit, CmdError> {
    write!(out, "{HELP}")?;
    Ok(Exit::Done)
}

pub(crate) fn version(out: &mut dyn Write) -> Result<Exit, CmdError> {
    writeln!(out, "hyssopctl {}", env!("CARGO_PKG_VERSION"))?;
    Ok(Exit::Done)
}

pub(crate) fn reference(out: &mut dyn Write) -> Result<Exit, CmdError> {
    write!(out, "{}", tree::reference())?;
    Ok(Exit::Done)
}
