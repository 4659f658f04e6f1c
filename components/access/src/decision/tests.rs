//! Tests of verdicts.

use catalog::Unit;
use rstest::rstest;

use super::*;

const BOUND: Duration = Duration::from_secs(5);

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text.as_bytes()))
}

fn workspaces() -> Workspaces {
    Workspaces::from(vec![Workspace {
        name: "school".parse().expect("a name"),
        keys: vec![KeyDigest::of(b"known")],
        priority: None,
        unit: Unit::Requests,
        limit: None,
    }])
}

/// A request that comes now; the newest read was sent so long ago.
fn check(workspaces: &Workspaces, credential: Credential, age: u64) -> AccessCheck<'_> {
    let now = Moment::now();
    let mut freshness = Freshness::default();
    freshness.record_read(now.before(Duration::from_millis(age)));
    let (arrived, revocation_bound) = (now, Some(BOUND));
    let workspaces = Some(workspaces);
    AccessCheck {
        credential,
        anonymous_allowed: false,
        workspaces,
        revoked: false,
        freshness,
        revocation_bound,
        arrived,
        now,
    }
}

#[rstest]
#[case::of_a_known_key(key("known"), 100, "school")]
#[case::of_a_known_key_on_an_old_proof(key("known"), 4_000, "school")]
#[case::of_a_known_key_without_proof(key("known"), 5_000, "stale")]
#[case::of_an_unknown_key(key("new"), 100, "needs a read")]
#[case::of_an_unknown_key_after_a_read(key("new"), 0, "Unknown")]
#[case::of_an_unknown_key_without_proof(key("new"), 5_000, "stale")]
#[case::without_a_key(Credential::Absent, 100, "Missing")]
#[case::without_a_key_and_proof(Credential::Absent, 9_000, "Missing")]
#[case::with_something_else(Credential::Malformed, 100, "Malformed")]
fn judges_a_request(#[case] credential: Credential, #[case] age: u64, #[case] expected: &str) {
    let workspaces = workspaces();
    let decision = decide_access(&check(&workspaces, credential, age));
    let actual = match decision {
        AccessDecision::Member(workspace) => workspace.name.to_string(),
        AccessDecision::Denied(denial) => format!("{denial:?}"),
        AccessDecision::Stale => "stale".to_owned(),
        AccessDecision::NeedsRead => "needs a read".to_owned(),
        AccessDecision::Unmanaged | AccessDecision::Anonymous => format!("{decision:?}"),
    };
    assert_eq!(actual, expected);
}

#[test]
fn a_key_that_was_taken_away_needs_no_read() {
    let workspaces = workspaces();
    let check = AccessCheck { revoked: true, ..check(&workspaces, key("old"), 100) };
    assert_eq!(decide_access(&check), AccessDecision::Denied(Denial::Revoked));
}

#[test]
fn an_open_route_needs_no_key_and_no_proof() {
    let workspaces = workspaces();
    let open = |credential| AccessCheck {
        anonymous_allowed: true,
        ..check(&workspaces, credential, 9_000)
    };
    assert_eq!(decide_access(&open(Credential::Absent)), AccessDecision::Anonymous);
    // A key that is shown all the same is a claim, and is not passed over.
    assert_eq!(decide_access(&open(key("known"))), AccessDecision::Stale);
    assert_eq!(
        decide_access(&open(Credential::Malformed)),
        AccessDecision::Denied(Denial::Malformed)
    );
}

#[test]
fn without_workspaces_keys_mean_nothing() {
    let workspaces = workspaces();
    let check = AccessCheck { workspaces: None, ..check(&workspaces, key("new"), 9_000) };
    assert_eq!(decide_access(&check), AccessDecision::Unmanaged);
}
