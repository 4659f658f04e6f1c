use rstest::rstest;

use super::{Answer, Expected};

#[test]
fn can_read_a_whole_stream() {
    let body = "data: {\"choices\":[{\"text\":\"a \"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n\
                data: [DONE]\n\n";
    let answer = Answer { text: "a b".to_owned(), whole: true, failed: false };
    assert_eq!(Answer::read(body.as_bytes()), answer);
}

#[rstest]
#[case::without_its_end("data: {\"choices\":[{\"text\":\"a\"}]}\n\n", false)]
#[case::with_half_of_its_end("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]", false)]
#[case::with_an_error("data: {}\n\nevent: error\ndata: {\"error\":{}}\n\n", true)]
fn errors_on_a_stream(#[case] body: &str, #[case] failed: bool) {
    let answer = Answer::read(body.as_bytes());
    assert_eq!((answer.whole, answer.failed), (false, failed));
}

#[test]
fn can_read_a_completion_that_is_no_stream() {
    let answer = Answer::read(br#"{"choices":[{"message":{"content":"a b"}}]}"#);
    assert_eq!((answer.text.as_str(), answer.whole), ("a b", true));
}

#[test]
fn errors_on_the_echo_of_another_call() {
    let path = "/proofs".to_owned();
    let expected = Expected::Echo { method: "POST".to_owned(), path, body: "1".to_owned() };
    let echo = |request: &str, body: &str| {
        format!(
            r#"{{"method":"POST","path":"/proofs","request":"{request}","digest":"","body":"{body}"}}"#
        )
    };
    assert!(expected.matches("r1", echo("r1", "1").as_bytes()));
    assert!(!expected.matches("r1", echo("r2", "1").as_bytes()));
    assert!(!expected.matches("r1", echo("r1", "2").as_bytes()));
}
