use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn artifact() -> ModelName {
    "page-text@v1".parse().expect("a model name")
}

fn event(seq: u64, prefix: u32, change: CacheChange) -> CacheEvent {
    let prefix = PrefixHash(u64::from(prefix) << 32);
    CacheEvent { seq, artifact: artifact(), prefix, change }
}

/// Takes `+` for each stored and `-` for each evicted prefix, with its number.
fn tell(caches: &mut Caches, from: u64, changes: &[(char, u32)]) {
    let numbered = (from..).zip(changes);
    let events = numbered.map(|(seq, &(sign, prefix))| {
        event(seq, prefix, if sign == '+' { CacheChange::Stored } else { CacheChange::Evicted })
    });
    let events: Vec<CacheEvent> = events.collect();
    caches.take(&CacheEvents { next: from + changes.len() as u64, events });
}

fn has(caches: &Caches, prefix: u32) -> bool {
    caches.has(&artifact(), PrefixHash(u64::from(prefix) << 32))
}

#[test]
fn can_follow_an_engine_that_evicts() {
    let mut caches = Caches::default();
    caches.begin(Incarnation(3));
    tell(&mut caches, 7, &[('+', 1), ('+', 2), ('-', 1)]);
    assert!(!has(&caches, 1) && has(&caches, 2));
    let news = caches.news(&artifact(), SECOND).expect("news");
    assert_eq!((news.epoch, news.upto, news.gaps), ((3 << EPOCH_BITS) + 1, 3, 0));
    assert_eq!(String::from(news.changes), "+00000001+00000002-00000001");
    caches.forget(&artifact());
    assert_eq!(caches.news(&artifact(), SECOND), None);
    tell(&mut caches, 10, &[('-', 2), ('+', 5)]);
    let news = caches.news(&artifact(), SECOND).expect("news");
    assert_eq!((news.epoch, news.upto), ((3 << EPOCH_BITS) + 2, 1), "a new life of the cache");
}

#[test]
fn can_doubt_what_it_knew_before_a_gap_and_forget_it_after_a_crash() {
    let mut caches = Caches::default();
    tell(&mut caches, 1, &[('+', 1), ('+', 2)]);
    tell(&mut caches, 4, &[('+', 4)]);
    assert!(!has(&caches, 1) && has(&caches, 4));
    let news = caches.news(&artifact(), SECOND).expect("news");
    assert_eq!((news.upto, news.gaps, news.changes.0.len()), (3, 1, 1));
    // A gap at the end of the answer shows in the number to read from next.
    caches.take(&CacheEvents { next: 9, events: Vec::new() });
    assert!(!has(&caches, 4));
    tell(&mut caches, 1, &[('+', 6)]);
    let news = caches.news(&artifact(), SECOND).expect("news");
    assert_eq!((news.upto, news.gaps), (1, 0), "the engine has begun again");
}

#[test]
fn can_stay_bounded_and_repeat_all_it_knows_in_turn() {
    let mut caches = Caches::default();
    let many: Vec<(char, u32)> = (0..3 * KNOWN as u32).map(|prefix| ('+', prefix)).collect();
    tell(&mut caches, 1, &many);
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..KNOWN {
        let news = caches.news(&artifact(), SECOND).expect("news");
        assert!((news.changes.0.len(), news.cached.0.len()) == (TOLD, REPEATED));
        assert!(serde_json::to_string(&news).expect("JSON").len() < 220);
        told.extend(news.cached.0.iter().chain(&news.changes.0).map(|change| change.prefix));
    }
    assert_eq!(told.len(), KNOWN);
    assert!(told.iter().all(|&prefix| has(&caches, prefix)));
}

#[test]
fn can_learn_what_a_cached_prefix_saves() {
    let mut caches = Caches::default();
    tell(&mut caches, 1, &[('+', 1)]);
    caches.note_first(&artifact(), false, SECOND);
    assert_eq!(caches.news(&artifact(), 4 * SECOND).expect("news").saved, 0);
    caches.note_first(&artifact(), true, SECOND / 2);
    assert_eq!(caches.news(&artifact(), 4 * SECOND).expect("news").saved, 125);
}
