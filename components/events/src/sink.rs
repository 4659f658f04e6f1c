//! Writes events to standard output through a bounded buffer, on a thread of its own.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use crate::count::count;
use crate::{Event, millis};

/// The most bytes that wait to be written: a few seconds of lines at the peak load of one process.
const BUFFER_BYTES: usize = 256 << 10;
/// From this fill on, only failures and a sample of the requests are kept.
const SAMPLING_FILL_BYTES: usize = BUFFER_BYTES / 2;
/// One request in this many is kept completely when the buffer is filled beyond [`SAMPLING_FILL_BYTES`].
const SAMPLE_DIVISOR: u64 = 8;
/// Lines are collected for this long before they are written, since each write is a system call.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Whole lines are written together up to this size, which any pipe accepts in one piece. A reader that takes no more than
/// this at a time lost the middle of longer writes, and with it the last lines of one request in nine.
const WRITE_BYTES: usize = 4_096;
/// The stack size of the writer thread, which only takes over the buffer and formats single `dropped` lines.
const WRITER_STACK_BYTES: usize = 64 << 10;

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

/// Starts the writer thread. Each line contains the instance name of this process.
pub fn install(instance: &str) -> std::io::Result<()> {
    let sink =
        Sink { instance: instance.to_owned(), buffer: Mutex::default(), filled: Condvar::new() };
    if SINK.set(sink).is_ok() {
        std::thread::Builder::new()
            .name("events".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(run_writer)?;
    }
    Ok(())
}

/// Records the metrics of an event and adds its line to the buffer. Never waits for the writer, and writes no line before
/// [`install`].
pub fn emit(event: &Event<'_>) {
    count(event);
    let Some(sink) = SINK.get() else { return };
    let mut buffer = sink.buffer.lock().unwrap_or_else(PoisonError::into_inner);
    if !admit(buffer.bytes.len(), event) {
        buffer.dropped += 1;
        return;
    }
    #[allow(clippy::disallowed_methods, reason = "the time is only logged")]
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let time_ms = millis(since);
    let line = Line { time_ms, instance: &sink.instance, event };
    if serde_json::to_writer(&mut buffer.bytes, &line).is_ok() {
        buffer.bytes.push(b'\n');
    }
    sink.filled.notify_one();
}

/// Whether a line is kept at this fill. Of a request, either all lines are kept or none, apart from failures, which are kept
/// until the buffer is full.
fn admit(fill: usize, event: &Event<'_>) -> bool {
    if fill >= BUFFER_BYTES {
        return false;
    }
    if fill < SAMPLING_FILL_BYTES || event.is_failure() {
        return true;
    }
    event.request().is_none_or(|request| {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        hasher.finish().is_multiple_of(SAMPLE_DIVISOR)
    })
}

fn run_writer() {
    let Some(sink) = SINK.get() else { return };
    loop {
        let waiting = sink.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let filled = sink.filled.wait_while(waiting, |buffer| buffer.bytes.is_empty());
        drop(filled.unwrap_or_else(PoisonError::into_inner));
        std::thread::sleep(WRITE_INTERVAL);
        let (bytes, dropped) = {
            let mut buffer = sink.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.dropped))
        };
        // An error can't be reported, since standard output is gone.
        let _ = write_lines(&mut std::io::stdout(), &bytes);
        if dropped > 0 {
            emit(&Event::LinesDropped { lines: dropped });
        }
    }
}

/// Writes whole lines in chunks of at most [`WRITE_BYTES`] bytes; a longer line is a chunk of its own.
fn write_lines(out: &mut impl Write, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let whole = bytes[..bytes.len().min(WRITE_BYTES)].iter().rposition(|byte| *byte == b'\n');
        let end = whole.or_else(|| bytes.iter().position(|byte| *byte == b'\n'));
        let (chunk, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        out.write_all(chunk)?;
        bytes = rest;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
