//! Processor time and memory of a process, as the system counts them.

/// What one clock tick of the system's counters is, in microseconds.
const TICK_MICROS: f64 = 10_000.0;

/// What a process has used.
#[derive(Debug)]
pub(crate) struct Usage {
    ticks: u64,
    /// Resident memory in bytes.
    pub(crate) resident: u64,
}

impl Usage {
    /// Reads the counters of a process.
    pub(crate) fn of(pid: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let number = |at: usize| fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
        Self { ticks: number(11) + number(12), resident: number(21) * 4096 }
    }

    /// What was used since an earlier reading.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        Self { ticks: self.ticks - earlier.ticks, resident: self.resident }
    }

    /// Processor time in microseconds.
    pub(crate) fn micros(&self) -> f64 {
        self.ticks as f64 * TICK_MICROS
    }
}
