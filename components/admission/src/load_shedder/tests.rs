//! Replays load patterns against a simulated thread, in steps of a millisecond.

use std::collections::VecDeque;

use rstest::rstest;

use super::*;

/// A thread that works on one thing after the other.
struct Thread {
    start: Instant,
    now_ms: u64,
    /// Work in milliseconds that is queued, with the time at which a request's first part was queued.
    queue: VecDeque<Work>,
    /// Work that arises later, by its time.
    later: Vec<(u64, f64)>,
    /// Milliseconds of work that the thread has done beyond its time.
    overdrawn_ms: f64,
    idle_ms: f64,
    busy_since_ms: u64,
    shedder: LoadShedder,
    report: Report,
}

struct Work {
    cost_ms: f64,
    /// When the request was read, if its answer begins after this work.
    read_at_ms: Option<u64>,
}

#[derive(Default)]
struct Report {
    read: u32,
    closed: u32,
    /// How long reads waited until their first work was done.
    delays_ms: Vec<u64>,
    longest_without_read_ms: u64,
    last_read_ms: u64,
}

/// What a request costs, in milliseconds of the thread.
#[derive(Debug, Clone, Copy)]
struct Cost {
    first_ms: f64,
    /// The work for the rest of a stream, in this many parts 100 ms apart.
    part_ms: f64,
    parts: u32,
    /// The work for a connection that is closed unread.
    closed_ms: f64,
}

/// A machine with a small share of a core: 25 ms for a request in all.
const SLOW: Cost = Cost { first_ms: 9.0, part_ms: 0.8, parts: 20, closed_ms: 0.4 };
/// A machine that is twenty times as fast.
const FAST: Cost = Cost { first_ms: 0.45, part_ms: 0.04, parts: 20, closed_ms: 0.02 };

impl Thread {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            now_ms: 0,
            queue: VecDeque::new(),
            later: Vec::new(),
            overdrawn_ms: 0.0,
            idle_ms: 0.0,
            busy_since_ms: 0,
            shedder: LoadShedder::default(),
            report: Report::default(),
        }
    }

    fn reading(&self) -> BusyReading {
        BusyReading {
            at: self.start + Duration::from_millis(self.now_ms),
            idle_total: Duration::from_secs_f64(self.idle_ms / 1_000.0),
            busy_for: Duration::from_millis(self.now_ms - self.busy_since_ms),
        }
    }

    /// Lets requests arrive at this rate for a while; a part of them come on kept connections, which can't be closed unread.
    fn play(&mut self, seconds: u64, per_s: f64, kept_part: f64, cost: Cost) -> Report {
        self.report = Report { last_read_ms: self.now_ms, ..Report::default() };
        let mut due = 0.0;
        let mut number = 0_u64;
        let end = self.now_ms + seconds * 1_000;
        while self.now_ms < end {
            due += per_s / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                number += 1;
                let kept = (number as f64 * kept_part).fract() + kept_part >= 1.0;
                self.arrive(kept, cost);
            }
            self.work_for_a_millisecond();
        }
        std::mem::take(&mut self.report)
    }

    fn arrive(&mut self, kept: bool, cost: Cost) {
        let reading = self.reading();
        let read = if kept {
            self.shedder.record_read(reading);
            true
        } else {
            let admitted = self.shedder.admit(reading);
            if admitted {
                let without = self.now_ms - self.report.last_read_ms;
                self.report.longest_without_read_ms =
                    self.report.longest_without_read_ms.max(without);
                self.report.last_read_ms = self.now_ms;
            }
            admitted
        };
        if !read {
            self.report.closed += 1;
            self.queue.push_back(Work { cost_ms: cost.closed_ms, read_at_ms: None });
            return;
        }
        self.report.read += 1;
        self.queue.push_back(Work { cost_ms: cost.first_ms, read_at_ms: Some(self.now_ms) });
        for part in 1..=u64::from(cost.parts) {
            self.later.push((self.now_ms + part * 100, cost.part_ms));
        }
    }

    fn work_for_a_millisecond(&mut self) {
        let now = self.now_ms;
        let due = self.later.extract_if(.., |(at, _)| *at <= now);
        self.queue.extend(due.map(|(_, cost_ms)| Work { cost_ms, read_at_ms: None }));
        let mut left = 1.0 - self.overdrawn_ms;
        while left > 0.0
            && let Some(work) = self.queue.pop_front()
        {
            left -= work.cost_ms;
            if let Some(read_at) = work.read_at_ms {
                let done = now + (-left).max(0.0) as u64;
                self.report.delays_ms.push(done - read_at);
                self.shedder.record_answer();
            }
        }
        self.overdrawn_ms = (-left).max(0.0);
        self.now_ms += 1;
        if left > 0.0 {
            self.idle_ms += left;
            self.busy_since_ms = self.now_ms;
        }
    }
}

