//! Tests of applying the list of endpoints, against a simple fold of the same records.

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
        software: None,
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

fn listed(number: usize, stage: EndpointStage) -> EndpointChange {
    EndpointChange::Listed(Box::new(entry(number, own_port(number), stage)))
}

fn at(offset: u64) -> StorePosition {
    StorePosition { offset: Offset(offset), ..StorePosition::default() }
}

fn update(read: u64, changes: Vec<EndpointChange>) -> ListUpdate {
    ListUpdate {
        changes,
        complete: false,
        position: at(read),
        sent: Instant::now(),
        continued: false,
    }
}

fn whole(read: u64, changes: Vec<EndpointChange>) -> ListUpdate {
    ListUpdate { complete: true, ..update(read, changes) }
}

/// The endpoints that a router knows, with their stages.
fn stages(registry: &EndpointRegistry) -> BTreeMap<EndpointId, EndpointStage> {
    let table = registry.lock();
    table.map.iter().map(|(id, tracked)| (id.clone(), tracked.endpoint.stage)).collect()
}

/// The list after these records.
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
        0 => listed(number, EndpointStage::Ready),
        1 => listed(number, EndpointStage::Draining(None)),
        _ => EndpointChange::Removed(id(number)),
    })
}

/// The next step of one of two routers.
#[derive(Debug, Clone)]
enum Step {
    /// The router reads up to this many more records.
    Read(bool, usize),
    /// The router gets a snapshot from the other one.
    FetchSnapshot(bool),
    /// An earlier read of the whole list, up to this record, arrives only now.
    DelayedRead(bool, usize),
}

fn step() -> impl Strategy<Value = Step> {
    (any::<bool>(), 0..3, 0..30_usize).prop_map(|(router, kind, amount)| match kind {
        0 => Step::Read(router, amount),
        1 => Step::FetchSnapshot(router),
        _ => Step::DelayedRead(router, amount),
    })
}

fn read_to(registry: &EndpointRegistry, records: &[EndpointChange], end: usize) {
    let from = usize::try_from(registry.lock().list_position.offset.0).expect("short");
    if from <= end {
        let _ = registry.apply_list(update(end as u64, records[from..end].to_vec()), None);
    }
}

proptest! {
    #[test]
    fn a_router_knows_exactly_the_list_at_its_position_by_reads_and_snapshots(
        records in prop::collection::vec(record(), 1..40),
        steps in prop::collection::vec(step(), 1..40)
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let _entered = runtime.enter();
        let routers = [EndpointRegistry::default(), EndpointRegistry::default()];
        let begun = Instant::now();
        for registry in &routers {
            let _ = registry.apply_list(whole(0, Vec::new()), None);
        }
        for step in steps {
            match step {
                Step::Read(router, amount) => {
                    let registry = &routers[usize::from(router)];
                    let from = usize::try_from(registry.lock().list_position.offset.0).expect("short");
                    read_to(registry, &records, (from + amount).min(records.len()));
                }
                Step::FetchSnapshot(router) => {
                    let (receiver, sender) = (&routers[usize::from(router)], &routers[usize::from(!router)]);
                    let have = Position { read: receiver.lock().list_position, ..Position::default() };
                    if let Some(snapshot) = sender.snapshot_since(have) {
                        let _ = receiver.apply_snapshot(snapshot);
                    }
                }
                Step::DelayedRead(router, end) => {
                    let registry = &routers[usize::from(router)];
                    let read = usize::try_from(registry.lock().list_position.offset.0).expect("short");
                    let end = end.min(read.saturating_sub(1));
                    let delayed = ListUpdate { sent: begun, ..whole(end as u64, records[..end].to_vec()) };
                    let _ = registry.apply_list(delayed, None);
                }
            }
            for registry in &routers {
                let read = usize::try_from(registry.lock().list_position.offset.0).expect("short");
                prop_assert_eq!(stages(registry), fold(&records[..read]));
            }
        }
    }
}

