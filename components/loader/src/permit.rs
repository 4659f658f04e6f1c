//! Waits for a lane of the weight store on behalf of the steward.

use std::time::Duration;

use events::{Dependency, Event, emit, millis};
use platform::{Store, StoreError};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use units::{Era, ModelName, StorePosition};

use crate::fence::TOPIC;
use crate::queue::{Note, RENEW};
use crate::records::{AGAIN, Found, Records};

/// How long a read of the records waits for a new one.
const WAIT: Duration = Duration::from_secs(3);
/// The pause between reads for a model that callers ask for all the time: a small part of its load.
const PACE: Duration = Duration::from_millis(150);
/// The same for a model that few ask for, whose load may begin somewhat later: each call is paid for, and each record is
/// read by all that wait. With one pace for all, calls to the store were twice as many on a deployment with 53 loaders.
const CALM: Duration = Duration::from_secs(2);
/// The same for a loader that waits for no lane, while what the store has lost is written again.
const SOON: Duration = Duration::from_millis(500);
/// Requests a second from which on a model is asked for all the time.
const BUSY: f64 = 2.0;
/// Copies of the store that it comes back from are some seconds old: what was written longer ago is in them.
const COPIED: Duration = Duration::from_secs(30);

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
    /// The highest era of the store that a router has spoken of.
    pub(crate) heard: watch::Receiver<Era>,
    /// Since when the store does not answer.
    away: Option<Instant>,
    /// The highest of those eras on which the store has been asked.
    checked: Era,
    /// When what it asks for is to be written again, since the store may have lost it.
    again: Option<Instant>,
}

impl Waiter {
    pub(crate) fn new(
        store: Store,
        instance: String,
        start: watch::Receiver<Option<StorePosition>>,
        heard: watch::Receiver<Era>,
        said: mpsc::UnboundedReceiver<Say>,
        granted: watch::Sender<Option<ModelName>>,
    ) -> Self {
        let (away, checked, again) = (None, Era::default(), None);
        Self { store, instance, start, said, granted, heard, away, checked, again }
    }

    /// Runs until the steward is gone.
    pub(crate) async fn run(mut self) {
        let start = self.start.wait_for(Option::is_some).await.ok().and_then(|start| *start);
        let mut records = Records::new(self.store.clone(), start.unwrap_or_default());
        // Whom there is has to be known before the store is away.
        if let Err(error) = records.read(Duration::ZERO).await {
            log::debug!("loader: the records of others are not read yet: {error}");
        }
        let mut ended: Option<Instant> = None;
        loop {
            let restored = tokio::select! {
                said = self.said.recv() => {
                    let Some(said) = said else { return };
                    // What was said meanwhile counts.
                    if let Say::Want(wish) = self.newest(said) {
                        let done = self.wait(&mut records, wish).await;
                        self.granted.send_replace(None);
                        self.end(done.map(millis)).await;
                        ended = Some(Instant::now());
                    }
                    false
                }
                () = later_era(&mut self.heard, records.era().max(self.checked)) => {
                    self.check_era(&mut records).await
                }
                read = read_soon(&mut records), if records.settling() => self.follow(read).await,
            };
            if restored && ended.is_some_and(|at| at.elapsed() < COPIED) {
                // That it asks for nothing any more may be lost: its lane would count as taken.
                self.end(None).await;
            }
        }
    }

    /// Asks the store whether it has come back from an older copy, as a router says.
    async fn check_era(&mut self, records: &mut Records) -> bool {
        let heard = *self.heard.borrow_and_update();
        let read = records.read(Duration::ZERO).await;
        if read.is_ok() {
            self.checked = heard;
        }
        self.follow(read).await
    }

    /// Takes note of a read while the loader waits for no lane: whether the store has come back from an older copy. It reads on until
    /// all have written again what stands: who reads that only later can't tell in which order lanes were given meanwhile.
    async fn follow(&mut self, read: Result<Found, StoreError>) -> bool {
        match read {
            Ok(found) => {
                self.reached();
                found == Found::Restored
            }
            Err(error) => {
                self.away(&error);
                tokio::time::sleep(CALM).await;
                false
            }
        }
    }

    /// Writes that this loader asks for nothing any more.
    async fn end(&mut self, took: Option<u64>) {
        let end = Note::End { loader: self.instance.clone(), took };
        if let Err(error) = self.append(&end).await {
            self.away(&error);
        }
    }