impl Report {
    /// The delay that this share of the reads do not exceed.
    fn delay_ms(&self, share: f64) -> u64 {
        let mut delays = self.delays_ms.clone();
        delays.sort_unstable();
        delays[((delays.len() - 1) as f64 * share) as usize]
    }
}

#[rstest]
#[case::slow(SLOW)]
#[case::fast(FAST)]
fn no_connection_is_closed_unread_while_the_thread_has_time(#[case] cost: Cost) {
    let mut thread = Thread::new();
    let calm = thread.play(30, 13.0, 0.5, cost);
    assert_eq!(calm.closed, 0, "{} read", calm.read);
}

#[test]
fn a_burst_that_a_fast_machine_can_serve_is_read() {
    let mut thread = Thread::new();
    thread.play(20, 13.0, 0.5, FAST);
    let burst = thread.play(10, 300.0, 0.0, FAST);
    assert_eq!(burst.closed, 0, "{} read", burst.read);
}

#[rstest]
#[case::three_times_what_it_can_serve(120.0)]
#[case::eight_times(300.0)]
fn what_is_read_in_a_flood_is_served_soon(#[case] per_s: f64) {
    let mut thread = Thread::new();
    thread.play(20, 13.0, 0.5, SLOW);
    thread.play(4, per_s, 0.0, SLOW);
    let flood = thread.play(10, per_s, 0.0, SLOW);
    // The thread can serve 40 requests per second.
    assert!(flood.read >= 200, "reads {} in ten seconds", flood.read);
    assert!(flood.delay_ms(0.5) <= 150, "median {} ms", flood.delay_ms(0.5));
    assert!(flood.delay_ms(0.95) <= 500, "95th percentile {} ms", flood.delay_ms(0.95));
}

#[test]
fn after_a_flood_all_connections_are_read_within_two_seconds() {
    let mut thread = Thread::new();
    thread.play(20, 13.0, 0.5, SLOW);
    thread.play(12, 300.0, 0.0, SLOW);
    thread.play(2, 13.0, 0.5, SLOW);
    let after = thread.play(10, 13.0, 0.5, SLOW);
    assert_eq!(after.closed, 0, "{} read", after.read);
}

#[test]
fn new_connections_are_accepted_while_kept_ones_use_all_the_time() {
    let mut thread = Thread::new();
    thread.play(20, 13.0, 0.5, SLOW);
    let busy = thread.play(20, 80.0, 0.9, SLOW);
    assert!(busy.longest_without_read_ms <= 700, "{} ms", busy.longest_without_read_ms);
}

#[test]
fn callers_on_kept_connections_are_asked_to_leave_only_in_overload() {
    let mut thread = Thread::new();
    thread.play(20, 13.0, 0.5, SLOW);
    assert!(!thread.shedder.is_overloaded(thread.reading()));
    thread.play(4, 80.0, 1.0, SLOW);
    assert!(thread.shedder.is_overloaded(thread.reading()));
}

#[test]
fn a_thread_that_stood_still_reads_on_as_before() {
    let mut thread = Thread::new();
    thread.play(20, 13.0, 0.5, SLOW);
    // The process is stopped while it works.
    thread.arrive(true, SLOW);
    thread.now_ms += 5_000;
    let after = thread.play(5, 13.0, 0.5, SLOW);
    assert_eq!(after.closed, 0, "{} read", after.read);
}
