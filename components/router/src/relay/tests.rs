//! Tests of splitting a stream after whole events.

use super::*;

fn events(pieces: &[&'static str]) -> (String, Option<u64>, usize) {
    let mut events = Events::default();
    let mut out = BytesMut::new();
    for piece in pieces {
        out.extend_from_slice(&events.take(Bytes::from_static(piece.as_bytes())));
    }
    (String::from_utf8_lossy(&out).into_owned(), events.last, events.rest.len())
}

#[test]
fn holds_back_an_event_until_it_is_whole() {
    let (out, last, rest) = events(&["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n"]);
    assert_eq!((out.as_str(), last), ("id: 1\ndata: a\n\n", Some(1)));
    assert_eq!(rest, "id: 2\ndata: b\n".len());
}

#[test]
fn joins_an_event_that_arrives_in_pieces() {
    let (out, last, rest) = events(&["id: 1\n", "data: a\n", "\nid: 2\ndata: b\n\n"]);
    assert_eq!((out.as_str(), last, rest), ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some(2), 0));
}

#[test]
fn keeps_the_last_id_over_events_without_one() {
    let (_, last, _) = events(&["id: 4\ndata: a\n\ndata: b\n\n"]);
    assert_eq!(last, Some(4));
}

proptest::proptest! {
    #[test]
    fn a_stream_is_the_same_however_it_arrives(
        text in "(id: [0-9]{1,3}\n|data: [a-z]{0,9}\n|\n){0,30}",
        cuts in proptest::collection::vec(0_usize..200, 0..12),
    ) {
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let mut events = Events::default();
        let mut out = Vec::new();
        let mut start = 0;
        for cut in cuts {
            out.extend_from_slice(&events.take(Bytes::copy_from_slice(&text.as_bytes()[start..cut])));
            start = cut;
        }
        let (out, rest) = (String::from_utf8_lossy(&out), String::from_utf8_lossy(&events.rest));
        proptest::prop_assert_eq!(format!("{out}{rest}"), text);
        // An empty line between events may come with the one before or the one behind it.
        proptest::prop_assert!(!rest.trim_start_matches('\n').contains("\n\n"), "{:?}", rest);
        proptest::prop_assert!(out.is_empty() || out.ends_with("\n\n"), "{:?}", out);
    }
}
