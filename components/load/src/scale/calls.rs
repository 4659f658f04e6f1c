//! What calls through an entry and an agent cost: processor time by token, memory by open stream.

use std::path::Path;
use std::time::Duration;

use futures_util::future::join_all;
use standin::{EngineFault, EngineSettings};
use tokio::task::JoinSet;
use tokio::time::sleep;
use units::{Size, Span};
use web::Client;

use crate::caller::{Ask, Caller, Door};
use crate::evidence::Ending;
use crate::probe::completion;
use crate::scale::ScaleError;
use crate::scale::content::{Content, model};
use crate::scale::report::{CallPoint, StreamPoint};
use crate::scale::stage::Stage;
use crate::scale::usage::Usage;

/// Lengths of the calls.
const TOKENS: [u32; 4] = [1, 16, 64, 256];
/// Callers at a time, and calls of each: the agent remembers requests beyond their deadlines, and takes
/// no more once it has no place for them.
const CALLERS: usize = 16;
const EACH: usize = 40;
/// How many streams are open at a time.
const STREAMS: [usize; 4] = [0, 250, 500, 1000];
/// Tokens of an open stream, and how much slower than others they come.
const OPEN_TOKENS: u32 = 16;
const SLOWER: f64 = 5_000.0;
const OPEN_DEADLINE: Span = Span::secs(600);
/// How many streams are opened at once, so that no listener's backlog overflows, and the pause after them.
const BURST: usize = 25;
const BURST_PAUSE: Duration = Duration::from_millis(100);
/// How long open streams settle.
const OPENING: Duration = Duration::from_secs(5);
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Agents of the deployment.
const AGENTS: usize = 8;

/// One model on one agent, with room for all streams.
pub(crate) struct Calls {
    stage: Stage,
    caller: Caller,
    doors: Vec<Door>,
    agent: String,
}

impl Calls {
    /// Starts a deployment and loads the model.
    pub(crate) async fn start(bin: &Path, out: &Path) -> Result<Self, ScaleError> {
        let slots = u32::try_from(2 * STREAMS[STREAMS.len() - 1]).unwrap_or(u32::MAX);
        let engine = EngineSettings {
            memory: Size::gib(80),
            slots,
            first_token: Span::millis(1),
            token: Span::millis(1),
            crowding: 0.0,
            ..EngineSettings::default()
        };
        let content = Content { members: AGENTS, models: 1, adapters: 1, replicas: 1 };
        let mut stage = Stage::start(bin, out, AGENTS, content, &engine).await?;
        stage.until("all members", |state| state.members().count() == AGENTS).await?;
        stage.until("all grants", |state| state.grants().count() == content.grants()).await?;
        let caller = Caller::new(stage.clock);
        let doors = stage.fleet.site.doors[..1].to_vec();
        let ask = completion(&model(0), "the first page", 1);
        let call = caller.send(&doors, &ask, stage.clock.now()).await;
        if call.ending != Ending::Served {
            return Err(ScaleError::Wake(call.text));
        }
        let agent = stage.state().grants_of(&content_model()).next();
        let agent = agent.map(|grant| grant.endpoint.to_string()).unwrap_or_default();
        Ok(Self { stage, caller, doors, agent })
    }

    /// Processor time of calls of several lengths.
    pub(crate) async fn lengths(&self) -> Result<Vec<CallPoint>, ScaleError> {
        let mut points = Vec::new();
        for tokens in TOKENS {
            let ask = completion(&model(0), "a page", tokens);
            let before = self.usage()?;
            let calls: usize = join_all((0..CALLERS).map(|_| self.repeat(&ask))).await.iter().sum();
            let after = self.usage()?;
            if calls < CALLERS * EACH {
                return Err(ScaleError::Refused { served: calls, of: CALLERS * EACH });
            }
            let each = |index: usize| {
                (after[index].busy - before[index].busy).as_secs_f64() * 1e6 / calls as f64
            };
            points.push(CallPoint { tokens, calls, entry: each(0), agent: each(1) });
        }
        Ok(points)
    }

    async fn repeat(&self, ask: &Ask) -> usize {
        let mut served = 0;
        for _ in 0..EACH {
            let call = self.caller.send(&self.doors, ask, self.stage.clock.now()).await;
            served += usize::from(call.ending == Ending::Served);
        }
        served
    }

    /// Memory with several numbers of streams open; the streams stay open.
    pub(crate) async fn streams(&self) -> Result<Vec<StreamPoint>, ScaleError> {
        let place = self.stage.fleet.site.engines.iter().find(|place| place.name == self.agent);
        let engine = place.map(|place| place.endpoint).ok_or(ScaleError::Gone)?;
        let fault = EngineFault::Slow { factor: SLOWER };
        let post = Client::default();
        let post = post.post::<serde_json::Value>(engine, "/faults", &fault, CALL_LIMIT);
        post.await.map_err(|error| ScaleError::Wake(error.to_string()))?;
        let mut ask = completion(&model(0), "a long page", OPEN_TOKENS);
        ask.deadline = OPEN_DEADLINE;
        let mut open = JoinSet::new();
        let mut points = Vec::new();
        for streams in STREAMS {
            while open.len() < streams {
                let (caller, doors, ask) = (self.caller.clone(), self.doors.clone(), ask.clone());
                let at = self.stage.clock.now();
                open.spawn(async move { caller.send(&doors, &ask, at).await });
                if open.len().is_multiple_of(BURST) {
                    sleep(BURST_PAUSE).await;
                }
            }
            sleep(OPENING).await;
            let usage = self.usage()?;
            if let Some(Ok(call)) = open.try_join_next() {
                return Err(ScaleError::Wake(call.text));
            }
            points.push(StreamPoint {
                streams,
                entry: usage[0].resident,
                agent: usage[1].resident,
            });
        }
        Ok(points)
    }

    /// What the entry and the agent take.
    fn usage(&self) -> Result<[Usage; 2], ScaleError> {
        let of = |name: &str| {
            let mut running = self.stage.fleet.running();
            let pid = running.find(|(launch, _)| launch.name == name).map(|(_, pid)| pid);
            pid.and_then(Usage::read).ok_or(ScaleError::Gone)
        };
        Ok([of(&self.doors[0].name)?, of(&self.agent)?])
    }
}

fn content_model() -> units::ModelName {
    sample::id(&model(0))
}
