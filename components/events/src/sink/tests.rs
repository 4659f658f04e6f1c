//! Tests of the bounded buffer and of the writer.

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
        resumes: "",
        last_event: None,
    }
}

#[test]
fn keeps_all_lines_below_the_sampling_fill() {
    assert!((0..100).all(|n| admit(0, &accepted(&n.to_string()))));
}

#[test]
fn keeps_failures_and_complete_requests_above_the_sampling_fill() {
    let failure = Event::Answered {
        request: "r",
        class: "",
        status: 502,
        first_ms: 0,
        total_ms: 0,
        gap_ms: 0,
        whole: true,
        framing: "length",
        tail_bytes: 0,
    };
    assert!(admit(SAMPLING_FILL_BYTES, &failure));
    let kept: Vec<String> = (0..1_000)
        .map(|n| n.to_string())
        .filter(|id| admit(SAMPLING_FILL_BYTES, &accepted(id)))
        .collect();
    assert!((60..200).contains(&kept.len()), "{}", kept.len());
    let left = |request| Event::CallerLeft { request, held_ms: 0, left_ms: 0 };
    assert!(kept.iter().all(|id| admit(SAMPLING_FILL_BYTES, &left(id))));
}

#[test]
fn keeps_no_line_when_the_buffer_is_full() {
    assert!(!admit(BUFFER_BYTES, &accepted("r")));
}

/// Takes at most `limit` bytes of each write and loses the rest.
struct LossyReader {
    limit: usize,
    received: Vec<u8>,
}

impl Write for LossyReader {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.received.extend_from_slice(&bytes[..bytes.len().min(self.limit)]);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_takes_small_chunks_receives_all_lines() {
    let text: String = (0..2_000)
        .map(|n| format!("{{\"line\":{n},\"cause\":\"{}\"}}\n", "x".repeat(n % 300)))
        .collect();
    let mut reader = LossyReader { limit: WRITE_BYTES, received: Vec::new() };
    write_lines(&mut reader, text.as_bytes()).expect("it is written");
    assert_eq!(String::from_utf8(reader.received).expect("text"), text);
}

#[test]
fn a_line_longer_than_a_chunk_is_written_completely() {
    let long = "y".repeat(WRITE_BYTES * 2);
    let text = format!("a\n{long}\nb\n");
    let mut written = Vec::new();
    write_lines(&mut written, text.as_bytes()).expect("it is written");
    assert_eq!(String::from_utf8(written).expect("text"), text);
}
