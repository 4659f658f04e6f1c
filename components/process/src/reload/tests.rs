//! Tests of reloading the settings file.

use super::*;

#[test]
fn a_valid_file_replaces_the_settings() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("settings.jsonc");
    std::fs::write(&file, "// comment\n2").expect("written");
    let (settings, current) = watch::channel(Arc::new(1_u32));
    reload(&file, &settings);
    assert_eq!(**current.borrow(), 2);
}

#[test]
fn a_missing_or_invalid_file_leaves_the_settings_as_they_are() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("settings.jsonc");
    let (settings, current) = watch::channel(Arc::new(1_u32));
    reload(&file, &settings);
    std::fs::write(&file, "{ half").expect("written");
    reload(&file, &settings);
    assert_eq!(**current.borrow(), 1);
}
