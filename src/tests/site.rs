//! A site in memory: the log, processes that follow it, and operators with their files.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use edge::{LogError, LogService, Page, Stream};
use fake::{Log, Net};
use http::StatusCode;
use journal::{Journal, Options};
use record::{Attach, Body, Decision, Record};
use serde_json::json;
use state::State;
use tempfile::TempDir;
use timeline::{Kind, Recorder, Tick};
use tokio::sync::watch;
use tokio::time::sleep;
use units::{Epoch, Offset, ReplicaIndex, Revision, Size};

use crate::cli::{Link, parse_args};
use crate::error::{CmdError, Exit};
use crate::session::Session;

pub(super) const TREE: &str = r#"// The Press.
{
  "settings": { "service": "likhari" },
  "children": {
    "hall": {
      // Teachers wait here.
      "settings": { "deadline": "9s", "queue": 8 },
      "children": {
        "page-text": { "kind": "model", "children": { "urdu": { "kind": "adapter" } } },
      },
    },
  },
}
"#;

const LIMIT: Duration = Duration::from_secs(5);
const FIRST_PORT: u16 = 20_000;
const HEARTBEAT: Duration = Duration::from_millis(20);

type Stuck = Arc<Mutex<Option<Revision>>>;

/// A process that follows the log and has an admin server.
struct Process {
    journal: Journal,
    recorder: Recorder,
    admin: SocketAddr,
    /// The revision that it says it stays at.
    stuck: Stuck,
    _stop: watch::Sender<bool>,
}

pub(super) struct Site {
    pub(super) log: Log,
    net: Net,
    /// Whether the processes are cut off from the log, which then goes down with the next accepted edit.
    cut: watch::Sender<bool>,
    dir: TempDir,
    processes: Vec<Process>,
    transcript: Mutex<String>,
}

/// The log as the processes see it, which can be cut off from it while operators are not.
struct Reader {
    log: Log,
    cut: watch::Receiver<bool>,
}

#[async_trait]
impl LogService for Reader {
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, LogError> {
        self.log.append(stream, records).await
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, LogError> {
        let mut cut = self.cut.clone();
        tokio::select! {
            biased;
            _ = cut.wait_for(|cut| *cut) => Err(LogError::Unreadable("cut off".to_owned())),
            page = self.log.read(stream, from, wait) => page,
        }
    }
}

/// What a command prints; the log goes down once it prints that an edit was accepted, if that is wanted.
struct Output<'a> {
    site: &'a Site,
    text: Vec<u8>,
}

impl Write for Output<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.text.extend_from_slice(bytes);
        let accepted = String::from_utf8_lossy(&self.text).contains("accepted as");
        if accepted && *self.site.cut.borrow() {
            self.site.log.set(|faults| faults.outage = true);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

pub(super) struct Operator<'a> {
    site: &'a Site,
    name: &'static str,
}

impl Default for Site {
    fn default() -> Self {
        let dir = tempfile::tempdir().expect("a folder for the operators' files");
        let (log, net) = (Log::default(), Net::default());
        let cut = watch::Sender::new(false);
        Self { log, net, cut, dir, processes: Vec::new(), transcript: Mutex::default() }
    }
}

