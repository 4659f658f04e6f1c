use std::time::Duration;

use record::KeyClaim;
use tokio::time::advance;

use super::{CLAIMS_LIMIT, Claims};
use crate::KeyOutcome;

const WINDOW: Duration = Duration::from_secs(3600);

fn claim(key: &str, request: &str) -> KeyClaim {
    KeyClaim {
        key: key.parse().expect("a right key"),
        request: request.parse().expect("a right id"),
        entry: "entry-1".parse().expect("a right id"),
        digest: "body".to_owned(),
    }
}

fn taken(by: &str) -> Option<KeyOutcome> {
    Some(KeyOutcome::Taken { by: by.parse().expect("a right id"), same: true })
}

#[tokio::test(start_paused = true)]
async fn can_win_once() {
    let mut claims = Claims::new(WINDOW);
    assert_eq!(claims.claim(&claim("a", "1")), Some(KeyOutcome::Won));
    assert_eq!(claims.claim(&claim("a", "1")), None, "a repeat decides nothing");
    assert_eq!(claims.claim(&claim("a", "2")), taken("1"));
    assert_eq!(claims.claim(&claim("b", "3")), Some(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn can_win_after_all_others_withdrew() {
    let mut claims = Claims::new(WINDOW);
    claims.claim(&claim("a", "1"));
    claims.claim(&claim("a", "2"));
    claims.withdraw(&claim("a", "1").key, &claim("a", "1").request);
    assert_eq!(claims.claim(&claim("a", "3")), taken("2"), "2 may have won where 1 had run out");
    claims.withdraw(&claim("a", "2").key, &claim("a", "2").request);
    claims.withdraw(&claim("a", "3").key, &claim("a", "3").request);
    assert_eq!(claims.claim(&claim("a", "4")), Some(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_claim_that_surfaces_after_its_withdrawal() {
    let mut claims = Claims::new(WINDOW);
    claims.withdraw(&claim("a", "1").key, &claim("a", "1").request);
    assert_eq!(claims.claim(&claim("a", "1")), None);
    assert_eq!(claims.claim(&claim("a", "2")), Some(KeyOutcome::Won));
}

#[tokio::test(start_paused = true)]
async fn can_forget_after_the_window() {
    let mut claims = Claims::new(WINDOW);
    claims.claim(&claim("a", "1"));
    advance(WINDOW).await;
    assert_eq!(claims.claim(&claim("a", "2")), taken("1"));
    advance(Duration::from_secs(1)).await;
    assert_eq!(claims.claim(&claim("a", "3")), taken("2"), "2 may have won at another process");
    advance(WINDOW + Duration::from_secs(1)).await;
    assert_eq!(claims.claim(&claim("a", "4")), Some(KeyOutcome::Won));
    assert_eq!(claims.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn errors_while_claims_of_the_window_are_missing() {
    let mut claims = Claims::new(WINDOW);
    for number in 0..CLAIMS_LIMIT {
        claims.claim(&claim(&number.to_string(), &number.to_string()));
    }
    assert!(!claims.is_partial());
    claims.claim(&claim("a", "a"));
    assert!(claims.is_partial());
    assert_eq!(claims.len(), CLAIMS_LIMIT);
    advance(WINDOW + Duration::from_secs(1)).await;
    assert!(!claims.is_partial());
    assert_eq!(claims.len(), 0);
}
