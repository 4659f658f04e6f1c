use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::StatusCode;
use wire::UnknownCause;

use super::{AHEAD, Answer, AnswerHead, BEHIND, KeptBytes};
use crate::slot::Progress;

const CHUNK: usize = 64 << 10;

fn answer(kept: &KeptBytes) -> Answer {
    Answer::new(AnswerHead { status: StatusCode::OK, content: None }, kept.clone())
}

#[test]
fn bounds_what_a_long_answer_keeps() {
    let kept = KeptBytes::default();
    let mut answer = answer(&kept);
    let mut most = 0;
    for _ in 0..1000 {
        answer.push(Bytes::from(vec![7; CHUNK]));
        if answer.is_ahead() {
            answer.taken(answer.length());
        }
        most = most.max(kept.load(Ordering::Relaxed));
    }
    assert!(most <= AHEAD + BEHIND + 2 * CHUNK as u64, "{most}");
    assert!(matches!(answer.after(0), Progress::Unknown(UnknownCause::AnswerDropped)));
    let near = answer.length() - BEHIND;
    let Progress::Bytes(_, chunks) = answer.after(near) else { panic!("dropped too early") };
    assert_eq!(chunks.iter().map(Bytes::len).sum::<usize>() as u64, BEHIND);
    drop(answer);
    assert_eq!(kept.load(Ordering::Relaxed), 0);
}

#[test]
fn keeps_the_same_bytes_when_joined() {
    let kept = KeptBytes::default();
    let mut answer = answer(&kept);
    for text in ["one ", "two ", "three"] {
        answer.push(Bytes::from(text));
    }
    let answer = answer.joined();
    assert_eq!(kept.load(Ordering::Relaxed), 13);
    let Progress::Bytes(_, chunks) = answer.after(4) else { panic!("no bytes") };
    assert_eq!(chunks, [Bytes::from("two three")]);
}