fn control(number: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(number).expect("few processes");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Site {
    /// A site with an entry, which is process 0, and two agents.
    pub(super) async fn with_processes() -> Self {
        let mut site = Self::default();
        for name in ["entry-1", "likhari-1", "likhari-2"] {
            let process = site.start(name).await;
            site.processes.push(process);
        }
        for number in 1..=2 {
            let attach = site.attach(number);
            site.processes[number].journal.append(attach, LIMIT).await.expect("the log is up");
        }
        site
    }

    async fn start(&self, name: &str) -> Process {
        let instance: units::InstanceId = name.parse().expect("a right id");
        let recorder = Recorder::new(instance.clone());
        let control = control(self.processes.len());
        let options = Options {
            network: Arc::new(self.net.port(control)),
            heartbeat: HEARTBEAT,
            ..Options::default()
        };
        let log = Reader { log: self.log.clone(), cut: self.cut.subscribe() };
        let journal = journal::start(Arc::new(log), instance, recorder.clone(), options);
        journal.ready().await;
        let peer = journal.clone();
        self.net.serve(control, move |message| {
            let peer = peer.clone();
            async move {
                let message = serde_json::from_slice(&message).expect("a control message");
                let reply = peer.answer(message).await;
                serde_json::to_vec(&reply).expect("a reply").into()
            }
        });
        let listener = web::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port");
        let admin = listener.local_addr().expect("a bound socket");
        let (keep, stop) = watch::channel(false);
        let stuck: Stuck = Arc::default();
        let asked = (journal.clone(), recorder.clone(), stuck.clone());
        tokio::spawn(web::serve(
            listener,
            web::ServeOptions::default(),
            stop,
            move |request, _| {
                let (journal, recorder, stuck) = asked.clone();
                async move {
                    if request.uri().path() == "/timeline" {
                        return web::text(StatusCode::OK, recorder.to_lines());
                    }
                    let stuck = *stuck.lock().expect("no panic");
                    let revision = stuck.unwrap_or(journal.read(State::revision));
                    web::json(
                        StatusCode::OK,
                        &json!({
                            "revision": revision,
                            "memory": { "total": "48GiB", "taken": "10GiB" },
                            "replicas": {
                                "page-text@v2": { "phase": "loading", "waiting": 3 },
                                "page-titles": { "phase": "cold", "waiting": 0 },
                            },
                            "routes": [1, 2],
                        }),
                    )
                }
            },
        ));
        Process { journal, recorder, admin, stuck, _stop: keep }
    }

    fn attach(&self, number: usize) -> Body {
        let process = &self.processes[number];
        Body::Attach(Attach {
            instance: sample::id(&format!("likhari-{number}")),
            admin: process.admin,
            memory: Size::gib(48),
            ..sample::attach(&format!("endpoint-{number}"), control(number))
        })
    }

    /// Makes the entry the planner and has it grant a replica.
    pub(super) async fn grant(&self, model: &str, endpoint: &str) {
        let journal = &self.processes[0].journal;
        let claim = Body::Claim { previous: Epoch(0) };
        let epoch: Epoch = journal.append(claim, LIMIT).await.expect("the log is up").offset.into();
        let grant = Decision::Grant {
            model: sample::id(model),
            index: ReplicaIndex(0),
            artifact: sample::id(model),
            endpoint: sample::id(endpoint),
            reason: "always one replica".to_owned(),
        };
        let decide = Body::Decide { epoch, decisions: vec![grant] };
        let decided = journal.append(decide, LIMIT).await.expect("the log is up");
        assert!(decided.is_done(), "{decided:?}");
    }

    /// Has two processes record one request, with clocks as a dispatch would set them.
    pub(super) fn record_request(&self) {
        let (entry, agent) = (&self.processes[0].recorder, &self.processes[1].recorder);
        let request = "r-1".parse().expect("a right id");
        let put = |recorder: &Recorder, kind: Kind| {
            let model = "page-text@v2".parse().expect("a right name");
            let mut event = recorder.event(kind).request(&request).model(&model);
            event.wall = 0;
            recorder.record(event);
        };
        entry.clock().observe(Tick(1000));
        put(entry, Kind::Accepted);
        put(entry, Kind::Dispatched);
        agent.clock().observe(entry.clock().tick());
        put(agent, Kind::Queued);
        put(agent, Kind::Running);
        entry.clock().observe(agent.clock().tick());
        put(entry, Kind::Answered);
    }

    /// Has a process say that it stays at its revision.
    pub(super) fn stop_following(&self, number: usize) {
        let process = &self.processes[number];
        let revision = process.journal.read(State::revision);
        *process.stuck.lock().expect("no panic") = Some(revision);
    }

    /// Cuts the processes off from the log, which goes down for all with the next accepted edit.
    pub(super) fn cut_off_processes(&self) {
        self.cut.send_replace(true);
    }

    /// Has others write many records at once; appends are quick again after that.
    pub(super) fn fill_after(&self, time: Duration) {
        let log = self.log.clone();
        tokio::spawn(async move {
            sleep(time).await;
            for number in 0..=record::RECORD_WINDOW_OFFSETS {
                let (id, from) =
                    (format!("renew-{number}"), "entry-1".parse().expect("a right id"));
                let renew = Body::Renew { epoch: Epoch(1) };
                let renew = Record::new(id, from, 0, Offset(1), renew);
                log.put(Stream::Control, serde_json::to_vec(&renew).expect("a record"));
            }
            log.set(|faults| faults.late = None);
        });
    }

    /// Has the log refuse appends for a while.
    pub(super) fn refuse_for(&self, time: Duration) {
        self.log.set(|faults| faults.refuse = true);
        let log = self.log.clone();
        tokio::spawn(async move {
            sleep(time).await;
            log.set(|faults| faults.refuse = false);
        });
    }

    pub(super) fn operator(&self, name: &'static str) -> Operator<'_> {
        Operator { site: self, name }
    }

    pub(super) fn write(&self, file: &str, text: &str) {
        std::fs::write(self.dir.path().join(file), text).expect("a file");
    }

    pub(super) fn read(&self, file: &str) -> String {
        std::fs::read_to_string(self.dir.path().join(file)).expect("a file")
    }

    /// Replaces a part of a file that must be there.
    pub(super) fn edit(&self, file: &str, from: &str, to: &str) {
        let text = self.read(file);
        assert!(text.contains(from), "{text}");
        self.write(file, &text.replace(from, to));
        self.note(&format!("{file}: {from} becomes {to}"));
    }

    /// Adds a remark to the transcript.
    pub(super) fn note(&self, text: &str) {
        self.add(&format!("# {text}\n"));
    }

    /// Adds a file to the transcript.
    pub(super) fn show(&self, file: &str) {
        self.add(&format!("# {file}:\n{}", self.read(file)));
    }

    fn add(&self, text: &str) {
        let text = text.replace(&format!("{}/", self.dir.path().display()), "");
        let mut transcript = self.transcript.lock().expect("no panic");
        let entry = self.processes.first().map(|process| process.admin.to_string());
        transcript.push_str(&entry.map_or(text.clone(), |addr| text.replace(&addr, "ADDR")));
    }

    /// What the operators typed and saw.
    pub(super) fn transcript(&self) -> String {
        self.transcript.lock().expect("no panic").clone()
    }
}

impl Operator<'_> {
    pub(super) fn site(&self) -> &Site {
        self.site
    }

    /// Runs one command as a process of its own would, with its files in the site's folder.
    pub(super) async fn run(&self, line: &str) -> Exit {
        self.run_and_read(line).await.0
    }

    /// Runs one command and returns what it printed, too.
    pub(super) async fn run_and_read(&self, line: &str) -> (Exit, String) {
        let in_folder = |word: &str| match word.ends_with(".jsonc") {
            true => self.site.dir.path().join(word).into_os_string(),
            false => word.into(),
        };
        let words = ["hyssopctl", "--author", self.name].map(Into::into);
        let words = words.into_iter().chain(line.split_whitespace().map(in_folder));
        let mut cli = parse_args(words).expect("a right command line");
        cli.link.entries =
            self.site.processes.iter().map(|process| process.admin).take(1).collect();
        let mut out = Output { site: self.site, text: Vec::new() };
        let ended =
            crate::run(&cli.command, async || self.connect(&cli.link).await, &mut out).await;
        let mut text = format!("{}$ hyssopctl {line}\n", self.name);
        text.push_str(&String::from_utf8_lossy(&out.text));
        let exit = ended.unwrap_or_else(|error| {
            text.push_str(&format!("error: {error}\n"));
            error.exit()
        });
        self.site.add(&format!("{text}[exit {}]\n", exit as u8));
        (exit, text)
    }

    async fn connect(&self, link: &Link) -> Result<Session, CmdError> {
        let network = Arc::new(self.site.net.port(control(99)));
        let options = Options { network, heartbeat: HEARTBEAT, ..Options::default() };
        Session::start(Arc::new(self.site.log.clone()), link, options).await
    }
}
