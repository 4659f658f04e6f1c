//! Routers and loaders as processes under seeded faults: a short run. `hyssop-load soak --seeds 1..51` plays more.

use std::ffi::OsString;
use std::path::Path;
use std::process::ExitCode;

#[test]
fn no_promise_is_broken_by_processes_under_seeded_faults() {
    play(&["--seeds", "3..6"]);
}

#[test]
fn no_promise_is_broken_by_processes_while_the_store_comes_back_from_copies() {
    play(&["--seeds", "1..4", "--restores"]);
}

fn play(options: &[&str]) {
    // Both programs are built before the test, in one folder.
    let bin = Path::new(env!("CARGO_BIN_EXE_hyssop-router")).parent().expect("a folder");
    assert!(Path::new(env!("CARGO_BIN_EXE_hyssop-loader")).starts_with(bin));
    let out = tempfile::tempdir().expect("a folder").keep();
    let words = ["hyssop-load", "soak"].iter().chain(options);
    let mut words: Vec<OsString> = words.map(OsString::from).collect();
    words.extend(["--bin".into(), bin.into(), "--out".into(), out.clone().into()]);
    // The lines of the processes, which tell what happened, are kept if a promise is broken.
    assert_eq!(load::main(words), ExitCode::SUCCESS, "logs: {}", out.display());
    std::fs::remove_dir_all(out).expect("the folder goes");
}
