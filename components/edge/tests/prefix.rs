//! The digests of prompts, which engines and entries must make alike.

use edge::PrefixHash;
use serde_json::json;

#[test]
fn can_make_the_same_digest_of_a_body_as_of_its_text() {
    let text = "a fox and a hen ".repeat(8);
    let prompt = json!({ "model": "a", "prompt": text }).to_string();
    let (first, rest) = text.split_at(20);
    let lines = [first, rest].map(|content| json!({ "role": "user", "content": content }));
    let chat = json!({ "model": "a", "messages": lines }).to_string();
    let hash = PrefixHash::of_body(prompt.as_bytes()).expect("a long prompt");
    assert_eq!(hash, PrefixHash::of(&text[..64]));
    let joined = PrefixHash::of(&format!("{first}\n{rest}"));
    assert_eq!(PrefixHash::of_body(chat.as_bytes()), Some(joined));
    assert_eq!(PrefixHash::of_body(b"{\"prompt\":\"short\"}"), None);
    let written = serde_json::to_string(&hash).expect("JSON");
    assert_eq!(serde_json::from_str::<PrefixHash>(&written).ok(), Some(hash));
    assert!(serde_json::from_str::<PrefixHash>("\"fox\"").is_err());
}
