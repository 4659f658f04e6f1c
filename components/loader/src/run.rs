//! Starts a loader.

use std::sync::Arc;

use control::{Load, State};
use fleet::Holdings;
use platform::Store;
use process::{Phase, Single, StartError};
use tokio::sync::{Notify, mpsc, watch};
use units::{Era, Revision};
use web::ServeOptions;

use crate::controller::{Steward, Token};
use crate::permit::{Lane, Waiter};
use crate::router_api::Desk;
use crate::{Settings, fence};

/// Commands that wait for the steward while an order is given.
const COMMANDS: usize = 256;

/// Runs until the process is asked to end.
pub async fn run(process: Single<Settings>) -> Result<(), StartError> {
    let settings = process.settings.borrow().clone();
    let listener = web::bind(settings.listen).await.map_err(StartError::new)?;
    if let Some(addr) = settings.metrics {
        process::serve_metrics(addr).await?;
    }
    let (commands, inbox) = mpsc::channel(COMMANDS);
    let (state, news) = watch::channel(State {
        version: 1,
        endpoint: None,
        life: None,
        holdings: Holdings::default(),
        load: Load::default(),
        room: std::time::Duration::ZERO,
        able: false,
        draining: false,
        engine: Revision(0),
    });
    let (sender, start) = watch::channel(None);
    let instance = settings.instance.to_string();
    let fenced = Arc::new(Notify::new());
    let store = Store::new(settings.store);
    tokio::spawn(fence::keep(store.clone(), instance.clone(), sender, fenced.clone()));
    let (say, said) = mpsc::unbounded_channel();
    let (granted, grants) = watch::channel(None);
    let (heard, eras) = watch::channel(Era::default());
    let waiter = Waiter::new(store, instance.clone(), start.clone(), eras, said, granted);
    tokio::spawn(waiter.run());
    let token = Token { start, fenced };
    let lane = Lane { say, granted: grants };
    let steward = Steward::new(instance, settings.endpoint, token, lane, inbox, state);
    let steward = tokio::spawn(steward.run());
    let desk = Desk { commands, state: news, heard };
    let stop = process.shutdown.flag(Phase::Drain);
    let handler = move |request, _| desk.clone().answer(request);
    tokio::select! {
        () = web::serve(listener, ServeOptions::default(), stop, handler) => {}
        _ = steward => {}
        () = process.shutdown.reached(Phase::Drain) => {}
    }
    Ok(())
}
