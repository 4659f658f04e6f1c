//! Parts of prompts that crash endpoints, as one router learns of the crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use quarantine::{
    Crash, CrashTable, Digest, Fingerprint, PartsRelease, QuarantineRecord, Release, SuspectKind,
    SuspicionLevel, Trial, UnixMillis,
};
use units::EndpointIncarnation;

/// The Unix time in milliseconds at which each test starts.
const START_MS: u64 = 1_790_000_000_000;
/// By this long after a crash it counts against parts.
const SETTLED: u64 = 2_000;
/// The part that crashes endpoints in most tests.
const CRASHING: &str = "bad0c0de";
/// A part that all prompts have.
const COMMON: &str = "5c1e07a2";

fn at(ms: u64) -> UnixMillis {
    UnixMillis(START_MS + ms)
}

/// A request of a caller, whose prompt has these parts besides its own.
fn request(name: u32, caller: &str, parts: &[&str]) -> Fingerprint {
    let digest = Digest::of(&[caller.as_bytes(), &name.to_be_bytes()]);
    Fingerprint::new(digest, Digest::of(&[caller.as_bytes()]), parts.iter().copied())
}

/// A crash of an endpoint that ran these requests.
fn crash(endpoint: u32, ms: u64, requests: &[Fingerprint]) -> QuarantineRecord {
    let mut parts: BTreeMap<Digest, BTreeSet<Digest>> = BTreeMap::new();
    for request in requests {
        for part in &request.parts {
            parts.entry(part.digest).or_default().insert(request.caller);
        }
    }
    QuarantineRecord::Crash(Crash {
        endpoint: format!("i-{endpoint}").parse().expect("an id"),
        incarnation: Some(EndpointIncarnation(1)),
        domain: format!("hall-{}", endpoint % 4).parse().expect("a name"),
        domain_endpoints: 8,
        at: at(ms),
        requests: requests.iter().map(|request| request.request).collect(),
        parts,
    })
}

/// A crash at each of these times of an endpoint that ran a request with these parts, and a bystander.
fn crashes(times: &[u64], parts: &[&str]) -> Vec<QuarantineRecord> {
    let crash_at = |(number, ms): (u32, &u64)| {
        let bystander = request(1_000 + number, "b", &[&format!("e{number}")]);
        crash(number, *ms, &[request(number, "a", parts), bystander])
    };
    (0..).zip(times).map(crash_at).collect()
}

/// A table that learns of each crash when it happens.
fn table(records: &[QuarantineRecord]) -> CrashTable {
    let mut table = CrashTable::default();
    for record in records {
        table.apply([record], record.at());
    }
    table
}

/// Requests with these parts of this caller ran well that had begun at this time.
fn run_well(table: &mut CrashTable, caller: &str, parts: &[&str], ms: u64) {
    let digests = request(0, caller, parts).parts.into_iter().map(|part| part.digest);
    let cleared = digests.filter(|part| table.record_success(*part, at(ms)));
    let release = PartsRelease { parts: cleared.map(|part| (part, at(ms))).collect() };
    if !release.parts.is_empty() {
        table.apply(&[QuarantineRecord::PartsRelease(release)], at(ms + 500));
    }
}

/// Whether a new request of a caller with these parts is refused at this time.
fn is_refused(table: &mut CrashTable, caller: &str, parts: &[&str], ms: u64) -> bool {
    if table.review_due(at(ms)) {
        table.review(at(ms));
    }
    let new = request(999_999, caller, parts);
    matches!(table.suspicion(&new), SuspicionLevel::Suspect(_))
}

#[test]
fn a_part_at_three_crashes_is_refused_and_the_parts_beside_it_are_not() {
    let mut table = table(&crashes(&[0, 900, 1_800], &[COMMON, CRASHING, "91bd3f06"]));
    run_well(&mut table, "b", &[COMMON, "91bd3f06"], 2_000);
    table.apply(&[crash(9, 2_500, &[request(9, "c", &[CRASHING])])], at(2_500));
    let now = 2_500 + SETTLED;
    assert!(is_refused(&mut table, "a", &[COMMON, CRASHING, "91bd3f06"], now));
    assert!(is_refused(&mut table, "b", &[CRASHING], now));
    assert!(is_refused(&mut table, "b", &["0", &CRASHING.to_uppercase()], now));
    assert!(!is_refused(&mut table, "a", &[COMMON, "91bd3f06"], now));
    assert!(!is_refused(&mut table, "a", &[COMMON], now));
    assert!(!is_refused(&mut table, "c", &[], now));
    assert!(table.suspects().all(|(_, suspect)| suspect.kind == SuspectKind::Part));
}

