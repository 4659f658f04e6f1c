//! What happened in a session, line by line, with virtual time.

use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

/// Lines of a session; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Transcript {
    began: Instant,
    lines: Arc<Mutex<String>>,
}

impl Transcript {
    pub(crate) fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line; ids lose what is random in them.
    pub(crate) fn add(&self, who: &str, what: &str) {
        let at = rounded(self.began.elapsed()).as_millis();
        let mut lines = self.lines.lock().expect("unpoisoned");
        writeln!(lines, "{at:>6} ms  {who:<10} {}", tidy(what)).expect("a string takes all");
    }

    /// The whole session.
    pub(crate) fn text(&self) -> String {
        self.lines.lock().expect("unpoisoned").clone()
    }
}

/// To a tenth of a second, since claims of keys wait a few random milliseconds for each other.
pub(crate) fn rounded(span: Duration) -> Duration {
    let tenths = (span.as_millis() + 50) / 100;
    Duration::from_millis(100 * u64::try_from(tenths).expect("tests are short"))
}

/// Drops the parts of ids that differ from start to start.
fn tidy(text: &str) -> String {
    let parts = text.split('-');
    let is_random = |part: &&str| part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit());
    parts.filter(|part| !is_random(part)).collect::<Vec<_>>().join("-")
}
