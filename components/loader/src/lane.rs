//! Waits for a lane of the weight store on behalf of the steward.

use std::time::Duration;

use events::{Dependency, Event, emit, millis};
use platform::{Log, Store, StoreError};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use units::{ModelName, Offset, StorePosition};

use crate::fence::TOPIC;
use crate::queue::{Note, Queue, RENEW};

/// How long a read of the records waits for a new one.
const WAIT: Duration = Duration::from_secs(3);
/// The pause between reads for a model that callers ask for all the time: a small part of its load.
const PACE: Duration = Duration::from_millis(150);
/// The same for a model that few ask for, whose load may begin somewhat later: each call is paid for, and each record is
/// read by all that wait. With one pace for all, calls to the store were twice as many on a deployment with 53 loaders.
const CALM: Duration = Duration::from_secs(2);
/// Requests a second from which on a model is asked for all the time.
const BUSY: f64 = 2.0;
/// Records before the loader's own start that may still be about a load in progress: ten for each of some fifty loaders. Where
/// there are more, a loader that has just started may take a lane too many, once.
const BACK: u64 = 512;

/// What the steward asks for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Wish {
    pub(crate) model: ModelName,
    /// Requests a second that it would serve, those that wait included.
    pub(crate) worth: f64,
    /// How long the load takes alone.
    pub(crate) alone: Duration,
}

/// What the steward says.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Say {
    /// It wants this.
    Want(Wish),
    /// It wants nothing any more; how long its load took, if it was done.
    Done(Option<Duration>),
}

/// What the steward has said.
#[derive(Debug)]
enum Heard {
    Said(Say),
    /// Nothing so far.
    Nothing,
    /// There is no steward any more.
    Gone,
}

impl From<Option<Say>> for Heard {
    fn from(said: Option<Say>) -> Self {
        said.map_or(Self::Gone, Self::Said)
    }
}

/// The steward's side.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) say: mpsc::UnboundedSender<Say>,
    /// The model that may be loaded from the weight store now.
    pub(crate) granted: watch::Receiver<Option<ModelName>>,
}

/// The task behind it.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) store: Store,
    pub(crate) instance: String,
    /// The position of the record of the loader's start.
    pub(crate) start: watch::Receiver<Option<StorePosition>>,
    pub(crate) said: mpsc::UnboundedReceiver<Say>,
    pub(crate) granted: watch::Sender<Option<ModelName>>,
    /// Since when the store does not answer.
    pub(crate) away: Option<Instant>,
}

impl Waiter {
    /// Runs until the steward is gone.
    pub(crate) async fn run(mut self) {
        let (mut queue, mut next) = (Queue::default(), self.first_records().await);
        if let Ok(reached) = read(&self.store, &mut queue, next, Duration::ZERO).await {
            // Whom there is has to be known before the store is away.
            next = reached;
        }
        while let Some(said) = self.said.recv().await {
            // What was said meanwhile counts.
            let said = self.newest(said);
            let Say::Want(wish) = said else { continue };
            let done = self.wait(&mut queue, &mut next, wish).await;
            self.granted.send_replace(None);
            let end = Note::End { loader: self.instance.clone(), took: done.map(millis) };
            if let Err(error) = self.append(&end).await {
                self.away(&error);
            }
        }
    }

    /// Where the records begin that may be about loads in progress: somewhat before the loader's own start.
    async fn first_records(&mut self) -> Offset {
        let start = self.start.wait_for(Option::is_some).await.ok().and_then(|start| *start);
        Offset(start.unwrap_or_default().offset.0.saturating_sub(BACK))
    }

    /// Holds a place in the queue until the steward wants nothing any more; returns how long the load took. `next` is
    /// where the records are read on.
    async fn wait(
        &mut self,
        queue: &mut Queue,
        next: &mut Offset,
        mut wish: Wish,
    ) -> Option<Duration> {
        let since = Instant::now();
        let mut asked: Option<(Wish, Instant)> = None;
        loop {
            let stale = asked.as_ref().is_none_or(|(before, at)| {
                let grown = wish.worth > grown(before.worth);
                before.model != wish.model || grown || at.elapsed() > RENEW
            });
            let granted = self.granted.borrow().as_ref() == Some(&wish.model);
            if stale && !granted {
                let note = Note::Ask {
                    loader: self.instance.clone(),
                    model: wish.model.clone(),
                    worth: wish.worth,
                    alone: wish.alone,
                };
                match self.append(&note).await {
                    Ok(()) => {
                        self.reached();
                        asked = Some((wish.clone(), Instant::now()));
                    }
                    Err(error) => self.lost(&error, queue, &wish, since),
                }
            }
            // A store that takes no record is not asked for any.
            let unsaid = stale && self.away.is_some();
            let said = match self.listen(queue, next, &wish, since, unsaid).await {
                Heard::Said(said) => self.newest(said),
                Heard::Nothing => continue,
                Heard::Gone => return None,
            };
            match said {
                Say::Want(other) => {
                    if other.model != wish.model {
                        self.granted.send_replace(None);
                    }
                    wish = other;
                }
                Say::Done(took) => return took,
            }
        }
    }