#[test]
fn two_crashes_make_no_suspect() {
    let mut table = table(&crashes(&[0, 900], &[COMMON, CRASHING]));
    assert!(!is_refused(&mut table, "a", &[COMMON, CRASHING], 60_000));
}

/// All prompts have the part, so that it is at each crash, and requests run well only in between.
#[test]
fn a_part_at_every_crash_that_also_runs_well_is_not_refused() {
    let mut table = CrashTable::default();
    for number in 0..40_u32 {
        let ms = u64::from(number) * 700;
        let parts: &[&str] = if number % 2 == 0 { &[COMMON, CRASHING] } else { &[COMMON] };
        table.apply(&[crash(number, ms, &[request(number, "a", parts)])], at(ms));
        run_well(&mut table, "a", &[COMMON], ms + 100);
        assert!(!is_refused(&mut table, "a", &[COMMON], ms + 650), "crash {number}");
    }
    assert!(is_refused(&mut table, "a", &[COMMON, CRASHING], 40_000));
}

/// It takes a moment until it is known which parts run well.
#[test]
fn a_crash_counts_against_parts_only_when_it_has_settled() {
    let mut table = table(&crashes(&[0, 250, 500, 750, 1_000], &[COMMON, CRASHING]));
    assert!(!is_refused(&mut table, "a", &[COMMON, CRASHING], 1_100));
    run_well(&mut table, "a", &[COMMON], 1_050);
    assert!(!is_refused(&mut table, "a", &[COMMON, CRASHING], 1_400));
    assert!(is_refused(&mut table, "a", &[COMMON, CRASHING], 1_000 + SETTLED));
}

/// Crashes that have not settled are no sign of another cause.
#[test]
fn a_part_that_crashes_many_endpoints_in_a_second_is_refused_as_soon_as_crashes_settle() {
    let dense: Vec<u64> = (0..30).map(|number| number * 60).collect();
    let mut table = table(&crashes(&dense, &[CRASHING]));
    assert!(is_refused(&mut table, "a", &[CRASHING], 500 + 1_500));
}

#[test]
fn a_router_that_has_just_started_refuses_a_part_by_earlier_crashes() {
    let mut table = CrashTable::default();
    table.apply_history(&crashes(&[0, 900, 1_800], &[COMMON, CRASHING]), at(4_000));
    assert!(is_refused(&mut table, "a", &[COMMON, CRASHING], 4_001));
    assert!(!is_refused(&mut table, "a", &[CRASHING], 4_001), "it may also be the common part");
    assert!(!is_refused(&mut table, "a", &[COMMON], 4_001), "it may also be the crashing part");
}

/// Parts that were at the same crashes are told apart by the next requests that have only one of them.
#[test]
fn of_parts_that_were_always_together_each_is_refused_only_with_the_other() {
    let mut records = crashes(&[0, 900, 1_800], &["c01d", CRASHING]);
    let mut together = table(&records);
    assert!(is_refused(&mut together, "a", &["c01d", CRASHING], 5_000));
    assert!(!is_refused(&mut together, "a", &["c01d"], 5_000));
    records.push(crash(9, 6_000, &[request(9, "a", &[CRASHING])]));
    let mut apart = table(&records);
    assert!(is_refused(&mut apart, "a", &[CRASHING], 6_000 + SETTLED));
    assert!(!is_refused(&mut apart, "a", &["c01d"], 6_000 + SETTLED));
}

