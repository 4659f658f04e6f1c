//! The command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use jiff::Timestamp;
use lexopt::Arg::{Long, Short, Value};
use lexopt::{Parser, ValueExt};
use quarantine::Digest;
use serde::Deserialize;
use thiserror::Error;
use units::{EndpointId, ModelName, NodePath, RequestId, SettingName, Span};

/// What to do and with whom.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Cli {
    pub(crate) link: Link,
    pub(crate) command: Command,
}

/// Where the log and the processes are.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Link {
    /// The log service.
    pub(crate) log: Option<SocketAddr>,
    /// Control addresses of some processes, to ask while the log is down.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Admin addresses of the entries.
    pub(crate) entries: Vec<SocketAddr>,
    /// Who publishes.
    pub(crate) author: String,
    /// The longest wait for the log.
    pub(crate) wait: Span,
}

impl Default for Link {
    fn default() -> Self {
        let author = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
        let (seeds, entries) = (Vec::new(), Vec::new());
        Self { log: None, seeds, entries, author, wait: Span::secs(30) }
    }
}

/// A subcommand with its arguments.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Command {
    Help,
    Version,
    Check {
        file: PathBuf,
    },
    Diff {
        file: PathBuf,
        replace: bool,
    },
    Pull {
        file: PathBuf,
        force: bool,
    },
    Publish {
        file: PathBuf,
        replace: bool,
    },
    Set {
        path: NodePath,
        values: Vec<Assignment>,
    },
    Explain {
        path: String,
    },
    Reference,
    Windows {
        file: Option<PathBuf>,
        from: Option<Timestamp>,
    },
    Status,
    Timeline(Filter),
    Losses {
        worths: Vec<Worth>,
        files: Vec<PathBuf>,
    },
    Story {
        request: String,
        files: Vec<PathBuf>,
    },
    Suspects {
        router: SocketAddr,
    },
    /// Show the endpoints that announce rate limits, as a router knows them.
    Limits {
        router: SocketAddr,
    },
    /// Show how fast endpoints are, as a router knows it.
    Speeds {
        router: SocketAddr,
    },
    /// Show the software versions of services, as routers know them.
    Versions {
        routers: Vec<SocketAddr>,
    },
    /// Show the requests that wait for models at a router.
    Waiting {
        router: SocketAddr,
    },
    /// Show workspaces with their keys, limits and use at a router.
    Workspaces {
        router: SocketAddr,
    },
    Release {
        router: SocketAddr,
        digest: Digest,
    },
}

/// One `KEY=VALUE`; no value clears the setting.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Assignment {
    pub(crate) setting: SettingName,
    pub(crate) value: Option<serde_json::Value>,
}

/// Which events of the time line to show.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Filter {
    pub(crate) request: Option<RequestId>,
    pub(crate) model: Option<ModelName>,
    pub(crate) endpoint: Option<EndpointId>,
    /// Admin addresses of further processes to ask.
    pub(crate) addrs: Vec<SocketAddr>,
}

/// What a request of a class is worth.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Worth {
    /// The class, as lines name it.
    pub(crate) class: String,
    /// If it is answered on time.
    pub(crate) timely: f64,
    /// If it is answered late.
    pub(crate) late: f64,
}

/// What is wrong with a command line.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    #[error("{0}; `hyssopctl --help` lists what there is")]
    Usage(#[from] lexopt::Error),
    #[error("no command; `hyssopctl --help` lists what there is")]
    NoCommand,
    #[error("unknown command `{0}`; did you mean `{1}`?")]
    Unknown(String, &'static str),
    #[error("`{0}` is no KEY=VALUE; write for example `deadline=30s`")]
    Assignment(String),
    #[error("`{0}` is no CLASS=ON_TIME:LATE; write for example `stream-1=2:0.59`")]
    Worth(String),
    #[error("{0}")]
    Settings(#[from] process::SettingsError),
}

const COMMANDS: [&str; 19] = [
    "check",
    "diff",
    "pull",
    "publish",
    "set",
    "explain",
    "reference",
    "release",
    "status",
    "limits",
    "losses",
    "speeds",
    "story",
    "suspects",
    "timeline",
    "versions",
    "waiting",
    "windows",
    "workspaces",
];

/// What was read so far.
#[derive(Debug, Default)]
struct Words {
    link: Option<Link>,
    flags: Flags,
    filter: Filter,
    worths: Vec<Worth>,
    values: Vec<OsString>,
}

#[derive(Debug, Default)]
struct Flags {
    log: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    author: Option<String>,
    wait: Option<Span>,
    from: Option<Timestamp>,
    force: bool,
    replace: bool,
    help: bool,
    version: bool,
}

/// Reads a command line; the first word is the program's name.
pub(crate) fn parse_args<I>(words: I) -> Result<Cli, CliError>
where
    I: IntoIterator,
    I::Item: Into<OsString>,
{
    let mut parser = Parser::from_iter(words);
    let mut words = Words::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => words.flags.help = true,
            Short('V') | Long("version") => words.flags.version = true,
            Long("settings") => {
                let file = PathBuf::from(parser.value()?);
                words.link = Some(process::load_settings(&file)?);
            }
            Long("log") => words.flags.log = Some(parser.value()?.parse()?),
            Long("seed") => words.flags.seeds.push(parser.value()?.parse()?),
            Long("entry") => words.flags.entries.push(parser.value()?.parse()?),
            Long("author") => words.flags.author = Some(parser.value()?.string()?),
            Long("wait") => words.flags.wait = Some(parser.value()?.parse()?),
            Long("from") => words.flags.from = Some(parser.value()?.parse()?),
            Long("force") => words.flags.force = true,
            Long("replace") => words.flags.replace = true,
            Long("request") => words.filter.request = Some(parser.value()?.parse()?),
            Long("model") => words.filter.model = Some(parser.value()?.parse()?),
            Long("endpoint") => words.filter.endpoint = Some(parser.value()?.parse()?),
            Long("worth") => words.worths.push(worth(&parser.value()?.string()?)?),
            Value(value) => words.values.push(value),
            other => return Err(other.unexpected().into()),
        }
    }
    let command = command(&mut words)?;
    Ok(Cli { link: link(words.link.unwrap_or_default(), words.flags), command })
}

