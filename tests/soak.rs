//! One seed of the soak over processes; `hyssop-load soak --seeds FROM..TO` plays others.

use std::path::Path;
use std::process::Command;

#[test]
fn no_promise_is_broken_while_processes_and_links_fail() {
    let folder = tempfile::tempdir().expect("a folder");
    let router = Path::new(env!("CARGO_BIN_EXE_hyssop-router"));
    let _loader = env!("CARGO_BIN_EXE_hyssop-loader");
    let played = Command::new(env!("CARGO_BIN_EXE_hyssop-load"))
        .args(["soak", "--seeds", "1..2", "--bin"])
        .arg(router.parent().expect("a folder"))
        .arg("--out")
        .arg(folder.path())
        .output()
        .expect("the soak runs");
    let told = String::from_utf8_lossy(&played.stdout);
    assert!(played.status.success(), "{told}{}", String::from_utf8_lossy(&played.stderr));
}
