use rstest::rstest;
use units::Span;

use super::*;

fn id() -> RequestId {
    "entry-0-1".parse().expect("a request id")
}

#[rstest]
#[case(Refusal::Full { retry: Span::secs(7) }, 429, "7")]
#[case(Refusal::Hopeless { wait: Span::millis(2500) }, 429, "3")]
#[case(Refusal::NoEndpoint { retry: Span::millis(1) }, 503, "1")]
#[case(Refusal::NoClaim { retry: Span::secs(5) }, 503, "5")]
#[case(Refusal::Late, 503, "1")]
#[case(Refusal::Leaving, 503, "1")]
#[case(Refusal::Shutdown, 503, "1")]
#[case(Refusal::LoadFailed { cause: "no".to_owned() }, 503, "1")]
#[case(Refusal::KeyTaken, 409, "")]
fn can_answer_refusals(#[case] refusal: Refusal, #[case] status: u16, #[case] retry: &str) {
    let response = refused(&id(), &refusal);
    assert_eq!(response.status(), status);
    assert_eq!(response.headers()[OUTCOME], "not-run");
    assert_eq!(response.headers()[REQUEST], "entry-0-1");
    let shown = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
    assert_eq!(shown.unwrap_or(""), retry);
}

#[test]
fn can_answer_unknown_outcomes() {
    let response = unknown(&id(), &UnknownCause::AgentGone);
    assert_eq!(response.status(), 504);
    assert_eq!(response.headers()[OUTCOME], "unknown");
}

async fn read(head: AnswerHead, messages: Vec<Message>) -> Result<String, String> {
    let (sender, receiver) = mpsc::channel(8);
    sender.send(Message::Head(head)).await.expect("there is room");
    for message in messages {
        sender.send(message).await.expect("there is room");
    }
    drop(sender);
    let body = respond(&id(), receiver).await.into_body();
    let read = web::read(body, 10_000).await;
    read.map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
        .map_err(|error| error.to_string())
}

fn head(content: &'static str) -> AnswerHead {
    AnswerHead { status: StatusCode::OK, content: Some(HeaderValue::from_static(content)) }
}

#[tokio::test]
async fn can_end_a_failed_event_stream_with_an_error_event() {
    let cause = UnknownCause::Endpoint { cause: "gone".to_owned() };
    let messages =
        vec![Message::Bytes("data: a\n\n".into()), Message::End(Outcome::Unknown(cause))];
    let text = read(head("text/event-stream"), messages).await.expect("the stream ends");
    let json = text.strip_prefix("data: a\n\nevent: error\ndata: ").expect("an error event");
    let json = json.strip_suffix("\n\n").expect("a whole event");
    let value: serde_json::Value = serde_json::from_str(json).expect("JSON");
    assert_eq!(value["error"]["outcome"], "unknown");
    assert_eq!(value["error"]["type"], "endpoint");
}

#[tokio::test]
async fn errors_on_another_body_that_fails() {
    let cause = UnknownCause::AgentGone;
    let messages = vec![Message::Bytes("ab".into()), Message::End(Outcome::Unknown(cause))];
    assert!(read(head("text/plain"), messages).await.is_err());
}

#[tokio::test]
async fn errors_on_a_body_whose_end_was_never_told() {
    assert!(read(head("text/plain"), vec![Message::Bytes("ab".into())]).await.is_err());
}

#[tokio::test]
async fn can_answer_when_the_carrier_is_lost() {
    let (sender, receiver) = mpsc::channel(1);
    drop(sender);
    assert_eq!(respond(&id(), receiver).await.status(), 504);
}