/// Flags go before the settings file.
fn link(file: Link, flags: Flags) -> Link {
    let or = |flags: Vec<SocketAddr>, file: Vec<SocketAddr>| {
        if flags.is_empty() { file } else { flags }
    };
    Link {
        log: flags.log.or(file.log),
        seeds: or(flags.seeds, file.seeds),
        entries: or(flags.entries, file.entries),
        author: flags.author.unwrap_or(file.author),
        wait: flags.wait.unwrap_or(file.wait),
    }
}

fn command(words: &mut Words) -> Result<Command, CliError> {
    if words.flags.help {
        return Ok(Command::Help);
    }
    if words.flags.version {
        return Ok(Command::Version);
    }
    let mut values = std::mem::take(&mut words.values).into_iter();
    let name = values.next().ok_or(CliError::NoCommand)?.string()?;
    let flags = &words.flags;
    let command = match name.as_str() {
        "check" => Command::Check { file: file(&mut values)? },
        "diff" => Command::Diff { file: file(&mut values)?, replace: flags.replace },
        "pull" => Command::Pull { file: file(&mut values)?, force: flags.force },
        "publish" => Command::Publish { file: file(&mut values)?, replace: flags.replace },
        "set" => {
            let path = next("PATH", &mut values)?.parse()?;
            let values = values.by_ref().map(|word| assignment(&word.string()?));
            Command::Set { path, values: values.collect::<Result<_, CliError>>()? }
        }
        "explain" => Command::Explain { path: next("PATH", &mut values)?.string()? },
        "reference" => Command::Reference,
        "windows" => Command::Windows { file: values.next().map(PathBuf::from), from: flags.from },
        "status" => Command::Status,
        "losses" => {
            let first = file(&mut values)?;
            let files = std::iter::once(first).chain(values.by_ref().map(PathBuf::from)).collect();
            Command::Losses { worths: std::mem::take(&mut words.worths), files }
        }
        "story" => {
            let request = next("ID", &mut values)?.string()?;
            let first = file(&mut values)?;
            let files = std::iter::once(first).chain(values.by_ref().map(PathBuf::from)).collect();
            Command::Story { request, files }
        }
        "suspects" => Command::Suspects { router: next("ROUTER", &mut values)?.parse()? },
        "limits" => Command::Limits { router: next("ROUTER", &mut values)?.parse()? },
        "speeds" => Command::Speeds { router: next("ROUTER", &mut values)?.parse()? },
        "versions" => {
            let first = next("ROUTER", &mut values)?.parse()?;
            let others = values.by_ref().map(|word| word.parse());
            let routers = std::iter::once(Ok(first)).chain(others);
            Command::Versions { routers: routers.collect::<Result<_, lexopt::Error>>()? }
        }
        "waiting" => Command::Waiting { router: next("ROUTER", &mut values)?.parse()? },
        "workspaces" => Command::Workspaces { router: next("ROUTER", &mut values)?.parse()? },
        "release" => Command::Release {
            router: next("ROUTER", &mut values)?.parse()?,
            digest: next("DIGEST", &mut values)?.parse()?,
        },
        "timeline" => {
            let mut filter = std::mem::take(&mut words.filter);
            let addrs = values.by_ref().map(|word| word.parse());
            filter.addrs = addrs.collect::<Result<_, _>>()?;
            Command::Timeline(filter)
        }
        other => return Err(CliError::Unknown(other.to_owned(), nearest(other))),
    };
    match values.next() {
        None => Ok(command),
        Some(word) => Err(lexopt::Error::UnexpectedArgument(word).into()),
    }
}

fn next(
    name: &str,
    values: &mut impl Iterator<Item = OsString>,
) -> Result<OsString, lexopt::Error> {
    values.next().ok_or_else(|| format!("{name} is missing").into())
}

fn file(values: &mut impl Iterator<Item = OsString>) -> Result<PathBuf, lexopt::Error> {
    next("FILE", values).map(PathBuf::from)
}

fn assignment(word: &str) -> Result<Assignment, CliError> {
    let bad = || CliError::Assignment(word.to_owned());
    let (name, text) = word.split_once('=').ok_or_else(bad)?;
    let setting = name.parse().map_err(|_| bad())?;
    let json = serde_json::from_str(text).unwrap_or_else(|_| serde_json::Value::from(text));
    let value = (!text.is_empty()).then_some(json);
    Ok(Assignment { setting, value })
}

fn worth(word: &str) -> Result<Worth, CliError> {
    let parts = || {
        let (class, rest) = word.split_once('=')?;
        let (timely, late) = rest.split_once(':')?;
        let number = |text: &str| text.parse().ok().filter(|n: &f64| *n >= 0.0 && n.is_finite());
        Some(Worth { class: class.to_owned(), timely: number(timely)?, late: number(late)? })
    };
    parts().ok_or_else(|| CliError::Worth(word.to_owned()))
}

fn nearest(name: &str) -> &'static str {
    let alike = |command: &&str| strsim::jaro(name, command);
    COMMANDS.into_iter().max_by(|a, b| alike(a).total_cmp(&alike(b))).unwrap_or("--help")
}

#[cfg(test)]
mod tests;
