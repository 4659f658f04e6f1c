//! Tests of restarts of tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::time::Instant;

use super::*;

/// A task whose panic goes unnoticed leaves a process that looks sound and does a part of its work no more.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_goes_on() {
    let starts = Arc::new(AtomicU32::new(0));
    let (done, mut ended) = tokio::sync::mpsc::channel(1);
    let (counted, start) = (starts.clone(), Instant::now());
    spawn_restarting("test", move || {
        let number = counted.fetch_add(1, Ordering::Relaxed);
        let done = done.clone();
        async move {
            assert!(number >= 2, "panic {number}");
            let _ = done.send(()).await;
        }
    });
    ended.recv().await.expect("the task returns");
    assert_eq!(start.elapsed(), RESTART_PAUSE * 2);
    tokio::time::sleep(RESTART_PAUSE * 2).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3, "a task that has returned is not started again");
}

#[test]
fn the_message_of_a_panic_is_its_text() {
    let formatted: Box<dyn Any + Send> = Box::new("index 3".to_owned());
    assert_eq!(message(&*formatted), "index 3");
    assert_eq!(message(&"no value" as &(dyn Any + Send)), "no value");
    assert_eq!(message(&7 as &(dyn Any + Send)), "");
}
