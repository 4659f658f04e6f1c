//! Answers that are a function of the request alone, so that a checker can tell a whole answer from a part.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many tokens an answer has when the request does not say it.
const DEFAULT_TOKENS: u32 = 16;

/// The most tokens of one answer.
const MOST_TOKENS: u32 = 100_000;

const SYLLABLES: [&str; 16] = [
    "ka", "lam", "da", "ri", "shah", "no", "ta", "mi", "su", "ba", "la", "gul", "he", "pan", "za",
    "ro",
];

/// How many syllables a token has.
const PARTS: u32 = 3;

/// The path of a chat.
const CHAT: &str = "/v1/chat/completions";

/// The token at a place of the answer to a prompt.
pub fn word(prompt: &str, place: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(place));
    let syllable = |part: u32| SYLLABLES[(hash >> (part * 4)) as usize % SYLLABLES.len()];
    (0..PARTS).map(syllable).collect()
}

/// The whole answer of an engine to a call, or `None` when the body is not one that it takes.
pub fn expected(path: &str, body: &[u8]) -> Option<Vec<u8>> {
    let call: Call = serde_json::from_slice(body).ok()?;
    Some(call.chunks(path).concat())
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// The body of a completion or chat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
}

impl Call {
    /// What the answer depends on: the prompt, or the messages with a line each.
    pub(crate) fn text(&self) -> String {
        let lines = self.messages.iter().map(|message| message.content.as_str());
        let lines: Vec<&str> = lines.collect();
        self.prompt.clone() + &lines.join("\n")
    }

    pub(crate) fn count(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MOST_TOKENS)
    }

    /// The answer in the pieces in which it comes, one for a token.
    pub(crate) fn chunks(&self, path: &str) -> Vec<Bytes> {
        let text = self.text();
        let words = (0..self.count()).map(|place| word(&text, place) + " ");
        if !self.stream {
            let text: String = words.collect();
            return vec![whole(path, &text, self.count())];
        }
        let events = words.map(|word| event(path, &word));
        events.chain([Bytes::from_static(b"data: [DONE]\n\n")]).collect()
    }
}

fn event(path: &str, word: &str) -> Bytes {
    let choice = match path {
        CHAT => json!({ "index": 0, "delta": { "content": word } }),
        _ => json!({ "index": 0, "text": word }),
    };
    format!("data: {}\n\n", json!({ "choices": [choice] })).into()
}

fn whole(path: &str, text: &str, count: u32) -> Bytes {
    let choice = match path {
        CHAT => json!({ "index": 0, "message": { "role": "assistant", "content": text } }),
        _ => json!({ "index": 0, "text": text }),
    };
    json!({ "choices": [choice], "usage": { "completion_tokens": count } }).to_string().into()
}
