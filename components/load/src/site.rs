//! A sample deployment on loopback: its processes, their addresses and settings files.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use edge::{Instance, InstanceState};
use serde::Deserialize;
use serde_json::{Value, json};
use thiserror::Error;
use units::{ModelName, Size};

use crate::caller::Door;
use crate::children::Launch;
use crate::ports;

/// Accelerator memory of each engine.
const ENGINE_MEMORY: Size = Size::gib(80);

/// The users' deployments that a sample can be made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Sample {
    /// Sindhu Nagar Civic Press Works, karachi-south.
    Press,
    /// Omaruru Commons Colocation Trust, khomas.
    Trust,
}

/// Why a name is not a sample.
#[derive(Debug, Error)]
#[error("no sample deployment `{0}`; there are `press` and `trust`")]
pub(crate) struct UnknownSample(String);

/// How large a site is.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scale {
    /// Model engines.
    pub(crate) engines: usize,
    /// Plain services.
    pub(crate) services: usize,
    /// Entries.
    pub(crate) entries: usize,
}

/// What a site is made of.
#[derive(Debug, Clone)]
pub(crate) struct Layout {
    /// The sample whose names it has.
    pub(crate) sample: Sample,
    /// How large it is.
    pub(crate) scale: Scale,
    /// Settings of the engines' stand-ins that are not the usual ones.
    pub(crate) engine: serde_json::Map<String, Value>,
    /// How many of the entries, the last ones, take no notice of cached prefixes.
    pub(crate) blind: usize,
}

/// An endpoint with its agent.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    /// The endpoint's name, which is also its instance's.
    pub(crate) name: String,
    /// Where the endpoint's stand-in serves.
    pub(crate) endpoint: SocketAddr,
    /// The stand-in.
    pub(crate) standin: Launch,
    /// The agent.
    pub(crate) agent: Launch,
    /// Where the agent takes control messages.
    pub(crate) control: SocketAddr,
}

/// A sample deployment, written down and ready to start.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    /// Where settings files and logs are.
    pub(crate) out: PathBuf,
    /// The log service.
    pub(crate) log: SocketAddr,
    /// The instance list.
    pub(crate) list: SocketAddr,
    /// The weight store.
    pub(crate) store: SocketAddr,
    /// The stand-ins of log, list and store.
    pub(crate) platform: Vec<Launch>,
    /// Model engines.
    pub(crate) engines: Vec<Place>,
    /// Plain services.
    pub(crate) services: Vec<Place>,
    /// The entries' processes.
    pub(crate) entries: Vec<Launch>,
    /// Where callers reach them, in the same order.
    pub(crate) doors: Vec<Door>,
    /// What the list says at the start.
    pub(crate) instances: Vec<Instance>,
}

impl FromStr for Sample {
    type Err = UnknownSample;

    fn from_str(text: &str) -> Result<Self, UnknownSample> {
        match text {
            "press" => Ok(Self::Press),
            "trust" => Ok(Self::Trust),
            _ => Err(UnknownSample(text.to_owned())),
        }
    }
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Press => "press",
            Self::Trust => "trust",
        })
    }
}

impl Sample {
    /// The tree of settings to publish.
    pub(crate) fn tree(self) -> &'static Path {
        Path::new(match self {
            Self::Press => "examples/press-karachi-south.jsonc",
            Self::Trust => "examples/trust-khomas.jsonc",
        })
    }

    fn domains(self) -> [&'static str; 4] {
        match self {
            Self::Press => ["saddar", "clifton", "lyari", "korangi"],
            Self::Trust => ["a", "b", "c", "d"],
        }
    }

    fn engines(self) -> &'static str {
        match self {
            Self::Press => "likhari",
            Self::Trust => "assist-llm",
        }
    }

    /// The plain service.
    pub(crate) fn service(self) -> &'static str {
        match self {
            Self::Press => "darwaza",
            Self::Trust => "desk-app",
        }
    }

    /// The path of a call of the plain service that may not be repeated.
    pub(crate) fn unrepeatable(self) -> &'static str {
        match self {
            Self::Press => "/proofs",
            Self::Trust => "/badges",
        }
    }

    /// The branch above that model.
    pub(crate) fn branch(self) -> &'static str {
        match self {
            Self::Press => "/karachi-south/likhari/draft-pages",
            Self::Trust => "/khomas/assist-llm/contracts",
        }
    }

    /// A model that nobody uses before the trial does.
    pub(crate) fn cold_model(self) -> ModelName {
        let name = match self {
            Self::Press => "page-text",
            Self::Trust => "contracts-clinics-terms",
        };
        name.parse().expect("names of the samples are right")
    }

    fn domain(self, index: usize) -> &'static str {
        let domains = self.domains();
        domains[index % domains.len()]
    }
}

