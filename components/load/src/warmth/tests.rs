use std::collections::BTreeMap;
use std::time::Duration;

use tree::Class;

use super::{Hold, Warmth};
use crate::evidence::{Call, Ending};

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn call(at: u64, first: u64) -> Call {
    Call {
        at: secs(at),
        first: Some(secs(first)),
        done: secs(first),
        deadline: secs(30),
        class: Class::Urgent,
        target: "page-text:urdu".to_owned(),
        entry: "entry-1".to_owned(),
        request: None,
        key: None,
        status: 200,
        ending: Ending::Served,
        own: true,
        text: String::new(),
    }
}

fn warmth() -> Warmth {
    let hold = |ready, gone| Hold { ready: secs(ready), gone: secs(gone) };
    let holds = BTreeMap::from([("page-text".to_owned(), vec![hold(5, 20), hold(34, 50)])]);
    Warmth { holds, ..Warmth::default() }
}

#[test]
fn can_tell_cold_from_warm() {
    assert!(warmth().is_cold(&call(4, 6)));
    assert!(!warmth().is_cold(&call(5, 6)));
    assert!(warmth().is_cold(&call(20, 40)));
}

#[test]
fn can_count_one_cold_start_for_a_burst() {
    let calls = [call(1, 7), call(2, 6), call(3, 8), call(10, 11), call(30, 35)];
    assert_eq!(warmth().cold_starts(&calls), [secs(5), secs(5)]);
}
