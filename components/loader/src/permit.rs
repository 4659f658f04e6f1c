//! Gets permits to load from the weight store on behalf of the controller.

use std::time::Duration;

use events::{Dependency, Event, emit, millis};
use platform::{Store, StoreError};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use units::{Era, ModelName, SoftwareVersion, StorePosition};

use crate::fence::TOPIC;
use crate::queue::{PermitRecord, RENEW_INTERVAL};
use crate::records::{REWRITE_WINDOW, ReadOutcome, Records};

/// How long a read of the records waits for a new one.
const READ_WAIT: Duration = Duration::from_secs(3);
/// The pause between reads for a model in high demand: a small part of the time of its load.
const HIGH_DEMAND_READ_PAUSE: Duration = Duration::from_millis(150);
/// The pause between reads for other models, whose loads may begin somewhat later: each call to the store is paid for,
/// and each record is read by all loaders that wait. Without the longer pause, 53 loaders make twice as many calls.
/// Also the pause after a call that failed.
const READ_PAUSE: Duration = Duration::from_secs(2);
/// The pause between reads by a loader that needs no permit, while lost records are being appended again.
const SETTLING_READ_PAUSE: Duration = Duration::from_millis(500);
/// The demand from which on a model counts as in high demand, in requests a second.
const HIGH_DEMAND: f64 = 2.0;
/// The copies from which the store is restored are some seconds old: records appended longer ago than this are in them.
const RESTORE_LOSS_WINDOW: Duration = Duration::from_secs(30);

/// A request of the controller for a permit.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PermitRequest {
    pub(crate) model: ModelName,
    /// Requests a second that the model would serve, plus the number of requests that wait for it.
    pub(crate) demand: f64,
    /// How long the load takes alone.
    pub(crate) solo_time: Duration,
    /// The version of the endpoint's software, if endpoints of no other version may serve requests that wait.
    pub(crate) software: Option<SoftwareVersion>,
}

/// A command of the controller.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum PermitCommand {
    /// Get a permit; this replaces an earlier request.
    Request(PermitRequest),
    /// Release the permit or withdraw the request; with the time of the load, if one was completed.
    Release(Option<Duration>),
}

/// The outcome of waiting for a command.
#[derive(Debug)]
enum Received {
    Command(PermitCommand),
    NoCommand,
    /// The controller is gone.
    Closed,
}

impl From<Option<PermitCommand>> for Received {
    fn from(command: Option<PermitCommand>) -> Self {
        command.map_or(Self::Closed, Self::Command)
    }
}

/// The controller's side.
#[derive(Debug)]
pub(crate) struct PermitHandle {
    pub(crate) commands: mpsc::UnboundedSender<PermitCommand>,
    /// The model that may be loaded from the weight store now.
    pub(crate) granted: watch::Receiver<Option<ModelName>>,
}

/// The task that gets the permits.
#[derive(Debug)]
pub(crate) struct PermitTask {
    pub(crate) store: Store,
    pub(crate) instance: String,
    /// The position of the loader's start record.
    pub(crate) start: watch::Receiver<Option<StorePosition>>,
    pub(crate) commands: mpsc::UnboundedReceiver<PermitCommand>,
    pub(crate) granted: watch::Sender<Option<ModelName>>,
    /// The highest era of the store that a router has reported.
    pub(crate) highest_era: watch::Receiver<Era>,
    /// Since when the store has been unreachable.
    unreachable_since: Option<Instant>,
    /// The highest reported era after which the store has been read.
    checked_era: Era,
    /// When to append the request again, since the store may have lost it.
    rewrite_at: Option<Instant>,
}

impl PermitTask {
    pub(crate) fn new(
        store: Store,
        instance: String,
        start: watch::Receiver<Option<StorePosition>>,
        highest_era: watch::Receiver<Era>,
        commands: mpsc::UnboundedReceiver<PermitCommand>,
        granted: watch::Sender<Option<ModelName>>,
    ) -> Self {
        let (unreachable_since, checked_era, rewrite_at) = (None, Era::default(), None);
        Self {
            store,
            instance,
            start,
            commands,
            granted,
            highest_era,
            unreachable_since,
            checked_era,
            rewrite_at,
        }
    }