/// Other requests with the common part ran beside those with the crashing part, and none of them has run well yet.
#[test]
fn a_part_that_only_bystanders_have_is_not_refused_and_delays_the_decision() {
    let mut table = CrashTable::default();
    for number in 0..4_u32 {
        let requests =
            [request(number, "a", &[CRASHING]), request(100 + number, "b", &[COMMON, "91bd3f06"])];
        let ms = u64::from(number) * 900;
        table.apply(&[crash(number, ms, &requests)], at(ms));
    }
    assert!(!is_refused(&mut table, "b", &[COMMON, "91bd3f06"], 5_000));
    run_well(&mut table, "b", &[COMMON, "91bd3f06"], 5_000);
    assert!(!is_refused(&mut table, "b", &[COMMON, "91bd3f06"], 5_500));
    assert!(is_refused(&mut table, "a", &[CRASHING], 5_500));
}

/// A crash record may lack the request that crashed the endpoint, if its router was killed too.
#[test]
fn the_part_that_never_ran_well_is_refused_even_if_another_was_at_more_crashes() {
    let mut table = CrashTable::default();
    run_well(&mut table, "a", &[COMMON], 0);
    run_well(&mut table, "b", &[COMMON], 0);
    let mut records = crashes(&[1_000, 1_900, 2_800], &[COMMON, CRASHING]);
    records.push(crash(8, 3_700, &[request(8, "b", &[COMMON])]));
    records.iter().for_each(|record| {
        table.apply([record], record.at());
    });
    assert!(is_refused(&mut table, "a", &[COMMON, CRASHING], 3_700 + SETTLED));
    assert!(!is_refused(&mut table, "a", &[COMMON, "91bd3f06"], 3_700 + SETTLED));
    assert!(!is_refused(&mut table, "b", &[COMMON, "91bd3f06"], 3_700 + SETTLED));
}

/// Its endpoints were updated meanwhile, for instance.
#[test]
fn a_part_that_ran_well_before_is_refused_after_five_crashes() {
    let mut table = CrashTable::default();
    run_well(&mut table, "a", &["c01d"], 0);
    for record in crashes(&[10_000, 10_900, 11_800, 12_700], &["c01d"]) {
        table.apply([&record], record.at());
    }
    assert!(!is_refused(&mut table, "a", &["c01d"], 12_800 + SETTLED));
    table.apply(&[crash(9, 15_000, &[request(9, "a", &["c01d"])])], at(15_000));
    assert!(is_refused(&mut table, "a", &["c01d"], 15_000 + SETTLED));
    run_well(&mut table, "a", &["c01d"], 17_500);
    assert!(!is_refused(&mut table, "a", &["c01d"], 18_000));
}

#[test]
fn a_request_that_crashes_endpoints_by_itself_does_not_have_its_parts_refused() {
    let repeated = request(1, "a", &[COMMON, "c01d"]);
    let records: Vec<_> = (0..4)
        .map(|number| crash(number, u64::from(number) * 900, std::slice::from_ref(&repeated)))
        .collect();
    let mut table = table(&records);
    assert!(!is_refused(&mut table, "a", &[COMMON, "c01d"], 10_000));
    assert_eq!(table.suspicion(&repeated), SuspicionLevel::Suspect(repeated.request));
    assert!(table.suspects().all(|(_, suspect)| suspect.kind == SuspectKind::Request));
}

#[test]
fn a_part_is_refused_also_if_its_requests_are_repeated() {
    let repeated: Vec<_> = (0..3).map(|name| request(name, "a", &[CRASHING])).collect();
    let records: Vec<_> = (0_u32..8)
        .map(|number| {
            crash(number, u64::from(number) * 600, &[repeated[number as usize / 3].clone()])
        })
        .collect();
    let mut table = table(&records);
    assert!(is_refused(&mut table, "a", &[CRASHING], 10_000));
}

#[test]
fn two_parts_that_crash_endpoints_at_the_same_time_are_both_refused() {
    let records: Vec<_> = (0_u32..10)
        .map(|number| {
            let part = if number % 2 == 0 { CRASHING } else { "dead" };
            crash(number, u64::from(number) * 600, &[request(number, "a", &[COMMON, part])])
        })
        .collect();
    let mut table = table(&records);
    run_well(&mut table, "a", &[COMMON], 6_000);
    assert!(is_refused(&mut table, "a", &[COMMON, CRASHING], 9_000));
    assert!(is_refused(&mut table, "a", &[COMMON, "dead"], 9_000));
    assert!(!is_refused(&mut table, "a", &[COMMON], 9_000));
}