/// The store told a wrong end once, or another router did: each later read was taken for an older one, for good.
#[tokio::test(start_paused = true)]
async fn a_wrong_position_is_replaced_by_that_of_a_whole_read_that_was_sent_later() {
    let ready = |number| vec![listed(number, EndpointStage::Ready)];
    let far = StorePosition { era: units::Era(7), offset: Offset(1 << 60) };
    let mut from_router = snapshot(100, 1 << 60, "");
    from_router.read = far;
    let wrong: [&dyn Fn(&EndpointRegistry); 2] = [
        &|registry| {
            drop(registry.apply_list(ListUpdate { position: far, ..whole(0, ready(1)) }, None))
        },
        &|registry| assert!(registry.apply_snapshot(from_router.clone()).is_some()),
    ];
    for set_wrong in wrong {
        let registry = EndpointRegistry::default();
        let under_way = whole(5, ready(0));
        tokio::time::advance(Duration::from_millis(1)).await;
        set_wrong(&registry);
        tokio::time::advance(Duration::from_millis(1)).await;
        let known = BTreeMap::from([(id(1), EndpointStage::Ready)]);
        assert!(!registry.has_wrong_position(at(5), under_way.sent));
        let _ = registry.apply_list(under_way, None);
        assert_eq!(stages(&registry), known, "the read was under way");
        let continued = update(6, ready(2));
        assert!(registry.has_wrong_position(at(6), continued.sent));
        let _ = registry.apply_list(continued, None);
        assert_eq!(stages(&registry), known, "these records continue another list");
        let _ = registry.apply_list(whole(6, ready(3)), None);
        assert_eq!(stages(&registry), BTreeMap::from([(id(3), EndpointStage::Ready)]));
        assert_eq!(registry.lock().list_position, at(6));
    }
}

/// The list that another router told while a read failed between two pages gave way to what the read had found before that.
#[tokio::test(start_paused = true)]
async fn a_read_that_is_continued_does_not_replace_a_later_list() {
    let registry = EndpointRegistry::default();
    assert!(registry.apply_snapshot(snapshot(2, 9, "")).is_some());
    let known = stages(&registry);
    tokio::time::advance(Duration::from_millis(1)).await;
    let older = vec![listed(3, EndpointStage::Ready)];
    let _ = registry.apply_list(ListUpdate { continued: true, ..whole(5, older) }, None);
    assert_eq!((stages(&registry), registry.lock().list_position), (known, at(9)));
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_may_only_have_lapsed_is_missing_at_other_routers_too() {
    let (registry, other) = (EndpointRegistry::default(), EndpointRegistry::default());
    let ready = || vec![listed(0, EndpointStage::Ready), listed(1, EndpointStage::Ready)];
    let until = Instant::now() + LAPSED_ENTRY_GRACE;
    for router in [&registry, &other] {
        assert!(router.apply_list(whole(2, ready()), None).is_empty());
    }
    assert_eq!(
        registry.apply_list(update(3, vec![EndpointChange::Removed(id(0))]), Some(until)),
        [id(0)]
    );
    let have = Position { read: at(2), ..Position::default() };
    let snapshot = registry.snapshot_since(have).expect("it has read the list");
    assert_eq!(
        other.apply_snapshot(snapshot),
        Some(vec![id(0)]),
        "its health is to be checked here too"
    );
    assert!(other.missing_until(&id(0)).is_some());
    // The entry has come back.
    let _ = other.apply_list(update(4, vec![listed(0, EndpointStage::Ready)]), None);
    assert_eq!(other.missing_until(&id(0)), None);
}

#[tokio::test(start_paused = true)]
async fn a_whole_read_keeps_the_connections_of_an_endpoint_whose_address_an_older_entry_has_too() {
    let registry = EndpointRegistry::default();
    let both = || {
        vec![
            EndpointChange::Listed(Box::new(entry(9, 80, EndpointStage::Ready))),
            EndpointChange::Listed(Box::new(entry(1, 80, EndpointStage::Ready))),
        ]
    };
    let _ = registry.apply_list(whole(2, both()), None);
    let (_, pool) = registry.pool(&id(1)).expect("the endpoint that wrote last");
    let _ = registry.apply_list(whole(3, both()), None);
    let (_, after) = registry.pool(&id(1)).expect("the endpoint that wrote last");
    assert!(std::sync::Arc::ptr_eq(&pool, &after), "its connections stay");
    assert!(registry.pool(&id(9)).is_none());
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_came_back_is_not_missing_even_if_it_shows_an_earlier_incarnation() {
    let registry = EndpointRegistry::default();
    let until = Instant::now() + LAPSED_ENTRY_GRACE;
    let _ = registry.apply_list(whole(1, vec![listed(0, EndpointStage::Ready)]), None);
    let _ = registry.apply_list(update(2, vec![EndpointChange::Removed(id(0))]), Some(until));
    registry.lock().map.get_mut(&id(0)).expect("known").endpoint.incarnation =
        Some(units::EndpointIncarnation(200));
    let entry = Endpoint {
        incarnation: Some(units::EndpointIncarnation(100)),
        ..entry(0, 0, EndpointStage::Ready)
    };
    let _ = registry.apply_list(update(3, vec![EndpointChange::Listed(Box::new(entry))]), None);
    assert_eq!(registry.missing_until(&id(0)), None);
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_whose_entry_lapsed_and_came_back_within_one_read_stays_known() {
    let registry = EndpointRegistry::default();
    let until = Instant::now() + LAPSED_ENTRY_GRACE;
    let _ = registry.apply_list(whole(1, vec![listed(0, EndpointStage::Ready)]), None);
    let back = vec![EndpointChange::Removed(id(0)), listed(0, EndpointStage::Ready)];
    for until in [None, Some(until)] {
        assert!(registry.apply_list(update(3, back.clone()), until).is_empty());
        assert_eq!(stages(&registry), BTreeMap::from([(id(0), EndpointStage::Ready)]));
    }
}

/// A snapshot with one endpoint in this incarnation, as a router sends it; `field` is empty in the release that knows no versions.
fn snapshot(life: u64, read: u64, field: &str) -> Snapshot {
    let text = format!(
        r#"{{"catalog":null,"endpoints":[{{"id":"i-1","life":{life},{field}"service":"app","addr":"10.0.0.1:1",
            "domain":"near","slots":6,"stage":"Ready","holdings":null}}],"read":{{"era":0,"offset":{read}}}}}"#
    );
    serde_json::from_str(&text).expect("a snapshot")
}