    /// Holds a place in the queue until the steward wants nothing any more; returns how long the load took.
    async fn wait(&mut self, records: &mut Records, mut wish: Wish) -> Option<Duration> {
        let since = Instant::now();
        let mut asked: Option<(Wish, Instant)> = None;
        loop {
            let loading = self.granted.borrow().as_ref() == Some(&wish.model);
            let stale = asked.as_ref().is_none_or(|(before, at)| {
                let grown = wish.worth > grown(before.worth);
                before.model != wish.model || grown || at.elapsed() > RENEW
            });
            let again = self.again.is_some_and(|at| Instant::now() >= at);
            if stale && !loading || again {
                let note = Note::Ask {
                    loader: self.instance.clone(),
                    model: wish.model.clone(),
                    worth: wish.worth,
                    alone: wish.alone,
                    loading,
                };
                match self.append(&note).await {
                    Ok(()) => {
                        self.reached();
                        self.again = None;
                        asked = Some((wish.clone(), Instant::now()));
                    }
                    Err(error) if loading => {
                        self.away(&error);
                        self.again = Some(Instant::now() + CALM);
                    }
                    Err(error) => self.lost(&error, records, &wish, since),
                }
            }
            // A store that takes no record is not asked for any.
            let unsaid = stale && self.away.is_some();
            let said = match self.listen(records, &wish, since, unsaid).await {
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

    /// Reads the records until it is the loader's turn, and from then on only listens to the steward, and to routers that speak of
    /// a later era of the store.
    async fn listen(
        &mut self,
        records: &mut Records,
        wish: &Wish,
        since: Instant,
        unsaid: bool,
    ) -> Heard {
        if self.granted.borrow().is_some() {
            return self.load(records).await;
        }
        tokio::select! {
            read = records.read(WAIT), if !unsaid => self.judge(read, records, wish, since),
            said = self.said.recv() => return said.into(),
            () = std::future::ready(()), if unsaid => {}
        }
        if self.granted.borrow().is_some() {
            return Heard::Nothing;
        }
        let pace = if wish.worth >= BUSY && self.away.is_none() { PACE } else { CALM };
        tokio::select! {
            said = self.said.recv() => said.into(),
            () = tokio::time::sleep(pace) => Heard::Nothing,
            () = due(self.again) => Heard::Nothing,
        }
    }

    /// Listens while the loader has a lane.
    async fn load(&mut self, records: &mut Records) -> Heard {
        let restored = tokio::select! {
            said = self.said.recv() => return said.into(),
            () = due(self.again) => false,
            () = later_era(&mut self.heard, records.era().max(self.checked)) => {
                self.check_era(records).await
            }
            read = read_soon(records), if records.settling() => self.follow(read).await,
        };
        if restored {
            // Few have a lane, and all others have to know of it before they take one.
            self.again = Some(Instant::now() + AGAIN.mul_f64(rand::random::<f64>() / 4.0));
        }
        Heard::Nothing
    }

    /// Takes note of a read: whether it is the loader's turn, the store has come back from an older copy, or it is away.
    fn judge(
        &mut self,
        read: Result<Found, StoreError>,
        records: &Records,
        wish: &Wish,
        since: Instant,
    ) {
        match read {
            Ok(Found::News) => self.reached(),
            Ok(Found::Restored) => {
                self.reached();
                self.again = Some(Instant::now() + AGAIN.mul_f64(rand::random()));
            }
            Err(error) => return self.lost(&error, records, wish, since),
        }
        if records.queue.granted(&self.instance) == Some(&wish.model) {
            self.go(wish, since, true);
        }
    }

    /// Takes note of a call that failed. Without the store nothing can be agreed, and the loader goes when it would be its
    /// turn by what was read last: if all went at once, forty loads would run where one goes at full speed, and none be done.
    fn lost(&mut self, error: &StoreError, records: &Records, wish: &Wish, since: Instant) {
        let away = self.away(error).max(since);
        if away.elapsed() >= records.queue.turn(&self.instance, wish.alone) {
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

/// Reads on after a while: each of hundreds of loaders does, while all of them write.
async fn read_soon(records: &mut Records) -> Result<Found, StoreError> {
    tokio::time::sleep(SOON).await;
    records.read(Duration::ZERO).await
}

/// Waits until a router speaks of a later era than this one.
async fn later_era(heard: &mut watch::Receiver<Era>, known: Era) {
    if heard.wait_for(|era| *era > known).await.is_err() {
        // No router is answered any more: the loader ends.
        std::future::pending::<()>().await;
    }
}

/// Waits until a moment; without one, for ever.
async fn due(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// The worth from which on a loader asks anew: twice as much may change whose turn it is, and each call is paid for.
pub(crate) fn grown(worth: f64) -> f64 {
    worth * 2.0 + 1.0
}

#[cfg(test)]
mod tests;