/// A caller whose requests crash endpoints for another reason names a part of other callers, who send nothing meanwhile.
#[test]
fn a_part_that_crashes_endpoints_for_one_caller_only_is_refused_to_this_caller_only() {
    let mut table = table(&crashes(&[0, 900, 1_800], &["beef"]));
    assert!(is_refused(&mut table, "a", &["beef"], 5_000));
    assert!(!is_refused(&mut table, "victim", &["beef"], 5_000));
    table.apply(&[crash(9, 6_000, &[request(9, "victim", &["beef"])])], at(6_000));
    assert!(is_refused(&mut table, "another", &["beef"], 6_000 + SETTLED));
}

#[test]
fn endpoints_that_crash_at_the_same_moment_count_once_against_a_part() {
    let same_moment: Vec<u64> = (0..8).map(|number| number * 15).collect();
    let mut table = table(&crashes(&same_moment, &["c01d"]));
    assert!(!is_refused(&mut table, "a", &["c01d"], 10_000));
}

/// All endpoints crash whatever they run. Prompts have one of four first parts.
#[test]
fn a_faulty_release_that_crashes_on_all_requests_makes_no_suspect() {
    let records: Vec<_> = (0..60_u32)
        .map(|number| {
            let first = format!("f{}", number % 4);
            let middle = format!("e{}", number % 11);
            crash(number, u64::from(number) * 280, &[request(number, "a", &[&first, &middle])])
        })
        .collect();
    let mut table = table(&records);
    for number in 0..11 {
        let middle = format!("e{number}");
        assert!(!is_refused(&mut table, "a", &["f1", &middle], 20_000));
    }
}

#[test]
fn a_suspected_part_is_tried_after_a_minute_and_is_clear_once_it_runs_well() {
    let mut table = table(&crashes(&[0, 900, 1_800], &[CRASHING]));
    assert!(is_refused(&mut table, "a", &[CRASHING], 5_000));
    let (name, _) = table.suspects().next().expect("a suspect");
    let name = *name;
    assert_eq!(table.due_trial(&name, at(61_000)), None);
    assert_eq!(table.due_trial(&name, at(62_000)), Some(1));
    let trial = Trial { digest: name, number: 1, at: at(62_000) };
    table.apply(&[QuarantineRecord::Trial(trial)], at(62_000));
    assert_eq!(table.due_trial(&name, at(120_000)), None);
    run_well(&mut table, "a", &[CRASHING], 62_100);
    assert!(!is_refused(&mut table, "b", &[CRASHING], 62_700));
    assert_eq!(table.suspects().count(), 0);
}

