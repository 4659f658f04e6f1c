use super::*;

#[test]
fn callers_with_the_same_id_do_not_share_a_stream() {
    let key = StreamKey::new(b"host", b"caller", b"1");
    assert_ne!(key, StreamKey::new(b"host", b"other", b"1"));
    assert_ne!(key, StreamKey::new(b"other", b"caller", b"1"));
    assert_ne!(key, StreamKey::new(b"hostc", b"aller", b"1"));
    assert_eq!(key, StreamKey::new(b"host", b"caller", b"1"));
}

#[test]
fn a_key_is_read_as_it_was_written() {
    let key = StreamKey::new(b"host", b"caller", &[b'x'; 10_000]);
    let text = serde_json::to_string(&key).expect("a key is a text");
    assert_eq!(serde_json::from_str::<StreamKey>(&text).expect("a key"), key);
    for wrong in ["", "+0000000000000000000000000000001", "00", &"0".repeat(33)] {
        assert!(wrong.parse::<StreamKey>().is_err());
    }
}
