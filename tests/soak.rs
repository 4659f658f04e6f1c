//! One seed of the soak over processes; `hyssop-load soak --seeds FROM..TO` plays others.

use std::path::Path;
use std::process::Command;

#[test]
fn no_promise_is_broken_while_processes_and_links_fail() {
    let folder = tempfile::tempdir().expect("a folder");
    // The programs of another package stand beside this one's, once the workspace is built.
    let load = Path::new(env!("CARGO_BIN_EXE_hyssop-load"));
    for name in ["hyssop-router", "hyssop-loader"] {
        let beside = load.with_file_name(name);
        assert!(beside.exists(), "{} is missing: run the tests with --workspace", beside.display());
    }
    let played = Command::new(load)
        .args(["soak", "--seeds", "1..2", "--bin"])
        .arg(load.parent().expect("a folder"))
        .arg("--out")
        .arg(folder.path())
        .output()
        .expect("the soak runs");
    let told = String::from_utf8_lossy(&played.stdout);
    assert!(played.status.success(), "{told}{}", String::from_utf8_lossy(&played.stderr));
}
