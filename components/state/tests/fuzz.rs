//! Random bytes and damaged records: the fold never panics, and two folds of the same bytes agree.
//!
//! `FUZZ_CASES` sets how many cases run, `FUZZ_SEED` which.

mod common;
#[path = "common/steps.rs"]
mod steps;

use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof};
use proptest::sample::Index;
use proptest::test_runner::{RngSeed, TestCaseError, TestRunner};
use proptest::{prop_assert, prop_assert_eq};
use record::SnapshotChunk;
use state::{State, chunks, from_text, join, to_text};
use steps::{Session, Step, steps};
use units::Offset;

const CASES: u32 = 200;
const SEED: u64 = 1;
const STEPS: usize = 60;

fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn runner() -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: from_env("FUZZ_CASES", CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(from_env("FUZZ_SEED", SEED)),
        ..ProptestConfig::default()
    })
}

/// Damage to a record's text.
#[derive(Debug, Clone)]
enum Damage {
    None,
    Byte { at: Index, byte: u8 },
    Cut { at: Index },
    Digit { at: Index, digit: u8 },
    Splice { at: Index, other: Index },
    Noise(Vec<u8>),
}

fn damage() -> impl Strategy<Value = Damage> {
    let noise = proptest::collection::vec(any::<u8>(), 0..64);
    prop_oneof![
        12 => Just(Damage::None),
        2 => (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Damage::Byte { at, byte }),
        1 => any::<Index>().prop_map(|at| Damage::Cut { at }),
        4 => (any::<Index>(), b'0'..=b'9').prop_map(|(at, digit)| Damage::Digit { at, digit }),
        1 => (any::<Index>(), any::<Index>()).prop_map(|(at, other)| Damage::Splice { at, other }),
        1 => noise.prop_map(Damage::Noise),
    ]
}

impl Damage {
    fn apply(&self, text: &mut Vec<u8>, earlier: &[Vec<u8>]) {
        match self {
            Self::None => {}
            Self::Byte { at, byte } => *at.get_mut(text) = *byte,
            Self::Cut { at } => text.truncate(at.index(text.len())),
            Self::Digit { at, digit } => {
                let digits = text.iter_mut().filter(|byte| byte.is_ascii_digit());
                let digits: Vec<&mut u8> = digits.collect();
                let place = at.index(digits.len().max(1));
                if let Some(byte) = digits.into_iter().nth(place) {
                    *byte = *digit;
                }
            }
            Self::Splice { at, other } if !earlier.is_empty() => {
                let other = other.get(earlier);
                let at = at.index(text.len());
                text.truncate(at);
                text.extend(other.iter().skip(at));
            }
            Self::Splice { .. } => {}
            Self::Noise(noise) => text.clone_from(noise),
        }
    }
}

#[test]
#[ignore = "long; `make fuzz` runs it"]
fn can_fold_damaged_sessions_without_panic_and_in_agreement() {
    let damages = proptest::collection::vec(damage(), STEPS);
    let sessions = (steps(STEPS), damages, 1..STEPS);
    let check = |(steps, damages, pause): (Vec<Step>, Vec<Damage>, usize)| {
        let texts = write(&steps, &damages);
        let mut plain = State::default();
        let mut resumed = State::default();
        for (place, (offset, text)) in texts.iter().enumerate() {
            if place % pause == 0 && resumed.frozen().is_none() {
                resumed = from_text(&to_text(&resumed)).map_err(failed)?;
            }
            prop_assert_eq!(plain.apply_bytes(*offset, text), resumed.apply_bytes(*offset, text));
        }
        prop_assert!(plain == resumed);
        prop_assert_eq!(to_text(&plain), to_text(&resumed));
        Ok(())
    };
    runner().run(&sessions, check).unwrap_or_else(|e| panic!("{e}"));
}

fn failed(error: impl std::fmt::Display) -> TestCaseError {
    TestCaseError::fail(error.to_string())
}

/// The log that the steps make, each text damaged on its way.
fn write(steps: &[Step], damages: &[Damage]) -> Vec<(Offset, Vec<u8>)> {
    let mut session = Session::new();
    let mut state = State::default();
    let mut texts: Vec<Vec<u8>> = Vec::new();
    let mut log = Vec::new();
    for (step, damage) in steps.iter().zip(damages) {
        let Some((offset, record)) = session.take(step, &state) else { continue };
        let mut text = serde_json::to_vec(&record).expect("records are text");
        damage.apply(&mut text, &texts);
        state.apply_bytes(offset, &text);
        texts.push(text.clone());
        log.push((offset, text));
    }
    log
}

#[test]
#[ignore = "long; `make fuzz` runs it"]
fn can_refuse_damaged_snapshots_without_panic() {
    let noise = proptest::collection::vec((any::<Index>(), any::<u8>()), 0..3);
    let cases = (steps(STEPS), 1..400_usize, noise, any::<Index>(), any::<bool>());
    let check = |(steps, limit, noise, place, sealed): Case| {
        let mut state = State::default();
        let whole = vec![Damage::None; steps.len()];
        for (offset, text) in write(&steps, &whole) {
            state.apply_bytes(offset, &text);
        }
        let mut parts = chunks(&state, limit);
        prop_assert!(join(&parts).as_ref() == Ok(&state));
        let part = place.index(parts.len());
        harm(&mut parts[part], &noise);
        if sealed {
            seal(&mut parts);
        }
        // Whatever comes out must be usable.
        if let Ok(mut state) = join(&parts) {
            state.apply_bytes(state.offset().next(), b"{}");
            let _ = to_text(&state);
        }
        Ok(())
    };
    runner().run(&cases, check).unwrap_or_else(|e| panic!("{e}"));
}

type Case = (Vec<Step>, usize, Vec<(Index, u8)>, Index, bool);

fn harm(part: &mut SnapshotChunk, noise: &[(Index, u8)]) {
    let mut bytes = part.data.clone().into_bytes();
    for (at, byte) in noise {
        *at.get_mut(&mut bytes) = *byte;
    }
    part.data = String::from_utf8_lossy(&bytes).into_owned();
}

/// Gives damaged parts the digest that fits them, so that the layers below are reached.
fn seal(parts: &mut [SnapshotChunk]) {
    let text: String = parts.iter().map(|part| part.data.as_str()).collect();
    let digest = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()));
    parts.iter_mut().for_each(|part| part.digest.clone_from(&digest));
}

#[test]
#[ignore = "long; `make fuzz` runs it"]
fn can_refuse_noise_without_panic() {
    let noise = proptest::collection::vec(any::<u8>(), 0..512);
    let check = |noise: Vec<u8>| {
        let mut state = State::default();
        let applied = state.apply_bytes(Offset(1), &noise);
        prop_assert!(!applied.is_done());
        prop_assert!(from_text(&String::from_utf8_lossy(&noise)).is_err());
        Ok(())
    };
    runner().run(&noise, check).unwrap_or_else(|e| panic!("{e}"));
}
