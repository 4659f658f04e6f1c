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
fn lookup(workspaces: &Workspaces, credential: Credential, age: u64) -> Lookup<'_> {
    let now = Moment::now();
    let mut proof = Proof::default();
    proof.extend(now.before(Duration::from_millis(age)));
    let (arrived, bound) = (now, Some(BOUND));
    let workspaces = Some(workspaces);
    Lookup { credential, open: false, workspaces, revoked: false, proof, bound, arrived, now }
}

#[rstest]
#[case::of_a_known_key(key("known"), 100, "school")]
#[case::of_a_known_key_on_an_old_proof(key("known"), 4_000, "school")]
#[case::of_a_known_key_without_proof(key("known"), 5_000, "unproved")]
#[case::of_an_unknown_key(key("new"), 100, "unread")]
#[case::of_an_unknown_key_after_a_read(key("new"), 0, "Unknown")]
#[case::of_an_unknown_key_without_proof(key("new"), 5_000, "unproved")]
#[case::without_a_key(Credential::Absent, 100, "Missing")]
#[case::without_a_key_and_proof(Credential::Absent, 9_000, "Missing")]
#[case::with_something_else(Credential::Malformed, 100, "Malformed")]
fn judges_a_request(#[case] credential: Credential, #[case] age: u64, #[case] expected: &str) {
    let workspaces = workspaces();
    let verdict = judge(&lookup(&workspaces, credential, age));
    let told = match verdict {
        Verdict::Member(workspace) => workspace.name.to_string(),
        Verdict::Denied(denial) => format!("{denial:?}"),
        Verdict::Unproved => "unproved".to_owned(),
        Verdict::Unread => "unread".to_owned(),
        Verdict::Unmanaged | Verdict::Anonymous => format!("{verdict:?}"),
    };
    assert_eq!(told, expected);
}

#[test]
fn a_key_that_was_taken_away_needs_no_read() {
    let workspaces = workspaces();
    let lookup = Lookup { revoked: true, ..lookup(&workspaces, key("old"), 100) };
    assert_eq!(judge(&lookup), Verdict::Denied(Denial::Revoked));
}

#[test]
fn an_open_route_needs_no_key_and_no_proof() {
    let workspaces = workspaces();
    let open = |credential| Lookup { open: true, ..lookup(&workspaces, credential, 9_000) };
    assert_eq!(judge(&open(Credential::Absent)), Verdict::Anonymous);
    // A key that is shown all the same is a claim, and is not passed over.
    assert_eq!(judge(&open(key("known"))), Verdict::Unproved);
    assert_eq!(judge(&open(Credential::Malformed)), Verdict::Denied(Denial::Malformed));
}

#[test]
fn without_workspaces_keys_mean_nothing() {
    let workspaces = workspaces();
    let lookup = Lookup { workspaces: None, ..lookup(&workspaces, key("new"), 9_000) };
    assert_eq!(judge(&lookup), Verdict::Unmanaged);
}