    /// Runs until the controller is gone.
    pub(crate) async fn run(mut self) {
        let start = self.start.wait_for(Option::is_some).await.ok().and_then(|start| *start);
        let mut records = Records::new(self.store.clone(), start.unwrap_or_default());
        // The other loaders have to be known before the store becomes unreachable.
        if let Err(error) = records.read(Duration::ZERO).await {
            log::debug!("loader: initial read of the other loaders' records failed: {error}");
        }
        let mut released: Option<Instant> = None;
        loop {
            let restored = tokio::select! {
                command = self.commands.recv() => {
                    let Some(command) = command else { return };
                    // Commands that arrived meanwhile replace this one.
                    if let PermitCommand::Request(request) = self.latest_command(command) {
                        let took = self.process_request(&mut records, request).await;
                        self.granted.send_replace(None);
                        self.append_release(took.map(millis)).await;
                        released = Some(Instant::now());
                    }
                    false
                }
                () = wait_for_later_era(&mut self.highest_era, records.era().max(self.checked_era)) => {
                    self.check_era(&mut records).await
                }
                read = read_after_pause(&mut records), if records.is_settling() => self.handle_idle_read(read).await
            };
            if restored && released.is_some_and(|at| at.elapsed() < RESTORE_LOSS_WINDOW) {
                // The release record may be lost; without it the loader's permit would count as taken.
                self.append_release(None).await;
            }
        }
    }

    /// Reads the records to find out whether the store was restored from an older copy, after a router has reported a
    /// later era; returns whether it was.
    async fn check_era(&mut self, records: &mut Records) -> bool {
        let era = *self.highest_era.borrow_and_update();
        let read = records.read(Duration::ZERO).await;
        if read.is_ok() {
            self.checked_era = era;
        }
        self.handle_idle_read(read).await
    }

    /// Handles a read by a loader that isn't waiting for a permit; returns whether the store was restored from an older
    /// copy. After a restore such a loader, too, reads until all loaders have appended their records again: with a
    /// later read it couldn't tell in which order permits were granted meanwhile.
    async fn handle_idle_read(&mut self, read: Result<ReadOutcome, StoreError>) -> bool {
        match read {
            Ok(outcome) => {
                self.mark_reachable();
                outcome == ReadOutcome::Restored
            }
            Err(error) => {
                self.mark_unreachable(&error);
                tokio::time::sleep(READ_PAUSE).await;
                false
            }
        }
    }

    async fn append_release(&mut self, took_ms: Option<u64>) {
        let release = PermitRecord::Release { loader: self.instance.clone(), took_ms };
        if let Err(error) = self.append(&release).await {
            self.mark_unreachable(&error);
        }
    }

    /// Waits for a permit and holds it, until the controller releases it; returns how long the load took.
    async fn process_request(
        &mut self,
        records: &mut Records,
        mut request: PermitRequest,
    ) -> Option<Duration> {
        let since = Instant::now();
        let mut appended: Option<(PermitRequest, Instant)> = None;
        loop {
            let loading = self.granted.borrow().as_ref() == Some(&request.model);
            let outdated = appended.as_ref().is_none_or(|(before, at)| {
                let grown = request.demand > renewal_threshold(before.demand);
                let other = before.model != request.model || before.software != request.software;
                other || grown || at.elapsed() > RENEW_INTERVAL
            });
            let rewrite = self.rewrite_at.is_some_and(|at| Instant::now() >= at);
            if outdated && !loading || rewrite {
                let record = PermitRecord::Request {
                    loader: self.instance.clone(),
                    model: request.model.clone(),
                    demand: request.demand,
                    solo_time: request.solo_time,
                    software: request.software.clone(),
                    loading,
                };
                match self.append(&record).await {
                    Ok(()) => {
                        self.mark_reachable();
                        self.rewrite_at = None;
                        appended = Some((request.clone(), Instant::now()));
                    }
                    Err(error) if loading => {
                        self.mark_unreachable(&error);
                        self.rewrite_at = Some(Instant::now() + READ_PAUSE);
                    }
                    Err(error) => self.handle_store_error(&error, records, &request, since),
                }
            }
            // A store that accepts no records isn't read either.
            let skip_read = outdated && self.unreachable_since.is_some();
            let command = match self.next_command(records, &request, since, skip_read).await {
                Received::Command(command) => self.latest_command(command),
                Received::NoCommand => continue,
                Received::Closed => return None,
            };
            match command {
                PermitCommand::Request(other) => {
                    if other.model != request.model {
                        self.granted.send_replace(None);
                    }
                    request = other;
                }
                PermitCommand::Release(took) => return took,
            }
        }
    }

    /// Reads the records until the loader has a permit. After that, only waits for commands of the controller and for
    /// routers that report a later era of the store.
    async fn next_command(
        &mut self,
        records: &mut Records,
        request: &PermitRequest,
        since: Instant,
        skip_read: bool,
    ) -> Received {
        if self.granted.borrow().is_some() {
            return self.hold_permit(records).await;
        }
        tokio::select! {
            read = records.read(READ_WAIT), if !skip_read => self.handle_read(read, records, request, since),
            command = self.commands.recv() => return command.into(),
            () = std::future::ready(()), if skip_read => {}
        }
        if self.granted.borrow().is_some() {
            return Received::NoCommand;
        }
        let pause = if request.demand >= HIGH_DEMAND && self.unreachable_since.is_none() {
            HIGH_DEMAND_READ_PAUSE
        } else {
            READ_PAUSE
        };
        tokio::select! {
            command = self.commands.recv() => command.into(),
            () = tokio::time::sleep(pause) => Received::NoCommand,
            () = sleep_until(self.rewrite_at) => Received::NoCommand
        }
    }