/// Writes settings files one after the other.
struct Writer<'a> {
    layout: &'a Layout,
    sample: Sample,
    bin: &'a Path,
    out: &'a Path,
    ports: std::vec::IntoIter<SocketAddr>,
}

/// Why a site can't be written down.
#[derive(Debug, Error)]
#[error("cannot write the sample deployment to {}: {cause}", out.display())]
pub(crate) struct SiteError {
    out: PathBuf,
    cause: std::io::Error,
}

const PORTS_PLATFORM: usize = 6;
const PORTS_ENDPOINT: usize = 5;
const PORTS_ENTRY: usize = 3;

impl Site {
    /// Chooses free ports and writes a settings file for each process to `out`.
    pub(crate) fn write(layout: &Layout, bin: &Path, out: &Path) -> Result<Self, SiteError> {
        let failed = |cause| SiteError { out: out.to_owned(), cause };
        std::fs::create_dir_all(out).map_err(failed)?;
        let scale = layout.scale;
        let endpoints = scale.engines + scale.services;
        let count = PORTS_PLATFORM + PORTS_ENDPOINT * endpoints + PORTS_ENTRY * scale.entries;
        let ports = ports::free(count).map_err(failed)?.into_iter();
        Writer { layout, sample: layout.sample, bin, out, ports }.site().map_err(failed)
    }

    /// All endpoints.
    pub(crate) fn places(&self) -> impl Iterator<Item = &Place> {
        self.engines.iter().chain(&self.services)
    }
}

