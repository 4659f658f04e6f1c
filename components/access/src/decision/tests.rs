//! Tests of access decisions.

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

/// The check of a request that arrives now, when the newest read was sent `age_ms` ago.
fn check(workspaces: &Workspaces, credential: Credential, age_ms: u64) -> AccessCheck<'_> {
    let now = Moment::now();
    let mut freshness = Freshness::default();
    freshness.record_read(now.saturating_sub(Duration::from_millis(age_ms)));
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
#[case::of_a_known_key_after_an_old_read(key("known"), 4_000, "school")]
#[case::of_a_known_key_after_a_stale_read(key("known"), 5_000, "stale")]
#[case::of_an_unknown_key(key("new"), 100, "needs a read")]
#[case::of_an_unknown_key_after_a_read(key("new"), 0, "Unknown")]
#[case::of_an_unknown_key_after_a_stale_read(key("new"), 5_000, "stale")]
#[case::without_a_key(Credential::Absent, 100, "Missing")]
#[case::without_a_key_after_a_stale_read(Credential::Absent, 9_000, "Missing")]
#[case::with_a_malformed_credential(Credential::Malformed, 100, "Malformed")]
fn decides_on_a_request(
    #[case] credential: Credential,
    #[case] age_ms: u64,
    #[case] expected: &str,
) {
    let workspaces = workspaces();
    let decision = decide_access(&check(&workspaces, credential, age_ms));
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
fn a_revoked_key_is_denied_without_another_read() {
    let workspaces = workspaces();
    let check = AccessCheck { revoked: true, ..check(&workspaces, key("old"), 100) };
    assert_eq!(decide_access(&check), AccessDecision::Denied(Denial::Revoked));
}

#[test]
fn a_route_with_anonymous_access_needs_no_key_and_no_fresh_read() {
    let workspaces = workspaces();
    let anonymous = |credential| AccessCheck {
        anonymous_allowed: true,
        ..check(&workspaces, credential, 9_000)
    };
    assert_eq!(decide_access(&anonymous(Credential::Absent)), AccessDecision::Anonymous);
    // A key that is presented on such a route is checked like any other.
    assert_eq!(decide_access(&anonymous(key("known"))), AccessDecision::Stale);
    assert_eq!(
        decide_access(&anonymous(Credential::Malformed)),
        AccessDecision::Denied(Denial::Malformed)
    );
}

#[test]
fn keys_are_not_checked_without_workspaces() {
    let workspaces = workspaces();
    let check = AccessCheck { workspaces: None, ..check(&workspaces, key("new"), 9_000) };
    assert_eq!(decide_access(&check), AccessDecision::Unmanaged);
}
