//! A short soak test: routers and loaders run as processes while faults are injected from fixed seeds.
//! `hyssop-load soak --seeds 1..51` runs more seeds.

use std::ffi::OsString;
use std::path::Path;
use std::process::ExitCode;

#[test]
fn processes_keep_all_guarantees_under_seeded_faults() {
    run_soak(&["--seeds", "3..6"]);
}

#[test]
fn processes_keep_all_guarantees_while_the_store_is_restored_from_copies() {
    run_soak(&["--seeds", "1..4", "--restores"]);
}

#[test]
fn processes_keep_all_guarantees_beside_records_of_other_writers() {
    run_soak(&["--seeds", "6..8", "--restores", "--odd-records"]);
}

fn run_soak(options: &[&str]) {
    // Cargo builds both programs before the test, into the same folder.
    let bin = Path::new(env!("CARGO_BIN_EXE_hyssop-router")).parent().expect("a folder");
    assert!(Path::new(env!("CARGO_BIN_EXE_hyssop-loader")).starts_with(bin));
    let out = tempfile::tempdir().expect("a folder").keep();
    let args = ["hyssop-load", "soak"].iter().chain(options);
    let mut args: Vec<OsString> = args.map(OsString::from).collect();
    args.extend(["--bin".into(), bin.into(), "--out".into(), out.clone().into()]);
    // The logs of the processes are kept if a guarantee is violated, so that the cause can be found.
    assert_eq!(load::main(args), ExitCode::SUCCESS, "logs: {}", out.display());
    std::fs::remove_dir_all(out).expect("the folder is removed");
}
