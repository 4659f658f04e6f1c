//! Tests of which entry holds the planner lease when processes crash, pause, race or lose the log.

mod common;

use std::time::Duration;

use common::{
    Agents, Entry, LEASE, MAX_TAKEOVER, Site, add, add_branch, epoch, publish, sleep_secs,
    take_holder,
};
use edge::Stream;
use record::{Body, Record};
use rstest::rstest;
use state::State;

/// Starts entries and waits until one holds the lease.
async fn entries(site: &Site, count: usize) -> Vec<Entry> {
    let entries: Vec<Entry> = (1..=count).map(|number| site.entry(number)).collect();
    site.until("a holder", |state| state.lease().holder.is_some()).await;
    entries
}

#[tokio::test(start_paused = true)]
async fn one_of_several_entries_that_start_together_is_elected() {
    let site = Site::default();
    let _entries = entries(&site, 4).await;
    sleep_secs(60).await;
    let history = site.history();
    assert_eq!(history.elected, 1);
    assert!(history.claims <= 4, "{} claims", history.claims);
    assert!((30..=40).contains(&history.renewals), "{} renewals", history.renewals);
}

#[tokio::test(start_paused = true)]
async fn another_entry_takes_over_from_a_dead_planner() {
    let site = Site::default();
    let mut entries = entries(&site, 4).await;
    let agents = Agents::start(&site, 4).await;
    sleep_secs(10).await;
    let before = site.state();
    take_holder(&mut entries, &before).kill();
    let took = site.until("another holder", |state| epoch(state) > epoch(&before)).await;
    assert!(took >= LEASE / 2 && took < MAX_TAKEOVER, "{took:?}");
    publish(&agents.journal, "e1", [add_branch(), vec![add("m")]].concat()).await;
    let took = site.until("a grant", |state| state.grants().count() == 1).await;
    assert!(took < Duration::from_secs(2), "{took:?}");
    assert_eq!(site.history().elected, 2);
}

