use super::*;

fn group(name: &str) -> CallerGroup {
    name.parse().expect("a caller group")
}

fn fill(limits: &Limits, class: Class, count: u32) -> Vec<Permit> {
    let settings = Settings { group_share: 1.0, ..Settings::default() };
    let permits = (0..count).map_while(|_| limits.enter(class, &group("a"), &settings).ok());
    permits.collect()
}

#[test]
fn can_shed_series_first_and_urgent_last() {
    let limits = Limits::new(100);
    let series = fill(&limits, Class::Series, 1000);
    assert_eq!(series.len(), 80);
    let interactive = fill(&limits, Class::Interactive, 1000);
    assert_eq!(interactive.len(), 10);
    let urgent = fill(&limits, Class::Urgent, 1000);
    assert_eq!(urgent.len(), 10);
}

#[test]
fn can_free_places() {
    let limits = Limits::new(100);
    drop(fill(&limits, Class::Urgent, 1000));
    assert_eq!(limits.in_flight(), 0);
    assert!(limits.lock().groups.is_empty());
}

#[test]
fn errors_on_more_than_a_groups_share() {
    let limits = Limits::new(100);
    let settings = Settings { group_share: 0.25, ..Settings::default() };
    let enter = |name| limits.enter(Class::Interactive, &group(name), &settings);
    let held: Vec<_> = (0..100).map_while(|_| enter("greedy").ok()).collect();
    assert_eq!(held.len(), 25);
    assert!(matches!(enter("greedy"), Err(Refusal::Full { .. })));
    assert!(enter("modest").is_ok());
}
