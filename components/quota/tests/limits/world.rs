//! Simulates a store, routers and the callers of one workspace, in steps of simulated time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use catalog::Limit;
use clock::Moment;
use quota::{Bounds, Bucket, BucketSpec, Lease, Pool, Roster, RosterWrite, RouterRecord, lendable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::Domain;

use super::returns::Returns;

/// The simulated time of one step.
pub(super) const STEP_MS: u64 = 20;
/// The interval between a router's reads of the roster.
const READ_INTERVAL_MS: u64 = 2_000;
/// The delay after which a router repeats a call that the store did not answer.
const RETRY_DELAY_MS: u64 = 400;
/// The longest delay of a message to or from the store.
const MAX_DELAY_MS: u64 = 1_500;
/// The number of failure domains.
pub(super) const DOMAINS: usize = 4;
/// With `Faults::KillAll`, the time between the end of joining and the kill.
pub(super) const KILL_ALL_AFTER_MS: u64 = 10_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// Each router uses its own share only.
    EqualShares,
    /// Routers borrow tokens from each other.
    Borrowing,
    /// A router that is short of tokens asks the responsible coordinator, which promises tokens to callers over the limit.
    Promises,
}

/// The routers that requests arrive at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Traffic {
    AllRouters,
    OneDomain,
    OneRouter,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Faults {
    None,
    /// All routers are killed once and restart 500 ms later.
    KillAll,
    /// Single routers are killed at random times, and restart soon after.
    Restarts,
    /// Every kind of fault, at random times.
    All,
}

#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) routers: usize,
    /// The limit in tokens per second.
    pub(crate) rate: f64,
    /// The tokens that callers request, as a fraction of the limit.
    pub(crate) load: f64,
    pub(crate) traffic: Traffic,
    pub(crate) sharing: Sharing,
    pub(crate) faults: Faults,
    pub(crate) seconds: u64,
    /// The callers' requests during one part of the time, if they send more then.
    pub(crate) surge: Option<Surge>,
    /// Whether refused callers send their request once more.
    pub(crate) retries: bool,
}

/// A part of the time in which callers send more requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Surge {
    /// When it begins and ends, in seconds after all routers have joined.
    pub(crate) from: u64,
    pub(crate) to: u64,
    /// By how much the usual rate is multiplied.
    pub(crate) factor: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            routers: 21,
            rate: 20_000.0,
            load: 0.55,
            traffic: Traffic::AllRouters,
            sharing: Sharing::Borrowing,
            faults: Faults::None,
            seconds: 60,
            surge: None,
            retries: false,
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Report {
    /// The tokens admitted in the worst window, as a fraction of the allowed ones.
    pub(crate) worst_window: f64,
    /// The highest sum of all routers' shares at any moment.
    pub(crate) max_shares: f64,
    /// The fraction of the requests that were refused after all routers had joined.
    pub(crate) refused_fraction: f64,
    /// The time from the kill of all routers until most requests were admitted.
    pub(crate) recovery_time: Option<Duration>,
    /// Messages between routers per second.
    pub(crate) messages_per_s: f64,
    pub(crate) store_calls_per_s: f64,
    /// The requests that were refused although the workspace asked for less than its limit, first and repeated ones.
    pub(crate) refused_below: Fraction,
    /// The callers that returned as told and were refused again.
    pub(crate) second_refusals: Fraction,
    /// The requests that were admitted in the end, of all that callers sent first.
    pub(crate) served: Fraction,
}

/// A part of a number of requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fraction {
    pub(crate) part: u32,
    pub(crate) of: u32,
}

impl Fraction {
    pub(super) fn count(&mut self, is_part: bool) {
        self.of += 1;
        self.part += u32::from(is_part);
    }

    pub(crate) fn value(self) -> f64 {
        f64::from(self.part) / f64::from(self.of.max(1))
    }
}

/// A call to the store in progress.
#[derive(Debug)]
enum Call {
    /// A read: when it was sent, whether it returns all records, what it returns, and when the answer arrives.
    Read {
        sent: u64,
        complete: bool,
        records: Vec<(SocketAddr, Option<RouterRecord>)>,
        next: usize,
        at: u64,
    },
    /// A write that the store has done, does later or never does, and when its answer or the timeout arrives.
    Put { write: RosterWrite, at: u64, answered: bool },
}

