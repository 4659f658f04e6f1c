//! Tests of the version to which a stream is held.

use super::*;

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("a version")
}

#[test]
fn a_stream_is_held_to_the_version_of_its_first_event() {
    let mut stream = StreamVersion::default();
    assert_eq!(stream.wanted(), None);
    assert!(stream.admit(Some(version("v1"))));
    assert_eq!(stream.wanted(), Some(&version("v1")));
    assert!(stream.can_resume() && stream.admit(Some(version("v1"))));
    assert!(!stream.admit(Some(version("v2"))));
    assert!(!stream.admit(None));
    assert_eq!(stream, StreamVersion::Held(version("v1")));
}

#[test]
fn a_stream_of_an_unknown_version_is_not_continued() {
    let mut stream = StreamVersion::default();
    assert!(stream.admit(None));
    assert!(!stream.can_resume());
    assert!(!stream.admit(None) && !stream.admit(Some(version("v1"))));
}