impl Writer<'_> {
    fn site(mut self) -> std::io::Result<Site> {
        let scale = self.layout.scale;
        let (log, list, store) = (self.port()?, self.port()?, self.port()?);
        let doors: Vec<Door> = (1..=scale.entries)
            .map(|n| Ok(Door { name: format!("entry-{n}"), addr: self.port()? }))
            .collect::<std::io::Result<_>>()?;
        let controls: Vec<SocketAddr> =
            doors.iter().map(|_| self.port()).collect::<std::io::Result<_>>()?;
        let shared = Shared { log, list, store, seeds: controls };
        let engines = self.places(self.sample.engines(), scale.engines, &shared, true)?;
        let services = self.places(self.sample.service(), scale.services, &shared, false)?;
        let instances = self.instances(&engines, &services, &doors);
        let platform = vec![
            self.standin("log", "log", log, json!({ "log": {} }))?,
            self.standin("list", "list", list, json!({ "list": { "instances": instances } }))?,
            self.standin("store", "store", store, json!({ "store": {} }))?,
        ];
        let entries = doors
            .iter()
            .enumerate()
            .map(|(index, door)| self.entry(index, door, &shared))
            .collect::<std::io::Result<_>>()?;
        Ok(Site {
            out: self.out.to_owned(),
            log,
            list,
            store,
            platform,
            engines,
            services,
            entries,
            doors,
            instances,
        })
    }

    fn port(&mut self) -> std::io::Result<SocketAddr> {
        self.ports.next().ok_or_else(|| std::io::Error::other("too few ports were reserved"))
    }

    fn places(
        &mut self,
        service: &str,
        count: usize,
        shared: &Shared,
        engine: bool,
    ) -> std::io::Result<Vec<Place>> {
        (0..count).map(|index| self.place(service, index, shared, engine)).collect()
    }

    fn place(
        &mut self,
        service: &str,
        index: usize,
        shared: &Shared,
        engine: bool,
    ) -> std::io::Result<Place> {
        let name = format!("{service}-{}", index + 1);
        let endpoint = self.port()?;
        let role =
            if engine { self.engine(shared) } else { json!({ "service": { "delay": "20ms" } }) };
        let domain = self.sample.domain(index);
        let standin = self.standin(&format!("standin-{name}"), domain, endpoint, role)?;
        let (admin, control) = (self.port()?, self.port()?);
        let settings = json!({
            "identity": identity(&name, domain, admin),
            "endpoint": name,
            "kind": if engine { "engine" } else { "service" },
            "service": service,
            "address": endpoint,
            "fenced": engine,
            "memory": if engine { ENGINE_MEMORY } else { Size(0) },
            "dispatch": self.port()?,
            "control": control,
            "seeds": shared.seeds,
            "log": shared.log,
            "list": shared.list,
        });
        let agent = self.launch("hyssop-agent", &name, admin, &settings)?;
        Ok(Place { name, endpoint, standin, agent, control })
    }

    fn engine(&self, shared: &Shared) -> Value {
        let mut engine = serde_json::Map::new();
        engine.insert("memory".to_owned(), json!(ENGINE_MEMORY));
        engine.insert("store".to_owned(), json!(shared.store));
        engine.extend(self.layout.engine.clone());
        json!({ "engine": engine })
    }

    fn entry(&mut self, index: usize, door: &Door, shared: &Shared) -> std::io::Result<Launch> {
        let control = shared.seeds[index];
        let others: Vec<_> = shared.seeds.iter().filter(|seed| **seed != control).collect();
        let admin = self.port()?;
        let settings = json!({
            "identity": identity(&door.name, self.sample.domain(index), admin),
            "listen": door.addr,
            "control": control,
            "seeds": others,
            "log": shared.log,
            "list": shared.list,
            "balancer_lag": "500ms",
            "affinity": index + self.layout.blind < self.layout.scale.entries,
        });
        self.launch("hyssop-entry", &door.name, admin, &settings)
    }

    fn standin(
        &mut self,
        name: &str,
        domain: &str,
        address: SocketAddr,
        role: Value,
    ) -> std::io::Result<Launch> {
        let admin = self.port()?;
        let settings = json!({
            "identity": identity(name, domain, admin),
            "address": address,
            "role": role,
        });
        self.launch("hyssop-standin", name, admin, &settings)
    }

    fn launch(
        &self,
        program: &str,
        name: &str,
        admin: SocketAddr,
        settings: &Value,
    ) -> std::io::Result<Launch> {
        let file = self.out.join(format!("{name}.jsonc"));
        let text = serde_json::to_string_pretty(settings)?;
        std::fs::write(
            &file,
            format!("// {program}: {name} of the sample `{}`\n{text}\n", self.sample),
        )?;
        let log = self.out.join(format!("{name}.log"));
        if log.exists() {
            std::fs::remove_file(&log)?;
        }
        Ok(Launch {
            name: name.to_owned(),
            program: self.bin.join(program),
            settings: file,
            log,
            admin,
        })
    }

    fn instances(&self, engines: &[Place], services: &[Place], doors: &[Door]) -> Vec<Instance> {
        let endpoints = [(self.sample.engines(), engines), (self.sample.service(), services)];
        let endpoints = endpoints.into_iter().flat_map(|(service, places)| {
            places.iter().enumerate().map(move |(index, place)| (service, index, &place.name))
        });
        let entries =
            doors.iter().enumerate().map(|(index, door)| ("hyssop-entry", index, &door.name));
        endpoints
            .chain(entries)
            .map(|(service, index, name)| Instance {
                id: name.parse().expect("names of the samples are ids"),
                service: service.parse().expect("names of the samples are service names"),
                domain: self
                    .sample
                    .domain(index)
                    .parse()
                    .expect("domains of the samples are right"),
                state: InstanceState::Live,
            })
            .collect()
    }
}

/// What the settings of several processes share.
struct Shared {
    log: SocketAddr,
    list: SocketAddr,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
}

fn identity(name: &str, domain: &str, admin: SocketAddr) -> Value {
    json!({ "instance": name, "domain": domain, "admin": admin, "log": "info" })
}