#[derive(Debug)]
pub(super) struct Router {
    pub(super) addr: SocketAddr,
    domain: Domain,
    pub(super) roster: Roster,
    pub(super) bucket: Option<(Bucket, Moment)>,
    pub(super) alive: bool,
    restart_at: Option<u64>,
    pub(super) suspended_until: u64,
    /// Until when the router can't reach the store.
    store_cut_until: u64,
    /// Until when the router can't reach the other routers, nor they it.
    pub(super) peers_cut_until: u64,
    next_offset: Option<usize>,
    call: Option<Call>,
    next_read_at: u64,
    pub(super) borrowing_paused_until: u64,
    /// When the last request of the router's own callers arrived.
    pub(super) last_used: u64,
    /// With `Sharing::Promises`, the bucket with its leases and promises, and the share that it is of.
    pub(super) pool: Option<(Pool, Moment)>,
    /// When the router's process started.
    pub(super) started: u64,
    /// Leases that other routers have answered, and when the answers arrive.
    pub(super) incoming: Vec<(u64, Lease, f64)>,
}

pub(crate) struct World {
    pub(super) plan: Plan,
    pub(super) rng: ChaCha8Rng,
    pub(super) start: Moment,
    pub(super) now: u64,
    /// The records in the store, in the order in which they were written.
    log: Vec<(SocketAddr, Option<RouterRecord>)>,
    /// Writes that the store applies later than they were sent.
    late: Vec<(u64, RosterWrite)>,
    pub(super) routers: Vec<Router>,
    /// The admitted requests of the newest window: when, and their tokens.
    pub(super) admitted: VecDeque<(u64, f64)>,
    /// The tokens of `admitted`.
    pub(super) sum: f64,
    /// The highest value of `sum`.
    pub(super) worst: f64,
    max_shares: f64,
    pub(super) asked: u32,
    pub(super) refused: u32,
    /// For each half second since the kill of all routers: the number of requests, and of those admitted.
    pub(super) admitted_since_kill: Vec<(u32, u32)>,
    pub(super) messages: u32,
    calls: u32,
    pub(super) spec: BucketSpec,
    allowed: f64,
    pub(super) returns: Returns,
}

pub(super) const BOUNDS: Bounds =
    Bounds { window: Duration::from_secs(8), overshoot: 0.1, slack: 17_000.0 };

impl Router {
    /// The tokens that the router lends of the `most` that another one asks for.
    pub(super) fn lendable_tokens(
        &mut self,
        now: u64,
        most: f64,
        spec: BucketSpec,
        start: Moment,
    ) -> f64 {
        let moment = start + Duration::from_millis(now);
        let Some(share) = self.roster.share(moment) else { return 0.0 };
        let Some((bucket, _)) = &mut self.bucket else { return most };
        let level = bucket.level(spec.share(share.count), moment);
        most.min(lendable(level, Duration::from_millis(now - self.last_used)))
    }
}

