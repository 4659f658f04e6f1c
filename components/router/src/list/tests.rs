//! Tests of what the list says, against a naive fold of the same records.

use std::collections::BTreeMap;

use proptest::prelude::*;
use units::Offset;

use super::*;

const IDS: usize = 5;

fn id(number: usize) -> EndpointId {
    format!("i-{number}").parse().expect("an id")
}

fn entry(number: usize, port: u16, stage: EndpointStage) -> Endpoint {
    Endpoint {
        id: id(number),
        incarnation: None,
        service: "app".parse().expect("a service"),
        addr: ([10, 0, 0, 1], port).into(),
        domain: "near".parse().expect("a domain"),
        slots: 6,
        stage,
        holdings: None,
    }
}

fn own_port(number: usize) -> u16 {
    u16::try_from(number).expect("a port")
}

fn seen(number: usize, stage: EndpointStage) -> EndpointChange {
    EndpointChange::Listed(Box::new(entry(number, own_port(number), stage)))
}

fn at(offset: u64) -> StorePosition {
    StorePosition { offset: Offset(offset), ..StorePosition::default() }
}

fn news(read: u64, changes: Vec<EndpointChange>) -> ListUpdate {
    ListUpdate { changes, whole: false, read: at(read) }
}

fn whole(read: u64, changes: Vec<EndpointChange>) -> ListUpdate {
    ListUpdate { whole: true, ..news(read, changes) }
}

/// What a router would use.
fn stages(known: &EndpointRegistry) -> BTreeMap<EndpointId, EndpointStage> {
    let peers = known.lock();
    peers.map.iter().map(|(id, peer)| (id.clone(), peer.endpoint.stage)).collect()
}

/// The list after so many records.
fn fold(records: &[EndpointChange]) -> BTreeMap<EndpointId, EndpointStage> {
    let mut list = BTreeMap::new();
    for record in records {
        match record {
            EndpointChange::Listed(endpoint) => list.insert(endpoint.id.clone(), endpoint.stage),
            EndpointChange::Removed(id) => list.remove(id),
        };
    }
    list
}

fn record() -> impl Strategy<Value = EndpointChange> {
    (0..IDS, 0..3).prop_map(|(number, kind)| match kind {
        0 => seen(number, EndpointStage::Ready),
        1 => seen(number, EndpointStage::Draining(None)),
        _ => EndpointChange::Removed(id(number)),
    })
}

/// What happens next to one of two routers.
#[derive(Debug, Clone)]
enum Step {
    /// It reads on, up to this part of what there is.
    Reads(bool, usize),
    /// It asks the other one.
    Asks(bool),
    /// What it read some time ago arrives only now.
    ReadsLate(bool, usize),
}

fn step() -> impl Strategy<Value = Step> {
    (any::<bool>(), 0..3, 0..30_usize).prop_map(|(router, kind, amount)| match kind {
        0 => Step::Reads(router, amount),
        1 => Step::Asks(router),
        _ => Step::ReadsLate(router, amount),
    })
}

fn read_to(known: &EndpointRegistry, records: &[EndpointChange], end: usize) {
    let from = usize::try_from(known.lock().list_position.offset.0).expect("short");
    if from <= end {
        let _ = known.apply_list(news(end as u64, records[from..end].to_vec()), None);
    }
}

