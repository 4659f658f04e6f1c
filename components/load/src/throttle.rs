//! Limits the processor time of processes, as small machines do.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::time::{ClockId, clock_gettime};
use nix::unistd::Pid;

/// The interval at which the processor time of the processes is read.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Unused processor time that a process may use later.
const MAX_CREDIT_S: f64 = 0.002;
/// The processor time that a paused process gets at once when it goes on.
const MIN_SLICE_S: f64 = 0.000_5;

/// Pauses processes so that each uses no more than a share of a core. Those that use less are not paused. Dropping it lets all
/// processes go on.
#[derive(Debug)]
pub struct Throttle {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Throttle {
    /// Limits the processes with these ids, which are children of this one, each to this share of a core.
    pub fn start(ids: &[u32], share: f64) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let mut processes: Vec<Limited> = ids.iter().map(|id| Limited::new(*id)).collect();
        let run = move || {
            let mut last = Instant::now();
            while !stopped.load(Ordering::Relaxed) {
                std::thread::sleep(CHECK_INTERVAL);
                let now = Instant::now();
                let earned = (now - last).as_secs_f64() * share;
                processes.iter_mut().for_each(|process| process.check(earned));
                last = now;
            }
            processes.iter_mut().for_each(|process| process.set_paused(false));
        };
        let thread = std::thread::Builder::new().name("throttle".to_owned()).spawn(run)?;
        Ok(Self { stop, thread: Some(thread) })
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The processor time that a process has used so far; zero once it has ended.
pub fn processor_time(id: u32) -> Duration {
    let clock = ClockId::pid_cpu_clock_id(pid(id));
    clock.and_then(clock_gettime).map(Duration::from).unwrap_or_default()
}

fn pid(id: u32) -> Pid {
    Pid::from_raw(i32::try_from(id).expect("the id of a process"))
}

#[derive(Debug)]
struct Limited {
    id: u32,
    used: Duration,
    /// Processor time in seconds that the process may still use; negative if it has used too much.
    credit_s: f64,
    paused: bool,
}

impl Limited {
    fn new(id: u32) -> Self {
        Self { id, used: processor_time(id), credit_s: 0.0, paused: false }
    }

    /// Adds earned processor time, takes off what the process has used, and pauses it or lets it go on.
    fn check(&mut self, earned_s: f64) {
        let used = processor_time(self.id);
        let spent_s = used.saturating_sub(self.used).as_secs_f64();
        self.used = used;
        self.credit_s = (self.credit_s + earned_s - spent_s).min(MAX_CREDIT_S);
        if self.credit_s < 0.0 {
            self.set_paused(true);
        } else if self.credit_s >= MIN_SLICE_S {
            self.set_paused(false);
        }
    }

    fn set_paused(&mut self, paused: bool) {
        if self.paused != paused {
            let signal = if paused { Signal::SIGSTOP } else { Signal::SIGCONT };
            // A process that has ended gets no signal.
            let _ = kill(pid(self.id), signal);
            self.paused = paused;
        }
    }
}