#[test]
fn the_number_of_parts_of_a_crash_is_bounded() {
    let ids: Vec<String> = (0..5_000).map(|number| format!("{number:x}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut table = table(&crashes(&[0, 900, 1_800], &ids));
    is_refused(&mut table, "a", &[], 5_000);
    let members: usize = table.suspects().map(|(_, suspect)| suspect.digests.len()).sum();
    assert!(members <= 256, "{members}");
}

#[test]
fn records_of_routers_of_earlier_versions_have_no_parts() {
    let digest = request(1, "a", &[]).request;
    let text = format!(
        r#"{{"death":{{"endpoint":"i-1","life":7,"domain":"hall","among":4,"at":{START_MS},"runs":["{digest}"]}}}}"#
    );
    let record: QuarantineRecord = serde_json::from_str(&text).expect("a record");
    let QuarantineRecord::Crash(crash) = &record else { panic!("{record:?}") };
    assert!(crash.parts.is_empty());
    assert_eq!(serde_json::to_string(&record).expect("text"), text);
}

#[test]
fn a_release_of_parts_is_read_as_it_was_written() {
    let parts = request(1, "a", &[COMMON]).parts.iter().map(|part| (part.digest, at(5))).collect();
    let record = QuarantineRecord::PartsRelease(PartsRelease { parts });
    let text = serde_json::to_string(&record).expect("text");
    assert_eq!(serde_json::from_str::<QuarantineRecord>(&text).expect("a record"), record);
}

#[test]
fn a_clock_that_was_set_back_does_not_delay_the_review() {
    let mut table = table(&crashes(&[100_000, 100_900, 101_800], &[CRASHING]));
    assert!(!is_refused(&mut table, "a", &[CRASHING], 101_900));
    let step_back = u64::try_from(Duration::from_secs(50).as_millis()).expect("short");
    assert!(is_refused(&mut table, "a", &[CRASHING], 101_900 - step_back));
}

/// Half an hour of crashes without a part to blame, one every ten seconds. The requests that each interrupts have the common part and
/// one of many rare ones. Their callers repeat them once; one in six of these retries runs on an endpoint that crashes as well.
/// The others run well, and so does the next request with a part that was interrupted twice: far more requests run well than are
/// interrupted.
#[test]
fn half_an_hour_of_unrelated_crashes_makes_no_suspect() {
    proptest!(ProptestConfig::with_cases(1), |(seeds in prop::collection::vec(0..1_000_000_u32, 180))| {
        let mut table = CrashTable::default();
        let mut interrupted: Vec<String> = Vec::new();
        let mut interrupted_twice: Vec<String> = Vec::new();
        for (number, seed) in (0_u32..).zip(&seeds) {
            let ms = u64::from(number) * 10_000;
            let crashes_again = |index: usize| (index * 31 + *seed as usize).is_multiple_of(6);
            let (again, sound): (Vec<_>, Vec<_>) =
                interrupted.into_iter().enumerate().partition(|(index, _)| crashes_again(*index));
            let sound = sound.iter().map(|(_, part)| part).chain(&interrupted_twice);
            let sound: Vec<&str> = sound.map(String::as_str).collect();
            run_well(&mut table, "a", &sound, ms.saturating_sub(5_000));
            run_well(&mut table, "a", &[COMMON], ms.saturating_sub(5_000));
            interrupted = (0..8).map(|n| format!("e{}", (seed / (n + 1)) % 400)).collect();
            let parts = interrupted.iter().chain(again.iter().map(|(_, part)| part));
            let requests: Vec<_> = (number * 100..)
                .zip(parts)
                .map(|(name, part)| request(name, "a", &[COMMON, part]))
                .collect();
            table.apply(&[crash(number, ms, &requests)], at(ms));
            interrupted_twice = again.into_iter().map(|(_, part)| part).collect();
            if number % 30 == 0 {
                table.review(at(ms + 4_000));
                prop_assert_eq!(table.suspects().count(), 0);
            }
        }
    });
}

proptest! {
    /// Routers receive the records in different orders, and some of them twice.
    #[test]
    fn suspects_do_not_depend_on_the_order_or_repetition_of_records(
        crashes in prop::collection::vec((0..8_u32, 0..40_u64, prop::collection::vec((0..4_u32, 0..5_u32, 0..5_u32), 1..4)), 1..20),
        releases in prop::collection::vec((0..5_u32, 0..40_u64), 0..4),
        order in any::<u64>(),
    ) {
        let named = |(caller, one, other): (u32, u32, u32)| {
            request(one * 5 + other, &caller.to_string(), &[&format!("{one}"), &format!("{other}")])
        };
        let mut records: Vec<QuarantineRecord> = crashes
            .iter()
            .map(|(endpoint, ms, requests)| {
                let requests: Vec<_> = requests.iter().copied().map(named).collect();
                crash(*endpoint, ms * 500, &requests)
            })
            .collect();
        for (part, ms) in releases {
            let released = request(part, "0", &[&part.to_string()]);
            let parts = released.parts.iter().map(|part| (part.digest, at(ms * 500))).collect();
            records.push(QuarantineRecord::PartsRelease(PartsRelease { parts }));
            let release = Release { digest: released.request, at: at(ms * 500) };
            records.push(QuarantineRecord::Release(release));
        }
        let now = at(60_000);
        let fold = |records: &[QuarantineRecord]| {
            let mut table = CrashTable::default();
            for record in records {
                table.apply([record], now);
            }
            let named = table.suspects().map(|(name, suspect)| (*name, suspect.digests.clone()));
            named.collect::<BTreeSet<_>>()
        };
        let suspects = fold(&records);
        let len = records.len();
        for index in 0..len {
            records.swap(index, (order as usize).wrapping_mul(index + 7) % len);
        }
        records.push(records[0].clone());
        prop_assert_eq!(suspects, fold(&records));
    }
}
