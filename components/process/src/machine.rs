//! What the machine gives to a process.

use nix::sys::resource::{Resource, getrlimit};

/// The memory and the descriptors of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// The memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// The number of files and sockets that the process may have open.
    pub open_files: u64,
}

/// The memory that is assumed if the operating system does not tell.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;
/// The descriptors that are assumed then.
const DEFAULT_OPEN_FILES: u64 = 1_024;

impl MachineLimits {
    /// What the operating system reports.
    pub fn detect() -> Self {
        let memory_bytes = memory_bytes().unwrap_or_else(|| {
            eprintln!(
                "process: /proc/meminfo does not tell the memory of the machine; assuming 256 MiB"
            );
            DEFAULT_MEMORY_BYTES
        });
        let open_files = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
        let open_files = open_files.unwrap_or_else(|error| {
            eprintln!("process: the limit on open files is unknown ({error}); assuming 1024");
            DEFAULT_OPEN_FILES
        });
        Self { memory_bytes, open_files }
    }
}

fn memory_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes << 10)
}
