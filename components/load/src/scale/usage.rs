//! What a process takes of the machine, as the system's process files tell it.

use std::time::Duration;

/// Ticks of processor time in a second, as Linux tells them to programs.
const TICKS: f64 = 100.0;

/// What a process takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Usage {
    /// Processor time since its start.
    pub(crate) busy: Duration,
    /// Resident memory in MB.
    pub(crate) resident: f64,
    /// Threads.
    pub(crate) threads: u32,
}

impl Usage {
    /// Reads it; nothing once the process has ended.
    pub(crate) fn read(pid: u32) -> Option<Self> {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).ok();
        parse(&read("stat")?, &read("status")?)
    }
}

/// Reads the text of the files `stat` and `status`.
fn parse(stat: &str, status: &str) -> Option<Usage> {
    // The name in brackets may have blanks; the fields after it are numbers.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u32>().ok();
    let busy = f64::from(ticks(11)? + ticks(12)?) / TICKS;
    let value = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u32>().ok()
    };
    Some(Usage {
        busy: Duration::from_secs_f64(busy),
        resident: f64::from(value("VmRSS:")?) * 1024.0 / 1e6,
        threads: value("Threads:")?,
    })
}

/// The machine's load average of the last minute.
pub(crate) fn machine_load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|word| word.parse().ok()).unwrap_or_default()
}

#[cfg(test)]
mod tests;
