//! Tests of reading the settings file again.

use super::*;

#[test]
fn takes_a_file_that_can_be_read() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("settings.jsonc");
    std::fs::write(&file, "// comment\n2").expect("written");
    let (settings, seen) = watch::channel(Arc::new(1_u32));
    read(&file, &settings);
    assert_eq!(**seen.borrow(), 2);
}

#[test]
fn keeps_the_settings_if_the_file_is_wrong_or_gone() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("settings.jsonc");
    let (settings, seen) = watch::channel(Arc::new(1_u32));
    read(&file, &settings);
    std::fs::write(&file, "{ half").expect("written");
    read(&file, &settings);
    assert_eq!(**seen.borrow(), 1);
}
