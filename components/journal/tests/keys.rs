//! Idempotency keys: one winner, whatever happens to the log's answers.

use std::sync::Arc;
use std::time::Duration;

use edge::Stream;
use fake::Log;
use journal::{ClaimError, KeyOutcome, Keys};
use record::KeyClaim;
use tokio::time::{sleep, timeout};
use units::Offset;

const WINDOW: Duration = Duration::from_secs(3600);
const LIMIT: Duration = Duration::from_secs(5);

fn claim(key: &str, request: &str) -> KeyClaim {
    KeyClaim {
        key: key.parse().expect("a right key"),
        request: request.parse().expect("a right id"),
        entry: "entry-1".parse().expect("a right id"),
        digest: "body".to_owned(),
    }
}

fn taken(by: &str) -> Result<KeyOutcome, ClaimError> {
    Ok(KeyOutcome::Taken { by: by.parse().expect("a right id"), same: true })
}

async fn pass(seconds: u64) {
    sleep(Duration::from_secs(seconds)).await;
}

async fn started(log: &Log) -> Keys {
    let keys = Keys::start(Arc::new(log.clone()), WINDOW);
    pass(1).await;
    keys
}

#[tokio::test(start_paused = true)]
async fn can_claim_many_keys_with_few_appends() {
    let log = Log::default();
    let keys = started(&log).await;
    let claims = (0..300).map(|number| {
        let keys = keys.clone();
        let claim = claim(&format!("k{number}"), &format!("r{number}"));
        tokio::spawn(async move { keys.claim(claim, LIMIT).await })
    });
    let claims: Vec<_> = claims.collect();
    for claim in claims {
        assert_eq!(claim.await.expect("the task ended"), Ok(KeyOutcome::Won));
    }
    assert!(log.counters().appends <= 3, "{:?}", log.counters());
}