    /// Reads the records until it is the loader's turn, and from then on only listens to the steward.
    async fn listen(
        &mut self,
        queue: &mut Queue,
        next: &mut Offset,
        wish: &Wish,
        since: Instant,
        unsaid: bool,
    ) -> Heard {
        if self.granted.borrow().is_some() {
            return self.said.recv().await.into();
        }
        let from = *next;
        tokio::select! {
            read = read(&self.store, queue, from, WAIT), if !unsaid => {
                self.judge(read, queue, next, wish, since);
            }
            said = self.said.recv() => return said.into(),
            () = std::future::ready(()), if unsaid => {}
        }
        if self.granted.borrow().is_some() {
            return Heard::Nothing;
        }
        let pace = if wish.worth >= BUSY && self.away.is_none() { PACE } else { CALM };
        match tokio::time::timeout(pace, self.said.recv()).await {
            Ok(said) => said.into(),
            Err(_) => Heard::Nothing,
        }
    }

    /// Takes note of a read: whether it is the loader's turn, or the store is away.
    fn judge(
        &mut self,
        read: Result<Offset, StoreError>,
        queue: &Queue,
        next: &mut Offset,
        wish: &Wish,
        since: Instant,
    ) {
        match read {
            Ok(reached) => {
                *next = reached;
                self.reached();
            }
            Err(error) => return self.lost(&error, queue, wish, since),
        }
        if queue.granted(&self.instance) == Some(&wish.model) {
            self.go(wish, since, true);
        }
    }

    /// Takes note of a call that failed. Without the store nothing can be agreed, and the loader goes when it would be its
    /// turn by what was read last: if all went at once, forty loads would run where one goes at full speed, and none be done.
    fn lost(&mut self, error: &StoreError, queue: &Queue, wish: &Wish, since: Instant) {
        let away = self.away(error).max(since);
        if away.elapsed() >= queue.turn(&self.instance, wish.alone) {
            self.go(wish, since, false);
        }
    }

    /// It is the loader's turn.
    fn go(&self, wish: &Wish, since: Instant, agreed: bool) {
        let (model, waited_ms) = (wish.model.as_str(), millis(since.elapsed()));
        emit(&Event::Lane { model, worth: wish.worth, waited_ms, agreed });
        self.granted.send_replace(Some(wish.model.clone()));
    }

    async fn append(&self, note: &Note) -> Result<(), StoreError> {
        let record = serde_json::to_vec(note).unwrap_or_default();
        self.store.append(TOPIC, &record).await.map(drop)
    }

    /// The last of what was said; a load that is over is not passed over.
    fn newest(&mut self, mut said: Say) -> Say {
        while !matches!(said, Say::Done(Some(_))) {
            let Ok(later) = self.said.try_recv() else { break };
            said = later;
        }
        said
    }

    /// Since when the store does not answer.
    fn away(&mut self, error: &StoreError) -> Instant {
        *self.away.get_or_insert_with(|| {
            let (dependency, cause) = (Dependency::Lanes, error.to_string());
            emit(&Event::Lost { dependency, name: "store", cause: &cause });
            Instant::now()
        })
    }

    fn reached(&mut self) {
        if let Some(since) = self.away.take() {
            let (dependency, after_ms) = (Dependency::Lanes, millis(since.elapsed()));
            emit(&Event::Regained { dependency, name: "store", after_ms });
        }
    }
}

/// Reads on and folds what is new; returns where to read next.
async fn read(
    store: &Store,
    queue: &mut Queue,
    from: Offset,
    wait: Duration,
) -> Result<Offset, StoreError> {
    let log = store.read_log(TOPIC, from, wait).await?;
    let now = Instant::now();
    match log {
        Log::Expired(first) => Ok(first),
        Log::New { records, next } => {
            for record in records {
                match serde_json::from_slice(&record) {
                    Ok(note) => queue.take(note, now),
                    // The record of a start is the name of an instance.
                    Err(_) => queue.started(&String::from_utf8_lossy(&record), now),
                }
            }
            queue.grant(now);
            Ok(next)
        }
    }
}

/// The worth from which on a loader asks anew: twice as much may change whose turn it is, and each call is paid for.
pub(crate) fn grown(worth: f64) -> f64 {
    worth * 2.0 + 1.0
}
