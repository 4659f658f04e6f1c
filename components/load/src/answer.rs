//! Reading an answer and comparing it with the right one.

use bytes::Bytes;
use serde_json::Value;
use standin::Echo;

/// What a caller read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    /// The text of a completion; else the body.
    pub(crate) text: String,
    /// Whether it came to its end.
    pub(crate) whole: bool,
    /// Whether it says itself that it failed on the way.
    pub(crate) failed: bool,
}

/// What the right answer to a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Expected {
    /// These bytes.
    Bytes(Bytes),
    /// An echo of the call at a plain service.
    Echo {
        /// The method.
        method: String,
        /// The path at the service.
        path: String,
        /// The body.
        body: String,
    },
    /// Anything: the request is meant to be refused.
    Refusal,
}

impl Expected {
    /// Whether a body is the right answer to the request of this id.
    pub(crate) fn matches(&self, request: &str, answer: &[u8]) -> bool {
        match self {
            Self::Bytes(bytes) => bytes == answer,
            Self::Echo { method, path, body } => {
                serde_json::from_slice(answer).is_ok_and(|echo: Echo| {
                    echo.request == request
                        && echo.method == *method
                        && echo.path == *path
                        && echo.body == *body
                })
            }
            Self::Refusal => true,
        }
    }
}

impl Answer {
    /// Reads a body: a stream of server-sent events, or anything else.
    pub(crate) fn read(body: &[u8]) -> Self {
        let body = String::from_utf8_lossy(body);
        if body.starts_with("data:") || body.starts_with("event:") {
            return Self::stream(&body);
        }
        let text = serde_json::from_str(&body).ok().and_then(|json: Value| completion(&json));
        Self { text: text.unwrap_or_else(|| body.into_owned()), whole: true, failed: false }
    }

    fn stream(body: &str) -> Self {
        let mut answer = Self { text: String::new(), whole: false, failed: false };
        for line in body.lines() {
            if line == "event: error" {
                answer.failed = true;
            }
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                answer.whole = body.ends_with("data: [DONE]\n\n");
                continue;
            }
            let json: Option<Value> = serde_json::from_str(data).ok();
            if let Some(text) = json.as_ref().and_then(completion) {
                answer.text.push_str(&text);
            }
        }
        answer
    }
}

/// The text in a completion, a chat completion or a part of one.
fn completion(json: &Value) -> Option<String> {
    let choice = json.get("choices")?.get(0)?;
    let places = ["/text", "/message/content", "/delta/content"];
    let text = places.iter().find_map(|place| choice.pointer(place))?;
    text.as_str().map(str::to_owned)
}

#[cfg(test)]
mod tests;