proptest! {
    #[test]
    fn a_router_knows_just_the_list_at_its_position_whoever_told_it(
        records in prop::collection::vec(record(), 1..40),
        steps in prop::collection::vec(step(), 1..40)
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let _entered = runtime.enter();
        let routers = [EndpointRegistry::default(), EndpointRegistry::default()];
        for known in &routers {
            let _ = known.apply_list(whole(0, Vec::new()), None);
        }
        for step in steps {
            match step {
                Step::Reads(router, amount) => {
                    let known = &routers[usize::from(router)];
                    let from = usize::try_from(known.lock().list_position.offset.0).expect("short");
                    read_to(known, &records, (from + amount).min(records.len()));
                }
                Step::Asks(router) => {
                    let (asks, told) = (&routers[usize::from(router)], &routers[usize::from(!router)]);
                    let have = Position { read: asks.lock().list_position, ..Position::default() };
                    if let Some(snapshot) = told.snapshot_since(have) {
                        let _ = asks.apply_snapshot(snapshot);
                    }
                }
                Step::ReadsLate(router, end) => {
                    let known = &routers[usize::from(router)];
                    let read = usize::try_from(known.lock().list_position.offset.0).expect("short");
                    let end = end.min(read.saturating_sub(1));
                    let _ = known.apply_list(whole(end as u64, records[..end].to_vec()), None);
                }
            }
            for known in &routers {
                let read = usize::try_from(known.lock().list_position.offset.0).expect("short");
                prop_assert_eq!(stages(known), fold(&records[..read]));
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn what_may_only_have_lapsed_is_told_as_missing() {
    let (known, other) = (EndpointRegistry::default(), EndpointRegistry::default());
    let ready = || vec![seen(0, EndpointStage::Ready), seen(1, EndpointStage::Ready)];
    let until = Instant::now() + LAPSED_ENTRY_GRACE;
    for router in [&known, &other] {
        assert!(router.apply_list(whole(2, ready()), None).is_empty());
    }
    assert_eq!(
        known.apply_list(news(3, vec![EndpointChange::Removed(id(0))]), Some(until)),
        [id(0)]
    );
    let have = Position { read: at(2), ..Position::default() };
    let snapshot = known.snapshot_since(have).expect("it has read the list");
    assert_eq!(other.apply_snapshot(snapshot), Some(vec![id(0)]), "it is to be asked here too");
    assert!(other.missing_until(&id(0)).is_some());
    // Its entry is back.
    let _ = other.apply_list(news(4, vec![seen(0, EndpointStage::Ready)]), None);
    assert_eq!(other.missing_until(&id(0)), None);
}

#[tokio::test(start_paused = true)]
async fn a_whole_read_does_not_disturb_an_endpoint_whose_address_an_older_entry_has_too() {
    let known = EndpointRegistry::default();
    let both = || {
        vec![
            EndpointChange::Listed(Box::new(entry(9, 80, EndpointStage::Ready))),
            EndpointChange::Listed(Box::new(entry(1, 80, EndpointStage::Ready))),
        ]
    };
    let _ = known.apply_list(whole(2, both()), None);
    let (_, pool) = known.pool(&id(1)).expect("the one that wrote last");
    let _ = known.apply_list(whole(3, both()), None);
    let (_, after) = known.pool(&id(1)).expect("the one that wrote last");
    assert!(std::sync::Arc::ptr_eq(&pool, &after), "its connections stay");
    assert!(known.pool(&id(9)).is_none());
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_is_back_is_not_missing_also_if_it_tells_of_an_earlier_life() {
    let known = EndpointRegistry::default();
    let until = Instant::now() + LAPSED_ENTRY_GRACE;
    let _ = known.apply_list(whole(1, vec![seen(0, EndpointStage::Ready)]), None);
    let _ = known.apply_list(news(2, vec![EndpointChange::Removed(id(0))]), Some(until));
    known.lock().map.get_mut(&id(0)).expect("known").endpoint.incarnation =
        Some(units::EndpointIncarnation(200));
    let entry = Endpoint {
        incarnation: Some(units::EndpointIncarnation(100)),
        ..entry(0, 0, EndpointStage::Ready)
    };
    let _ = known.apply_list(news(3, vec![EndpointChange::Listed(Box::new(entry))]), None);
    assert_eq!(known.missing_until(&id(0)), None);
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_lapsed_and_came_back_within_one_read_is_there() {
    let known = EndpointRegistry::default();
    let until = Instant::now() + LAPSED_ENTRY_GRACE;
    let _ = known.apply_list(whole(1, vec![seen(0, EndpointStage::Ready)]), None);
    let back = vec![EndpointChange::Removed(id(0)), seen(0, EndpointStage::Ready)];
    for until in [None, Some(until)] {
        assert!(known.apply_list(news(3, back.clone()), until).is_empty());
        assert_eq!(stages(&known), BTreeMap::from([(id(0), EndpointStage::Ready)]));
    }
}
