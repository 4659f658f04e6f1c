//! Tests of splitting a stream at event boundaries.

use super::*;

fn split(chunks: &[&'static str]) -> (String, Option<u64>, usize) {
    let mut events = EventSplitter::default();
    let mut out = BytesMut::new();
    for chunk in chunks {
        out.extend_from_slice(&events.push(Bytes::from_static(chunk.as_bytes())));
    }
    (String::from_utf8_lossy(&out).into_owned(), events.last_id, events.pending.len())
}

#[test]
fn holds_back_an_event_until_it_is_complete() {
    let (out, last, pending) = split(&["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n"]);
    assert_eq!((out.as_str(), last), ("id: 1\ndata: a\n\n", Some(1)));
    assert_eq!(pending, "id: 2\ndata: b\n".len());
}

#[test]
fn joins_an_event_that_arrives_in_several_chunks() {
    let (out, last, pending) = split(&["id: 1\n", "data: a\n", "\nid: 2\ndata: b\n\n"]);
    assert_eq!((out.as_str(), last, pending), ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some(2), 0));
}

#[test]
fn events_without_an_id_do_not_change_the_last_id() {
    let (_, last, _) = split(&["id: 4\ndata: a\n\ndata: b\n\n"]);
    assert_eq!(last, Some(4));
}

proptest::proptest! {
    #[test]
    fn the_bytes_of_a_stream_do_not_depend_on_its_chunks(
        text in "(id: [0-9]{1,3}\n|data: [a-z]{0,9}\n|\n){0,30}",
        cuts in proptest::collection::vec(0_usize..200, 0..12),
    ) {
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let mut events = EventSplitter::default();
        let mut out = Vec::new();
        let mut start = 0;
        for cut in cuts {
            out.extend_from_slice(&events.push(Bytes::copy_from_slice(&text.as_bytes()[start..cut])));
            start = cut;
        }
        let (out, pending) = (String::from_utf8_lossy(&out), String::from_utf8_lossy(&events.pending));
        proptest::prop_assert_eq!(format!("{out}{pending}"), text);
        // An empty line between two events may be pushed with either of them.
        proptest::prop_assert!(!pending.trim_start_matches('\n').contains("\n\n"), "{:?}", pending);
        proptest::prop_assert!(out.is_empty() || out.ends_with("\n\n"), "{:?}", out);
    }
}
