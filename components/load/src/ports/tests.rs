use std::collections::BTreeSet;

use super::{RANGE, free};

#[test]
fn can_find_ports_that_nobody_else_is_given() {
    let found = free(50).expect("so many are free");
    let ports: BTreeSet<u16> = found.iter().map(|addr| addr.port()).collect();
    assert_eq!(ports.len(), 50);
    assert!(ports.iter().all(|port| RANGE.contains(port)), "{ports:?}");
}
