//! Tests of parsing software versions.

use super::*;

#[test]
fn a_version_is_any_text_of_up_to_two_hundred_bytes() {
    for text in ["v1", "2.3.1+build 7", "größer", &"x".repeat(MAX_VERSION_BYTES)] {
        assert_eq!(text.parse::<SoftwareVersion>().expect("a version").to_string(), text);
    }
    assert_eq!("".parse::<SoftwareVersion>(), Err(ParseVersionError::Empty));
    let long = "x".repeat(10 << 10);
    assert_eq!(long.parse::<SoftwareVersion>(), Err(ParseVersionError::Long { len: 10 << 10 }));
}

#[test]
fn a_version_that_is_no_valid_text_is_not_deserialized() {
    for json in ["\"\"", "7", "null"] {
        assert!(serde_json::from_str::<SoftwareVersion>(json).is_err(), "{json}");
    }
}