#[tokio::test(start_paused = true)]
async fn can_win_at_one_of_two_entries() {
    let log = Log::default();
    let (a, b) = (started(&log).await, started(&log).await);
    let (first, second) =
        tokio::join!(a.claim(claim("k", "r1"), LIMIT), b.claim(claim("k", "r2"), LIMIT));
    let won = [&first, &second].iter().filter(|found| ***found == Ok(KeyOutcome::Won)).count();
    assert_eq!(won, 1, "{first:?} {second:?}");
    let appends = log.counters().appends;
    assert!(a.claim(claim("k", "r3"), LIMIT).await.is_ok_and(|found| found != KeyOutcome::Won));
    assert_eq!(log.counters().appends, appends, "what is known to be taken needs no append");
    let mut other = claim("k", "r4");
    other.digest = "another body".to_owned();
    let found = b.claim(other, LIMIT).await;
    assert!(matches!(found, Ok(KeyOutcome::Taken { same: false, .. })), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn can_win_although_answers_are_lost() {
    let log = Log::default();
    let keys = started(&log).await;
    log.set(|faults| faults.lost = 2);
    assert_eq!(keys.claim(claim("k", "r1"), LIMIT).await, Ok(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn errors_before_the_window_is_read() {
    let log = Log::default();
    log.set(|faults| faults.outage = true);
    let keys = started(&log).await;
    assert_eq!(keys.claim(claim("k", "r1"), LIMIT).await, Err(ClaimError::NotReady));
    log.set(|faults| faults.outage = false);
    pass(5).await;
    assert_eq!(keys.claim(claim("k", "r1"), LIMIT).await, Ok(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn errors_during_an_outage_and_withdraws_afterwards() {
    let log = Log::default();
    let keys = started(&log).await;
    log.set(|faults| faults.late = Some(Duration::from_secs(60)));
    let undecided = Err(ClaimError::Undecided { limit: LIMIT });
    assert_eq!(keys.claim(claim("k", "r1"), LIMIT).await, undecided);
    log.set(|faults| faults.late = None);
    pass(100).await;
    let again = keys.claim(claim("k", "r2"), LIMIT).await;
    assert_eq!(
        again,
        Ok(KeyOutcome::Won),
        "the late claim never runs, so it must not hold the key"
    );
}

#[tokio::test(start_paused = true)]
async fn errors_at_once_when_the_log_is_known_to_be_down() {
    let log = Log::default();
    let keys = started(&log).await;
    log.set(|faults| faults.outage = true);
    pass(5).await;
    let found = timeout(Duration::from_millis(1), keys.claim(claim("k", "r1"), LIMIT)).await;
    let limit = Duration::ZERO;
    assert_eq!(found.expect("it does not wait"), Err(ClaimError::Undecided { limit }));
    assert_eq!(log.counters().appends, 0);
}

#[tokio::test(start_paused = true)]
async fn can_withdraw_a_claim_whose_caller_went_away() {
    let log = Log::default();
    let keys = started(&log).await;
    log.set(|faults| faults.delay = Duration::from_secs(2));
    let given_up = timeout(Duration::from_secs(1), keys.claim(claim("k", "r1"), LIMIT)).await;
    assert!(given_up.is_err());
    pass(30).await;
    assert_eq!(keys.claim(claim("k", "r2"), 4 * LIMIT).await, Ok(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn can_give_back_a_key_whose_request_did_not_run() {
    let log = Log::default();
    let (a, b) = (started(&log).await, started(&log).await);
    let held = claim("k", "r1");
    assert_eq!(a.claim(held.clone(), LIMIT).await, Ok(KeyOutcome::Won));
    pass(1).await;
    assert_eq!(b.claim(claim("k", "r2"), LIMIT).await, taken("r1"));
    a.withdraw(&held);
    pass(1).await;
    assert_eq!(b.claim(claim("k", "r3"), LIMIT).await, Ok(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_second_claim_of_a_request_and_keeps_the_first() {
    let log = Log::default();
    let keys = started(&log).await;
    assert_eq!(keys.claim(claim("k", "r1"), LIMIT).await, Ok(KeyOutcome::Won));
    assert!(keys.claim(claim("k", "r1"), LIMIT).await.is_err());
    pass(60).await;
    assert_eq!(keys.claim(claim("k", "r2"), LIMIT).await, taken("r1"));
}

#[tokio::test(start_paused = true)]
async fn can_remember_for_the_window_after_all_entries_were_replaced() {
    let log = Log::default();
    let keys = started(&log).await;
    assert_eq!(keys.claim(claim("k", "r1"), LIMIT).await, Ok(KeyOutcome::Won));
    drop(keys);
    let keys = started(&log).await;
    assert_eq!(keys.claim(claim("k", "r2"), LIMIT).await, taken("r1"));
    pass(2 * WINDOW.as_secs()).await;
    assert_eq!(keys.claim(claim("k", "r3"), LIMIT).await, Ok(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn errors_when_the_log_drops_claims_within_the_window() {
    let log = Log::default();
    let (a, b) = (started(&log).await, started(&log).await);
    log.set(|faults| faults.outage = true);
    pass(5).await;
    log.put(Stream::Keys, "{}");
    log.put(Stream::Keys, "{}");
    log.expire(Stream::Keys, Offset(3));
    log.set(|faults| faults.outage = false);
    pass(5).await;
    assert_eq!(a.claim(claim("k", "r1"), LIMIT).await, Err(ClaimError::Partial));
    pass(2 * WINDOW.as_secs()).await;
    assert_eq!(b.claim(claim("k", "r2"), LIMIT).await, Ok(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn errors_when_the_log_has_lost_claims() {
    let log = Log::default();
    let keys = started(&log).await;
    assert_eq!(keys.claim(claim("k", "r1"), LIMIT).await, Ok(KeyOutcome::Won));
    log.wipe(Stream::Keys);
    pass(30).await;
    assert!(keys.claim(claim("k", "r2"), LIMIT).await.is_err());
}
