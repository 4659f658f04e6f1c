//! Tests of the encoding of answers.

use rstest::rstest;

use super::*;

#[rstest]
#[case::without_records(None, &[])]
#[case::with_records(Some(Duration::from_millis(70)), &["a", "", "bc"])]
fn an_answer_is_decoded_as_it_was_encoded(
    #[case] regained: Option<Duration>,
    #[case] records: &[&'static str],
) {
    let records = records.iter().map(|record| Bytes::from_static(record.as_bytes())).collect();
    let updates = Updates { age: Duration::from_millis(1_250), regained, records };
    assert_eq!(Updates::decode(updates.encode()), Ok(updates));
}

#[test]
fn an_answer_that_is_cut_off_is_an_error() {
    let records = vec![Bytes::from_static(b"abc")];
    let bytes = Updates { age: Duration::ZERO, regained: None, records }.encode();
    for len in (0..bytes.len()).filter(|len| *len != 16) {
        assert_eq!(Updates::decode(bytes.slice(..len)), Err(DecodeError), "{len} bytes");
    }
}