fn software(registry: &EndpointRegistry) -> Option<String> {
    let table = registry.lock();
    table.map[&id(1)].endpoint.software.as_ref().map(ToString::to_string)
}

/// Guards against streams that go on at any version, or nowhere, while routers of two releases run.
#[tokio::test(start_paused = true)]
async fn a_router_of_the_release_before_takes_no_known_version_away_and_brings_none_of_another_start()
 {
    let registry = EndpointRegistry::default();
    assert!(registry.apply_snapshot(snapshot(100, 3, r#""software":"v1","#)).is_some());
    assert_eq!(software(&registry).as_deref(), Some("v1"));
    assert!(registry.apply_snapshot(snapshot(100, 4, "")).is_some());
    assert_eq!(software(&registry).as_deref(), Some("v1"), "the same incarnation");
    assert!(registry.apply_snapshot(snapshot(200, 5, "")).is_some());
    assert_eq!(software(&registry), None, "a new incarnation");
    let mut renewed = entry(1, own_port(1), EndpointStage::Ready);
    renewed.incarnation = Some(units::EndpointIncarnation(200));
    renewed.software = Some("v2".parse().expect("a version"));
    let _ = registry.apply_list(update(6, vec![EndpointChange::Listed(Box::new(renewed))]), None);
    assert_eq!(software(&registry).as_deref(), Some("v2"), "its entry, read from the store");
}

/// The endpoint's clock was set back between its incarnations, and callers who took streams up that began at the new one were refused
/// for good.
#[tokio::test(start_paused = true)]
async fn the_software_of_an_incarnation_with_an_earlier_start_may_still_be_listed() {
    let registry = EndpointRegistry::default();
    assert!(registry.apply_snapshot(snapshot(100, 3, r#""software":"v1","#)).is_some());
    let origin = |incarnation: Option<u64>| origin::StreamOrigin {
        service: "app".parse().expect("a service"),
        software: None,
        endpoint: id(1),
        incarnation: incarnation.map(units::EndpointIncarnation),
        confirmed: true,
        needs: origin::StreamNeeds::Model,
        begun: Instant::now(),
    };
    let may_list = |incarnation| registry.lock().may_list_software(&origin(incarnation));
    assert!(may_list(Some(50)) && may_list(Some(200)));
    assert!(!may_list(None));
    assert!(registry.apply_snapshot(snapshot(50, 4, "")).is_some());
    assert!(may_list(Some(50)), "the entry of an earlier release names no version");
    assert!(!may_list(Some(100)), "it has ended");
}
