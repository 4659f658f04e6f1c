//! The weight store.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{LIMIT, any, fault, truth};
use standin::{Fetch, Running, Store, StoreFault, StoreSettings, StoreTruth};
use tokio::time::timeout;
use units::{Rate, Size};
use web::{CallError, Client};

/// Settings under which a fetch of 1 MiB takes about 10 ms.
async fn start(rate: f64) -> Running {
    let bandwidth = Size::mib(100);
    let settings = StoreSettings { rate: Rate(rate), full: 1, bandwidth, size: Size::mib(1) };
    Store::start(any(), settings).await.expect("it starts")
}

async fn fetch(addr: SocketAddr, name: &str, urgent: bool) -> Result<(), CallError> {
    let fetch = Fetch { artifact: common::model(name), urgent, size: None };
    let done = Client::default().post(addr, "/v1/fetch", &fetch, LIMIT).await;
    done.map(|_: serde_json::Value| ())
}

async fn waiting(addr: SocketAddr, count: u32) {
    let search = async {
        while truth::<StoreTruth>(addr).await.waiting != count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(LIMIT, search).await.expect("so many come to wait");
}

#[tokio::test]
async fn can_start_the_urgent_first() {
    let store = start(10.0).await;
    let addr = store.addr;
    fetch(addr, "first", false).await.expect("it is fetched");
    let series = tokio::spawn(fetch(addr, "series", false));
    waiting(addr, 1).await;
    let urgent = tokio::spawn(fetch(addr, "urgent", true));
    urgent.await.expect("no panic").expect("it is fetched");
    series.await.expect("no panic").expect("it is fetched");
    let truth: StoreTruth = truth(addr).await;
    let names: Vec<&str> = truth.fetches.iter().map(|one| one.artifact.as_str()).collect();
    assert_eq!(names, ["first", "urgent", "series"]);
}

#[tokio::test]
async fn can_be_down_and_come_back() {
    let store = start(1000.0).await;
    fault(store.addr, &StoreFault::Outage).await;
    assert!(fetch(store.addr, "a", true).await.is_err());
    fault(store.addr, &StoreFault::None).await;
    fetch(store.addr, "a", true).await.expect("it is fetched");
    assert_eq!(truth::<StoreTruth>(store.addr).await.fetches.len(), 1);
}
