//! The rules of the planner lease.

mod common;

use common::{Log, claim, decide, gone, void};
use record::Body;
use state::{Verdict, Void};
use units::{Epoch, Offset};

#[test]
fn can_claim_a_free_lease() {
    let mut log = Log::default();
    assert!(log.put("entry-1", claim(0)).is_done());
    let lease = log.state.lease();
    assert_eq!((lease.epoch, lease.renewed), (Epoch(1), Offset(1)));
    assert_eq!(lease.holder.as_ref().map(|h| h.as_str()), Some("entry-1"));
}

#[test]
fn errors_on_the_second_of_two_racing_claims() {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    let lost = log.put("entry-2", claim(0));
    assert_eq!(void(&lost), &Void::Epoch { named: Epoch(0), current: Epoch(1) });
    assert_eq!(log.state.lease().epoch, Epoch(1));
}

#[test]
fn can_take_over_from_a_paused_holder_whose_records_are_then_void() {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    assert!(log.put("entry-2", claim(1)).is_done());
    let stale = Void::Epoch { named: Epoch(1), current: Epoch(2) };
    for body in [Body::Renew { epoch: Epoch(1) }, Body::Resign { epoch: Epoch(1) }] {
        assert_eq!(void(&log.put("entry-1", body)), &stale);
    }
    let decided = log.put("entry-1", decide(1, vec![gone("a", 1), gone("b", 1)]));
    assert_eq!(decided.verdicts, vec![Verdict::Void(stale.clone()), Verdict::Void(stale)]);
    assert_eq!(log.state.lease().epoch, Epoch(2));
}

#[test]
fn can_see_that_the_holder_renews() {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    assert!(log.put("entry-1", Body::Renew { epoch: Epoch(1) }).is_done());
    assert_eq!(log.state.lease().renewed, Offset(2));
}

#[test]
fn errors_on_records_of_an_epoch_after_its_holder_resigned() {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    assert!(log.put("entry-1", Body::Resign { epoch: Epoch(1) }).is_done());
    assert_eq!((log.state.lease().epoch, &log.state.lease().holder), (Epoch(1), &None));
    let resigned = Void::Resigned { epoch: Epoch(1) };
    assert_eq!(void(&log.put("entry-1", Body::Renew { epoch: Epoch(1) })), &resigned);
    assert_eq!(void(&log.put("entry-1", Body::Resign { epoch: Epoch(1) })), &resigned);
    assert_eq!(void(&log.put("entry-1", decide(1, vec![gone("a", 1)]))), &resigned);
}

#[test]
fn can_claim_at_once_after_the_holder_resigned() {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    log.put("entry-1", Body::Resign { epoch: Epoch(1) });
    assert!(log.put("entry-2", claim(1)).is_done());
    assert_eq!(log.state.lease().epoch, Epoch(3));
}
