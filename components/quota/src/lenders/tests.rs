//! Tests of whom to ask.

use super::*;

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8_144).into()
}

fn domain(name: &str) -> Domain {
    name.parse().expect("a name")
}

#[test]
fn asks_the_same_failure_domain_first_and_more_each_time() {
    let all = (0..10).map(|n| (addr(n), domain(if n < 7 { "far" } else { "near" })));
    let mut number = 0;
    let key = || {
        number += 1;
        number
    };
    let mut lenders = Lenders::new(all, &domain("near"), key);
    assert_eq!(lenders.next_wave(), [addr(7)]);
    assert_eq!(lenders.next_wave().len(), 2);
    assert_eq!(lenders.next_wave().len(), 4);
    assert_eq!(lenders.next_wave().len(), 3);
    assert_eq!(lenders.next_wave().len(), 0);
}

#[test]
fn a_few_that_have_nothing_mean_that_nobody_has() {
    assert!(!is_dry(1, 1_000.0, 0.0));
    assert!(is_dry(3, 1_000.0, 20.0));
    assert!(!is_dry(3, 1_000.0, 300.0));
}
