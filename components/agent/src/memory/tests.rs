use edge::{Inventory, Loaded, ReplicaPhase};
use units::{Incarnation, ModelName, Size};

use super::{Ledger, Short};

fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

fn inventory(loaded: &[(&str, Size)]) -> Inventory {
    let loaded = loaded.iter().map(|(artifact, memory)| Loaded {
        artifact: name(artifact),
        phase: ReplicaPhase::Ready,
        memory: *memory,
        adapters: Vec::new(),
    });
    Inventory {
        version: 1,
        memory: Size::gib(16),
        fence: Incarnation(1),
        loaded: loaded.collect(),
        cached: Vec::new(),
        failed: Vec::new(),
    }
}

#[test]
fn errors_on_overcommitting() {
    let mut ledger = Ledger::new(Size::gib(16));
    assert_eq!(ledger.reserve(&name("a"), Size::gib(10)), Ok(()));
    let short = ledger.reserve(&name("b"), Size::gib(10));
    assert_eq!(short, Err(Short { missing: Size::gib(4) }));
    assert_eq!(ledger.taken(), Size::gib(10));
}

#[test]
fn counts_what_the_inventory_shows_and_nobody_reserved() {
    let mut ledger = Ledger::new(Size::gib(16));
    ledger.show(&inventory(&[("old", Size::gib(10))]));
    let short = ledger.reserve(&name("b"), Size::gib(8));
    assert_eq!(short, Err(Short { missing: Size::gib(2) }));
    ledger.show(&inventory(&[]));
    assert_eq!(ledger.reserve(&name("b"), Size::gib(8)), short, "it is not confirmed gone yet");
    ledger.free_all(&name("old"));
    assert_eq!(ledger.reserve(&name("b"), Size::gib(8)), Ok(()));
}

#[test]
fn keeps_a_reservation_that_the_inventory_does_not_show_yet() {
    let mut ledger = Ledger::new(Size::gib(16));
    assert_eq!(ledger.reserve(&name("a"), Size::gib(10)), Ok(()));
    ledger.show(&inventory(&[]));
    assert_eq!(ledger.taken(), Size::gib(10));
    ledger.free_all(&name("a"));
    assert_eq!(ledger.taken(), Size(0));
}

#[test]
fn adds_adapters_to_what_is_shown() {
    let mut ledger = Ledger::new(Size::gib(16));
    assert_eq!(ledger.reserve(&name("a"), Size::gib(4)), Ok(()));
    ledger.show(&inventory(&[("a", Size::gib(6))]));
    assert_eq!(ledger.of(&name("a")), Size::gib(6));
    assert_eq!(ledger.reserve(&name("a"), Size::gib(3)), Ok(()));
    assert_eq!(ledger.of(&name("a")), Size::gib(9));
    let short = ledger.reserve(&name("b"), Size::gib(8));
    assert_eq!(short, Err(Short { missing: Size::gib(1) }));
    ledger.free(&name("a"), Size::gib(3));
    assert_eq!(ledger.of(&name("a")), Size::gib(6));
}
