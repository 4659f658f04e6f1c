use std::time::Duration;

use super::{Usage, parse};

const STAT: &str = "7 (hyssop agent) x) S 1 7 7 0 -1 4194560 900 0 0 0 150 50 0 0 20 0 14 0 1 2 3";
const STATUS: &str = "Name:\thyssop-agent\nVmRSS:\t   10000 kB\nThreads:\t14\n";

#[test]
fn can_read_a_process() {
    let usage = Usage { busy: Duration::from_secs(2), resident: 10.24, threads: 14 };
    assert_eq!(parse(STAT, STATUS), Some(usage));
}

#[test]
fn errors_on_a_process_that_has_ended() {
    assert_eq!(parse("", ""), None);
    assert_eq!(parse(STAT, "Name:\thyssop-agent\n"), None);
}
