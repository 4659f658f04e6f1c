//! Tests of the buffer's bounds.

use super::*;

fn accepted(request: &str) -> Event<'_> {
    Event::Accepted {
        request,
        route: "",
        class: "",
        version: 1,
        model: "",
        left_ms: 0,
        target_ms: 0,
        pause_ms: 0,
    }
}

#[test]
fn keeps_everything_while_there_is_room() {
    assert!((0..100).all(|n| admit(0, &accepted(&n.to_string()))));
}

#[test]
fn keeps_whole_requests_and_failures_when_it_is_crowded() {
    let failure = Event::Answered {
        request: "r",
        class: "",
        status: 502,
        first_ms: 0,
        total_ms: 0,
        gap_ms: 0,
        whole: true,
    };
    assert!(admit(CROWDED, &failure));
    let kept: Vec<String> =
        (0..1_000).map(|n| n.to_string()).filter(|id| admit(CROWDED, &accepted(id))).collect();
    assert!((60..200).contains(&kept.len()), "{}", kept.len());
    let left = |request| Event::Left { request, held_ms: 0, left_ms: 0 };
    assert!(kept.iter().all(|id| admit(CROWDED, &left(id))));
}

#[test]
fn keeps_nothing_when_it_is_full() {
    assert!(!admit(BUFFER, &accepted("r")));
}

/// A reader that takes at most this many bytes of each write and loses the rest.
struct Narrow {
    most: usize,
    taken: Vec<u8>,
}

impl Write for Narrow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.taken.extend_from_slice(&bytes[..bytes.len().min(self.most)]);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_reach_a_reader_that_takes_small_pieces_whole() {
    let text: String = (0..2_000)
        .map(|n| format!("{{\"line\":{n},\"cause\":\"{}\"}}\n", "x".repeat(n % 300)))
        .collect();
    let mut reader = Narrow { most: PIECE, taken: Vec::new() };
    write_lines(&mut reader, text.as_bytes()).expect("it is written");
    assert_eq!(String::from_utf8(reader.taken).expect("text"), text);
}

#[test]
fn a_line_longer_than_a_piece_is_written_alone_and_whole() {
    let long = "y".repeat(PIECE * 2);
    let text = format!("a\n{long}\nb\n");
    let mut pieces = Vec::new();
    write_lines(&mut pieces, text.as_bytes()).expect("it is written");
    assert_eq!(String::from_utf8(pieces).expect("text"), text);
}