#[tokio::test(start_paused = true)]
async fn another_entry_takes_over_at_once_from_a_planner_that_shuts_down() {
    let site = Site::default();
    let mut entries = entries(&site, 4).await;
    sleep_secs(10).await;
    let before = site.state();
    take_holder(&mut entries, &before).shut_down().await;
    let took = site.until("another holder", |state| epoch(state) > epoch(&before)).await;
    assert!(took < LEASE, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_entry_does_not_take_its_old_epoch_for_its_own() {
    let site = Site::default();
    let mut entries = entries(&site, 1).await;
    sleep_secs(10).await;
    let before = site.state();
    take_holder(&mut entries, &before).kill();
    let again = site.entry(1);
    let took = site.until("a new epoch", |state| epoch(state) > epoch(&before)).await;
    assert!(took >= LEASE && took < MAX_TAKEOVER, "{took:?}");
    assert!(again.is_holder(&site.state()));
}

#[tokio::test(start_paused = true)]
async fn decisions_of_a_holder_that_was_paused_are_void() {
    let site = Site::default();
    let mut entries = entries(&site, 3).await;
    let agents = Agents::start(&site, 4).await;
    sleep_secs(10).await;
    let before = site.state();
    let paused = take_holder(&mut entries, &before);
    // The holder still reads the edit and decides about it, but its append hangs.
    paused.gate.shut_appends(true);
    publish(&agents.journal, "e1", [add_branch(), vec![add("m")]].concat()).await;
    sleep_secs(1).await;
    paused.gate.shut_reads(true);
    let took = site.until("another holder", |state| epoch(state) > epoch(&before)).await;
    assert!(took < MAX_TAKEOVER, "{took:?}");
    site.until("a grant", |state| state.grants().count() == 1).await;
    let granted = site.history().grants;
    paused.gate.shut_appends(false);
    sleep_secs(3).await;
    paused.gate.shut_reads(false);
    sleep_secs(30).await;
    let history = site.history();
    assert!(history.void > 0, "the old decision did not arrive or was not void");
    assert_eq!(history.grants, granted);
    assert_eq!(history.elected, 2);
    assert!(!paused.is_holder(&history.state));
}

#[tokio::test(start_paused = true)]
async fn the_holder_keeps_the_lease_through_an_outage_without_claims_by_others() {
    let site = Site::default();
    let entries = entries(&site, 8).await;
    let agents = Agents::start(&site, 4).await;
    sleep_secs(10).await;
    let before = site.history();
    site.log.set(|faults| faults.outage = true);
    sleep_secs(120).await;
    assert_eq!(site.log.counters().records, before.state.offset().0);
    site.log.set(|faults| faults.outage = false);
    let back = site.log.counters().appends;
    sleep_secs(60).await;
    let after = site.history();
    assert_eq!(after.claims, before.claims);
    assert_eq!(epoch(&after.state), epoch(&before.state));
    let appends = site.log.counters().appends - back;
    assert!(appends <= 45, "{appends} appends in the minute after the outage");
    publish(&agents.journal, "e1", [add_branch(), vec![add("m")]].concat()).await;
    site.until("a grant", |state| state.grants().count() == 1).await;
    assert_eq!(entries.len(), 8);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_decided_while_the_log_is_down() {
    let site = Site::default();
    let _entries = entries(&site, 4).await;
    let agents = Agents::start(&site, 8).await;
    publish(&agents.journal, "e1", [add_branch(), vec![add("m")]].concat()).await;
    site.until("a grant", |state| state.grants().count() == 1).await;
    sleep_secs(10).await;
    site.log.set(|faults| faults.outage = true);
    sleep_secs(10).await;
    let asked = site.log.counters().appends;
    agents.lose(0..2);
    sleep_secs(60).await;
    assert_eq!(site.log.counters().appends, asked, "an entry tried to append");
    site.log.set(|faults| faults.outage = false);
    site.until("two members less", |state| state.members().count() == 6).await;
}

#[tokio::test(start_paused = true)]
async fn planning_stops_at_a_record_that_needs_a_newer_program() {
    let site = Site::default();
    let _entries = entries(&site, 4).await;
    sleep_secs(10).await;
    let claim = Body::Claim { previous: epoch(&site.state()) };
    let name = "entry-9".parse().expect("an instance");
    let record = Record::new("new".to_owned(), name, 0, site.state().offset(), claim);
    let record = Record { needs: record::FORMAT_VERSION + 1, ..record };
    site.log.put(Stream::Control, serde_json::to_vec(&record).expect("text"));
    sleep_secs(1).await;
    let asked = site.log.counters().appends;
    sleep_secs(60).await;
    assert_eq!(site.log.counters().appends, asked, "an entry tried to claim or renew");
}

#[tokio::test(start_paused = true)]
async fn few_claims_replace_a_holder_that_died_in_an_outage() {
    let site = Site::default();
    let mut entries = entries(&site, 8).await;
    sleep_secs(10).await;
    let before = site.history();
    site.log.set(|faults| faults.outage = true);
    sleep_secs(60).await;
    take_holder(&mut entries, &before.state).kill();
    sleep_secs(60).await;
    site.log.set(|faults| faults.outage = false);
    let took = site.until("another holder", |state| epoch(state) > epoch(&before.state)).await;
    assert!(took >= LEASE, "{took:?}");
    assert!(took < MAX_TAKEOVER + Duration::from_secs(3), "{took:?}");
    sleep_secs(60).await;
    let after = site.history();
    assert_eq!(after.elected, before.elected + 1);
    assert!(after.claims <= before.claims + 3, "{} claims", after.claims - before.claims);
}

/// A record or the return of the log wakes all entries at the same time, so only the jitter separates their claims. It
/// must do so for any names, for any number of entries, and at any time between two renewals at which the holder dies.
#[rstest]
#[case::eight(8)]
#[case::twelve(12)]
#[tokio::test(start_paused = true)]
async fn few_claims_replace_a_holder_with_any_names_at_any_time(#[case] count: usize) {
    for round in 0..24_u32 {
        let site = Site::default();
        let first = 100 * (round as usize + 1);
        let mut entries: Vec<Entry> =
            (first..first + count).map(|number| site.entry(number)).collect();
        site.until("a holder", |state| state.lease().holder.is_some()).await;
        tokio::time::sleep(Duration::from_millis(10_000 + u64::from(round) * 137)).await;
        let outage = round % 2 == 0;
        site.log.set(|faults| faults.outage = outage);
        tokio::time::sleep(Duration::from_millis(u64::from(round) * 71)).await;
        let before = site.history();
        take_holder(&mut entries, &before.state).kill();
        sleep_secs(u64::from(round % 5)).await;
        site.log.set(|faults| faults.outage = false);
        site.until("another holder", |state| epoch(state) > epoch(&before.state)).await;
        sleep_secs(60).await;
        let after = site.history();
        assert_eq!(after.elected, before.elected + 1, "round {round}");
        let claims = after.claims - before.claims;
        assert!(claims <= 3, "round {round}: {claims} claims of {count} entries");
    }
}

#[tokio::test(start_paused = true)]
async fn one_claim_takes_effect_although_answers_are_lost() {
    let site = Site::default();
    site.log.set(|faults| faults.lost = 3);
    let _entries = entries(&site, 4).await;
    sleep_secs(60).await;
    let history = site.history();
    assert_eq!(history.elected, 1);
    assert!(history.claims <= 8, "{} claims", history.claims);
}

#[tokio::test(start_paused = true)]
async fn only_one_process_writes_snapshots() {
    let site = Site::default();
    let entries = entries(&site, 4).await;
    sleep_secs(2 * 3600).await;
    let history = site.history();
    // The first snapshot is due after 2000 records, mostly renewals, the others every quarter of an hour.
    assert!((4..=6).contains(&history.snapshots), "{} snapshots", history.snapshots);
    let offsets: Vec<_> = entries.iter().map(|e| e.journal.read(State::offset)).collect();
    assert!(offsets.iter().all(|offset| *offset == history.state.offset()));
}