impl World {
    pub(crate) fn new(plan: Plan, seed: u64) -> Self {
        let limit = Limit { rate: plan.rate, burst: plan.rate };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Moment::now(),
            now: 0,
            log: Vec::new(),
            late: Vec::new(),
            routers: Vec::new(),
            admitted: VecDeque::new(),
            sum: 0.0,
            worst: 0.0,
            max_shares: 0.0,
            asked: 0,
            refused: 0,
            admitted_since_kill: Vec::new(),
            messages: 0,
            calls: 0,
            spec: BucketSpec::new(limit, BOUNDS),
            allowed: BOUNDS.allowed(limit),
            returns: Returns::default(),
            plan,
        };
        for _ in 0..world.plan.routers {
            world.add_router();
        }
        world
    }

    fn add_router(&mut self) {
        let number = u16::try_from(self.routers.len()).expect("few");
        let [high, low] = number.to_be_bytes();
        let addr = SocketAddr::from(([10, 0, high, low], 8_144));
        let domain: Domain =
            format!("hall-{}", self.routers.len() % DOMAINS).parse().expect("a name");
        self.routers.push(Router {
            roster: Roster::new(addr, domain.clone()),
            addr,
            domain,
            bucket: None,
            alive: true,
            restart_at: None,
            suspended_until: 0,
            store_cut_until: 0,
            peers_cut_until: 0,
            next_offset: None,
            call: None,
            next_read_at: 0,
            borrowing_paused_until: 0,
            last_used: 0,
            pool: None,
            started: self.now,
            incoming: Vec::new(),
        });
    }

    pub(super) fn at(&self, millis: u64) -> Moment {
        self.start + Duration::from_millis(millis)
    }

    pub(crate) fn run(mut self) -> Report {
        // All routers have joined by then; refused requests are counted only afterwards.
        let joined = 14_000;
        let end = joined + self.plan.seconds * 1_000;
        while self.now < end {
            self.now += STEP_MS;
            match self.plan.faults {
                Faults::None => {}
                Faults::KillAll if self.now == joined + KILL_ALL_AFTER_MS => {
                    (0..self.routers.len()).for_each(|at| self.kill(at, Some(self.now + 500)));
                }
                Faults::KillAll => {}
                Faults::Restarts => self.restart_one(),
                Faults::All => self.inject_fault(),
            }
            self.apply_late_writes();
            for at in 0..self.routers.len() {
                self.step_router(at);
            }
            if self.plan.surge.is_none() {
                let shares = match self.plan.sharing {
                    Sharing::Promises => self.sum_of_pools(),
                    Sharing::EqualShares | Sharing::Borrowing => self.sum_of_shares(),
                };
                self.max_shares = self.max_shares.max(shares);
            }
            self.step_leases();
            self.step_callers(joined);
            self.step_returns(joined);
        }
        #[allow(clippy::cast_precision_loss, reason = "few")]
        let seconds = end as f64 / 1_000.0;
        Report {
            worst_window: self.worst / self.allowed,
            max_shares: self.max_shares,
            refused_fraction: f64::from(self.refused) / f64::from(self.asked.max(1)),
            recovery_time: self.recovery_time(),
            messages_per_s: f64::from(self.messages) / seconds,
            store_calls_per_s: f64::from(self.calls) / seconds,
            refused_below: self.returns.refused_below,
            second_refusals: self.returns.second_refusals,
            served: self.returns.served,
        }
    }

    fn recovery_time(&self) -> Option<Duration> {
        if std::env::var("LIMITS_REPORT").is_ok() && self.plan.faults == Faults::KillAll {
            println!("{:?}", &self.admitted_since_kill[..self.admitted_since_kill.len().min(24)]);
        }
        let most = |(asked, admitted): &(u32, u32)| *admitted * 2 > *asked && *asked > 0;
        let half_seconds = u32::try_from(self.admitted_since_kill.iter().position(most)?).ok()?;
        Some(Duration::from_millis(500) * half_seconds)
    }

    /// The sum of the shares of all running routers.
    fn sum_of_shares(&self) -> f64 {
        let moment = self.at(self.now);
        let running =
            self.routers.iter().filter(|router| router.alive && router.suspended_until <= self.now);
        running
            .filter_map(|router| router.roster.share(moment))
            .map(|share| 1.0 / f64::from(share.count))
            .sum()
    }

    /// Restarts a router about every 2 s.
    fn restart_one(&mut self) {
        if self.rng.random_bool(0.01) {
            let at = self.rng.random_range(0..self.routers.len());
            let back = self.now + self.rng.random_range(20..1_000);
            self.kill(at, Some(back));
        }
    }

    /// Injects a fault about every 700 ms.
    fn inject_fault(&mut self) {
        if !self.rng.random_bool(0.03) {
            return;
        }
        let at = self.rng.random_range(0..self.routers.len());
        let until = self.now + self.rng.random_range(500..14_000);
        match self.rng.random_range(0..8) {
            0 | 1 => {
                let back = self.now + self.rng.random_range(200..3_000);
                self.kill(at, Some(back));
            }
            2 if self.routers.len() < 40 => {
                self.kill(at, None);
                self.add_router();
            }
            3 if self.routers.len() < 40 => self.add_router(),
            4 => self.routers[at].suspended_until = until,
            5 => self.routers[at].store_cut_until = until,
            6 => self.routers[at].peers_cut_until = until,
            7 if self.rng.random_bool(0.3) => {
                // Cuts every second router off from the store at once, or kills all routers.
                let all = self.rng.random_bool(0.3);
                for at in 0..self.routers.len() {
                    if all {
                        self.kill(at, Some(self.now + 500));
                    } else if at % 2 == 0 {
                        self.routers[at].store_cut_until = until;
                    }
                }
            }
            _ => {}
        }
    }

    fn kill(&mut self, at: usize, restart_at: Option<u64>) {
        let router = &mut self.routers[at];
        if router.alive {
            (router.alive, router.restart_at) = (false, restart_at);
        }
    }

    fn apply_late_writes(&mut self) {
        let now = self.now;
        let (due, late) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = late;
        let due: Vec<(u64, RosterWrite)> = due;
        for (_, write) in due {
            self.append(write);
        }
    }

    fn append(&mut self, write: RosterWrite) {
        self.log.push(match write {
            RosterWrite::Put(addr, record) => (addr, Some(record)),
            RosterWrite::Delete(addr) => (addr, None),
        });
    }

    /// Runs one step of a router: it starts, handles the answer to a call, or makes a call.
    fn step_router(&mut self, number: usize) {
        let (now, moment) = (self.now, self.at(self.now));
        let router = &mut self.routers[number];
        if router.restart_at.is_some_and(|restart_at| restart_at <= now) {
            (router.alive, router.restart_at, router.bucket) = (true, None, None);
            (router.call, router.next_offset) = (None, None);
            (router.pool, router.started) = (None, now);
            router.incoming.clear();
            router.roster = Roster::new(router.addr, router.domain.clone());
        }
        if !router.alive || router.suspended_until > now {
            return;
        }
        match router.call.take() {
            Some(Call::Read { sent, complete, records, next, at }) if at <= now => {
                router.next_offset = Some(next);
                let sent = self.start + Duration::from_millis(sent);
                router.roster.apply_read(records, complete, sent, moment);
                router.next_read_at = now
                    + if router.roster.share(moment).is_some() { READ_INTERVAL_MS } else { 300 };
                self.write(number);
            }
            Some(Call::Put { write, at, answered }) if at <= now => {
                if answered {
                    router.roster.confirm_write(&write, moment);
                    self.write(number);
                } else {
                    router.next_read_at = now + RETRY_DELAY_MS;
                }
            }
            Some(call) => router.call = Some(call),
            None if router.next_read_at <= now => self.read(number),
            None => {}
        }
    }

    fn read(&mut self, at: usize) {
        self.calls += 1;
        let router = &mut self.routers[at];
        if router.store_cut_until > self.now {
            router.next_read_at = self.now + RETRY_DELAY_MS;
            return;
        }
        let (there, back) = (self.delay(), self.delay());
        // The read arrives at the store now and was sent earlier, so that it returns the current records.
        let router = &mut self.routers[at];
        let (complete, records) = match router.next_offset {
            Some(next) => (false, self.log[next..].to_vec()),
            None => (true, newest(&self.log)),
        };
        let sent = self.now.saturating_sub(there);
        let (next, at) = (self.log.len(), self.now + back);
        router.call = Some(Call::Read { sent, complete, records, next, at });
    }

    /// Sends the next write, if one is due. Some answers are lost, and some writes are applied much later.
    fn write(&mut self, at: usize) {
        let moment = self.at(self.now);
        let Some(write) = self.routers[at].roster.next_write(moment) else { return };
        self.calls += 1;
        let cut = self.routers[at].store_cut_until > self.now;
        let lost = self.plan.faults == Faults::All && self.rng.random_bool(0.1);
        if !cut && lost && self.rng.random_bool(0.5) {
            let late = self.now + self.rng.random_range(100..6_000);
            self.late.push((late, write.clone()));
        } else if !cut {
            self.append(write.clone());
        }
        let at_ms = self.now + if cut || lost { 1_000 } else { self.delay() };
        self.routers[at].call = Some(Call::Put { write, at: at_ms, answered: !cut && !lost });
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.05) { self.rng.random_range(4..MAX_DELAY_MS) } else { 4 }
    }
}

/// The newest record of each key.
fn newest(log: &[(SocketAddr, Option<RouterRecord>)]) -> Vec<(SocketAddr, Option<RouterRecord>)> {
    let mut all: std::collections::BTreeMap<SocketAddr, Option<RouterRecord>> = Default::default();
    for (addr, record) in log {
        all.insert(*addr, record.clone());
    }
    all.into_iter().filter(|(_, record)| record.is_some()).collect()
}
