use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU32, Ordering};

use quarantine::{Crash, PartsRelease, Release};

use super::*;

/// One record of each kind, at this time.
fn records(at: UnixMillis) -> [QuarantineRecord; 4] {
    let digest = Digest::of(&[b"any"]);
    let crash = Crash {
        endpoint: "i-1".parse().expect("an id"),
        incarnation: None,
        domain: "hall".parse().expect("a name"),
        domain_endpoints: 4,
        at,
        requests: BTreeSet::from([digest]),
        parts: BTreeMap::new(),
    };
    [
        QuarantineRecord::Crash(crash),
        QuarantineRecord::Release(Release { digest, at }),
        QuarantineRecord::PartsRelease(PartsRelease { parts: BTreeMap::from([(digest, at)]) }),
        QuarantineRecord::Trial(Trial { digest, number: 1, at }),
    ]
}

/// Such records never expired: crashes pushed those of routers out, and a release cleared its request for good.
#[test]
fn records_whose_time_is_far_ahead_are_invalid() {
    let now = wall_clock();
    let is_valid = |record: &QuarantineRecord| {
        let value = serde_json::to_vec(record).expect("JSON");
        check_record(&record.key("front-1"), &value) == RecordKind::Valid
    };
    for ahead in [Duration::from_secs(120), Duration::from_secs(86_400), Duration::MAX] {
        for record in records(now.after(ahead)) {
            assert!(!is_valid(&record), "{record:?}");
        }
    }
    // The clocks of routers may differ by seconds.
    for at in [now, now.after(Duration::from_secs(20)), UnixMillis(now.0 - 3_600_000)] {
        for record in records(at) {
            assert!(is_valid(&record), "{record:?}");
        }
    }
}

/// A key that the store does not take kept all after it from being deleted.
#[tokio::test]
async fn expired_records_are_deleted_beside_one_that_can_not_be() {
    let listener = web::bind(([127, 0, 0, 1], 0).into()).await.expect("a port");
    let store = Store::new(listener.local_addr().expect("an address"));
    let appends = Arc::new(AtomicU32::new(0));
    let counter = appends.clone();
    let (_keep, never) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let handler = move |_, _| {
            counter.fetch_add(1, Ordering::Relaxed);
            async { web::json(StatusCode::OK, &serde_json::json!({"offset": 0, "endOffset": 1})) }
        };
        web::serve(listener, web::ServeOptions::default(), never, handler).await;
    });
    delete_expired(&store, vec!["x".repeat(256), "end i-1 7 front-1".to_owned()]).await;
    assert_eq!(appends.load(Ordering::Relaxed), 1);
}