    /// Waits for the next command while the loader has a permit.
    async fn hold_permit(&mut self, records: &mut Records) -> Received {
        let restored = tokio::select! {
            command = self.commands.recv() => return command.into(),
            () = sleep_until(self.rewrite_at) => false,
            () = wait_for_later_era(&mut self.highest_era, records.era().max(self.checked_era)) => {
                self.check_era(records).await
            }
            read = read_after_pause(records), if records.is_settling() => self.handle_idle_read(read).await
        };
        if restored {
            // Few loaders have a permit, and all others have to know of it before they take one, so these use only the
            // first quarter of the window.
            self.rewrite_at =
                Some(Instant::now() + REWRITE_WINDOW.mul_f64(rand::random::<f64>() / 4.0));
        }
        Received::NoCommand
    }

    /// Handles a read by a loader that waits for a permit: the permit may be granted, the store restored from an older
    /// copy or unreachable.
    fn handle_read(
        &mut self,
        read: Result<ReadOutcome, StoreError>,
        records: &Records,
        request: &PermitRequest,
        since: Instant,
    ) {
        match read {
            Ok(ReadOutcome::Current) => self.mark_reachable(),
            Ok(ReadOutcome::Restored) => {
                self.mark_reachable();
                self.rewrite_at = Some(Instant::now() + REWRITE_WINDOW.mul_f64(rand::random()));
            }
            Err(error) => return self.handle_store_error(&error, records, request, since),
        }
        if records.queue.granted(&self.instance) == Some(&request.model) {
            self.grant(request, since, true);
        }
    }

    /// Handles a call that failed while the loader waits for a permit. Without the store the loaders can't agree, so
    /// each loader begins its load when its turn would come by the records read last. If all began at once, forty loads
    /// would run where the store serves one at full speed, and none would complete in time.
    fn handle_store_error(
        &mut self,
        error: &StoreError,
        records: &Records,
        request: &PermitRequest,
        since: Instant,
    ) {
        let waiting_since = self.mark_unreachable(error).max(since);
        if waiting_since.elapsed() >= records.queue.offline_delay(&self.instance, request.solo_time)
        {
            self.grant(request, since, false);
        }
    }

    /// Lets the controller load the model; `agreed` tells whether the store's records grant the permit.
    fn grant(&self, request: &PermitRequest, since: Instant, agreed: bool) {
        let (model, waited_ms) = (request.model.as_str(), millis(since.elapsed()));
        emit(&Event::LoadPermit { model, worth: request.demand, waited_ms, agreed });
        self.granted.send_replace(Some(request.model.clone()));
    }

    async fn append(&self, record: &PermitRecord) -> Result<(), StoreError> {
        let bytes = serde_json::to_vec(record).unwrap_or_default();
        self.store.append(TOPIC, &bytes, Duration::ZERO).await.map(drop)
    }

    /// The newest of the commands that have arrived; the release after a completed load is not skipped.
    fn latest_command(&mut self, mut command: PermitCommand) -> PermitCommand {
        while !matches!(command, PermitCommand::Release(Some(_))) {
            let Ok(later) = self.commands.try_recv() else { break };
            command = later;
        }
        command
    }

    /// Notes a failed call; returns since when the store has been unreachable.
    fn mark_unreachable(&mut self, error: &StoreError) -> Instant {
        *self.unreachable_since.get_or_insert_with(|| {
            let (dependency, cause) = (Dependency::LoadPermits, error.to_string());
            emit(&Event::DependencyLost { dependency, name: "store", cause: &cause });
            Instant::now()
        })
    }

    fn mark_reachable(&mut self) {
        if let Some(since) = self.unreachable_since.take() {
            let (dependency, after_ms) = (Dependency::LoadPermits, millis(since.elapsed()));
            emit(&Event::DependencyRegained { dependency, name: "store", after_ms });
        }
    }
}

/// Reads the records after a pause, since each of hundreds of loaders reads while all of them append.
async fn read_after_pause(records: &mut Records) -> Result<ReadOutcome, StoreError> {
    tokio::time::sleep(SETTLING_READ_PAUSE).await;
    records.read(Duration::ZERO).await
}

/// Waits until a router reports a later era than `known`.
async fn wait_for_later_era(highest_era: &mut watch::Receiver<Era>, known: Era) {
    if highest_era.wait_for(|era| *era > known).await.is_err() {
        // The API for routers is gone: the loader is shutting down.
        std::future::pending::<()>().await;
    }
}

/// Waits until `at`, or forever without one.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// The demand above which a loader renews its request at once: a demand that has doubled may change the order of the
/// loaders, and each call is paid for.
pub(crate) fn renewal_threshold(demand: f64) -> f64 {
    demand * 2.0 + 1.0
}

#[cfg(test)]
mod tests;
