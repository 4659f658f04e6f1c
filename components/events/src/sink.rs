//! A bounded buffer with a writer of its own.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use crate::count::count;
use crate::{Event, millis};

/// The most bytes that wait to be written: some seconds of lines at the peak of one entry.
const BUFFER: usize = 256 << 10;
/// From this fill on, only failures and a sample of the requests are kept.
const CROWDED: usize = BUFFER / 2;
/// One request in this many is kept whole when the buffer is crowded.
const SAMPLE: u64 = 8;
/// Lines are written together after this time, since each write is a system call.
const GATHER: Duration = Duration::from_millis(250);
/// Whole lines are written together up to this size, the least that a pipe takes in one piece: a reader that takes no
/// more at a time lost the middle of longer ones, and with it the end of one request in nine.
const PIECE: usize = 4_096;
/// The writer only formats nothing and copies one buffer.
const STACK: usize = 64 << 10;

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug)]
struct Sink {
    instance: String,
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

static SINK: OnceLock<Sink> = OnceLock::new();

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    instance: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Starts the writer; lines of this process bear the name of its instance.
pub fn install(instance: &str) -> std::io::Result<()> {
    let sink =
        Sink { instance: instance.to_owned(), buffer: Mutex::default(), filled: Condvar::new() };
    if SINK.set(sink).is_ok() {
        std::thread::Builder::new().name("events".to_owned()).stack_size(STACK).spawn(write)?;
    }
    Ok(())
}

/// Counts an event and adds its line; it never waits, and writes nothing before [`install`].
pub fn emit(event: &Event<'_>) {
    count(event);
    let Some(sink) = SINK.get() else { return };
    let mut buffer = sink.buffer.lock().unwrap_or_else(PoisonError::into_inner);
    if !admit(buffer.bytes.len(), event) {
        buffer.dropped += 1;
        return;
    }
    #[allow(clippy::disallowed_methods, reason = "only to be shown")]
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let time_ms = millis(since);
    let line = Line { time_ms, instance: &sink.instance, event };
    if serde_json::to_writer(&mut buffer.bytes, &line).is_ok() {
        buffer.bytes.push(b'\n');
    }
    sink.filled.notify_one();
}

/// Whether a line is kept at this fill: a request is kept whole or not at all, failures go first.
fn admit(fill: usize, event: &Event<'_>) -> bool {
    if fill >= BUFFER {
        return false;
    }
    if fill < CROWDED || event.failure() {
        return true;
    }
    event.request().is_none_or(|request| {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        hasher.finish().is_multiple_of(SAMPLE)
    })
}

fn write() {
    let Some(sink) = SINK.get() else { return };
    loop {
        let waiting = sink.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let filled = sink.filled.wait_while(waiting, |buffer| buffer.bytes.is_empty());
        drop(filled.unwrap_or_else(PoisonError::into_inner));
        std::thread::sleep(GATHER);
        let (bytes, dropped) = {
            let mut buffer = sink.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.dropped))
        };
        // Nobody can be told that standard output is gone.
        let _ = write_lines(&mut std::io::stdout(), &bytes);
        if dropped > 0 {
            emit(&Event::Dropped { lines: dropped });
        }
    }
}

/// Writes whole lines in pieces of at most [`PIECE`] bytes; a longer line is a piece of its own.
fn write_lines(out: &mut impl Write, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let whole = bytes[..bytes.len().min(PIECE)].iter().rposition(|byte| *byte == b'\n');
        let end = whole.or_else(|| bytes.iter().position(|byte| *byte == b'\n'));
        let (piece, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        out.write_all(piece)?;
        bytes = rest;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
