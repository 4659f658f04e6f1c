//! A store, routers and callers of one workspace, in steps of simulated time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use catalog::Limit;
use clock::Moment;
use quota::{Bounds, Bucket, BucketSpec, Roster, RosterWrite, RouterRecord, lendable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::Domain;

pub(super) const STEP: u64 = 20;
/// Routers read again after this time.
const READ: u64 = 2_000;
/// They try again after this time when the store does not answer.
const RETRY: u64 = 400;
/// The longest that a call to the store takes.
const SLOW: u64 = 1_500;
pub(super) const DOMAINS: usize = 4;
/// All are killed so long after they have joined.
pub(super) const KILLED: u64 = 10_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// Each router has its own share only.
    Equal,
    /// Routers lend each other tokens.
    Lent,
}

/// Through which routers requests come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Press {
    All,
    Domain,
    One,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Faults {
    None,
    /// All routers are killed once, and are back soon.
    Killed,
    All,
}

#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) routers: usize,
    pub(crate) rate: f64,
    /// Tokens that are asked for, as a part of the limit.
    pub(crate) load: f64,
    pub(crate) press: Press,
    pub(crate) sharing: Sharing,
    pub(crate) faults: Faults,
    pub(crate) seconds: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            routers: 21,
            rate: 20_000.0,
            load: 0.55,
            press: Press::All,
            sharing: Sharing::Lent,
            faults: Faults::None,
            seconds: 60,
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Result {
    /// The tokens of the worst window, as a part of what is allowed.
    pub(crate) worst: f64,
    /// The most that all shares were together at any moment.
    pub(crate) shares: f64,
    /// The part of the requests that were refused once all routers had joined.
    pub(crate) refused: f64,
    /// After all were killed: how long it took until most requests were let in.
    pub(crate) served: Option<Duration>,
    pub(crate) messages: f64,
    pub(crate) calls: f64,
}

/// A call to the store on its way.
#[derive(Debug)]
enum Call {
    /// A read: when it was sent, whether it reads all, what it brought, when that arrives.
    Read {
        sent: u64,
        whole: bool,
        news: Vec<(SocketAddr, Option<RouterRecord>)>,
        next: usize,
        at: u64,
    },
    /// A write, done already or to be done, and when its answer arrives, if it does.
    Put { write: RosterWrite, at: u64, answered: bool },
}

#[derive(Debug)]
pub(super) struct Router {
    pub(super) addr: SocketAddr,
    domain: Domain,
    pub(super) roster: Roster,
    pub(super) bucket: Option<(Bucket, Moment)>,
    pub(super) alive: bool,
    back: Option<u64>,
    pub(super) still: u64,
    no_store: u64,
    pub(super) no_peers: u64,
    next: Option<usize>,
    call: Option<Call>,
    idle: u64,
    pub(super) dry: u64,
    /// When a request of its own came last.
    pub(super) used: u64,
}

pub(crate) struct World {
    pub(super) plan: Plan,
    pub(super) rng: ChaCha8Rng,
    pub(super) start: Moment,
    pub(super) now: u64,
    log: Vec<(SocketAddr, Option<RouterRecord>)>,
    /// Writes that the store does later than they were sent.
    late: Vec<(u64, RosterWrite)>,
    pub(super) routers: Vec<Router>,
    /// What was let in: when, and how much.
    pub(super) admitted: VecDeque<(u64, f64)>,
    pub(super) sum: f64,
    pub(super) worst: f64,
    shares: f64,
    pub(super) asked: u32,
    pub(super) refused: u32,
    /// Half a second each since all were killed: requests, and how many were let in.
    pub(super) since_killed: Vec<(u32, u32)>,
    pub(super) messages: u32,
    calls: u32,
    pub(super) terms: BucketSpec,
    allowed: f64,
}

pub(super) const BOUNDS: Bounds =
    Bounds { window: Duration::from_secs(8), overshoot: 0.1, slack: 17_000.0 };

impl Router {
    /// What it lends of what is asked for.
    pub(super) fn fair(&mut self, now: u64, most: f64, terms: BucketSpec, start: Moment) -> f64 {
        let moment = start + Duration::from_millis(now);
        let Some(share) = self.roster.share(moment) else { return 0.0 };
        let Some((bucket, _)) = &mut self.bucket else { return most };
        let level = bucket.level(terms.share(share.count), moment);
        most.min(lendable(level, Duration::from_millis(now - self.used)))
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
            shares: 0.0,
            asked: 0,
            refused: 0,
            since_killed: Vec::new(),
            messages: 0,
            calls: 0,
            terms: BucketSpec::new(limit, BOUNDS),
            allowed: BOUNDS.allowed(limit),
            plan,
        };
        for _ in 0..world.plan.routers {
            world.add();
        }
        world
    }

    fn add(&mut self) {
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
            back: None,
            still: 0,
            no_store: 0,
            no_peers: 0,
            next: None,
            call: None,
            idle: 0,
            dry: 0,
            used: 0,
        });
    }

    pub(super) fn at(&self, millis: u64) -> Moment {
        self.start + Duration::from_millis(millis)
    }

    pub(crate) fn play(mut self) -> Result {
        // All have joined by then; only later callers are counted as refused.
        let joined = 14_000;
        let end = joined + self.plan.seconds * 1_000;
        while self.now < end {
            self.now += STEP;
            match self.plan.faults {
                Faults::None => {}
                Faults::Killed if self.now == joined + KILLED => {
                    (0..self.routers.len()).for_each(|at| self.kill(at, Some(self.now + 500)));
                }
                Faults::Killed => {}
                Faults::All => self.harm(),
            }
            self.store();
            for at in 0..self.routers.len() {
                self.turn(at);
            }
            self.shares = self.shares.max(self.all_shares());
            self.callers(joined);
        }
        #[allow(clippy::cast_precision_loss, reason = "few")]
        let seconds = end as f64 / 1_000.0;
        Result {
            worst: self.worst / self.allowed,
            shares: self.shares,
            refused: f64::from(self.refused) / f64::from(self.asked.max(1)),
            served: self.served(),
            messages: f64::from(self.messages) / seconds,
            calls: f64::from(self.calls) / seconds,
        }
    }

    fn served(&self) -> Option<Duration> {
        if std::env::var("LIMITS_REPORT").is_ok() && self.plan.faults == Faults::Killed {
            println!("{:?}", &self.since_killed[..self.since_killed.len().min(24)]);
        }
        let most = |(asked, let_in): &(u32, u32)| *let_in * 2 > *asked && *asked > 0;
        let half = u32::try_from(self.since_killed.iter().position(most)?).ok()?;
        Some(Duration::from_millis(500) * half)
    }

    /// What all routers that run have together.
    fn all_shares(&self) -> f64 {
        let moment = self.at(self.now);
        let run = self.routers.iter().filter(|router| router.alive && router.still <= self.now);
        run.filter_map(|router| router.roster.share(moment))
            .map(|share| 1.0 / f64::from(share.count))
            .sum()
    }

    /// One fault in about 700 ms.
    fn harm(&mut self) {
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
                self.add();
            }
            3 if self.routers.len() < 40 => self.add(),
            4 => self.routers[at].still = until,
            5 => self.routers[at].no_store = until,
            6 => self.routers[at].no_peers = until,
            7 if self.rng.random_bool(0.3) => {
                // Half of them are cut off from the store at once, or all of them are killed.
                let all = self.rng.random_bool(0.3);
                for at in 0..self.routers.len() {
                    if all {
                        self.kill(at, Some(self.now + 500));
                    } else if at % 2 == 0 {
                        self.routers[at].no_store = until;
                    }
                }
            }
            _ => {}
        }
    }

    fn kill(&mut self, at: usize, back: Option<u64>) {
        let router = &mut self.routers[at];
        if router.alive {
            (router.alive, router.back) = (false, back);
        }
    }

    fn store(&mut self) {
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

    /// A router's turn: it starts, takes the answer of a call, or makes one.
    fn turn(&mut self, number: usize) {
        let (now, moment) = (self.now, self.at(self.now));
        let router = &mut self.routers[number];
        if router.back.is_some_and(|back| back <= now) {
            (router.alive, router.back, router.bucket) = (true, None, None);
            (router.call, router.next) = (None, None);
            router.roster = Roster::new(router.addr, router.domain.clone());
        }
        if !router.alive || router.still > now {
            return;
        }
        match router.call.take() {
            Some(Call::Read { sent, whole, news, next, at }) if at <= now => {
                router.next = Some(next);
                let sent = self.start + Duration::from_millis(sent);
                router.roster.apply_read(news, whole, sent, moment);
                router.idle = now + if router.roster.share(moment).is_some() { READ } else { 300 };
                self.write(number);
            }
            Some(Call::Put { write, at, answered }) if at <= now => {
                if answered {
                    router.roster.confirm_write(&write, moment);
                    self.write(number);
                } else {
                    router.idle = now + RETRY;
                }
            }
            Some(call) => router.call = Some(call),
            None if router.idle <= now => self.read(number),
            None => {}
        }
    }

    fn read(&mut self, at: usize) {
        self.calls += 1;
        let router = &mut self.routers[at];
        if router.no_store > self.now {
            router.idle = self.now + RETRY;
            return;
        }
        let (there, back) = (self.delay(), self.delay());
        // What the store has when the read arrives is what it has now: the way there is counted before.
        let router = &mut self.routers[at];
        let (whole, news) = match router.next {
            Some(next) => (false, self.log[next..].to_vec()),
            None => (true, newest(&self.log)),
        };
        let sent = self.now.saturating_sub(there);
        let (next, at) = (self.log.len(), self.now + back);
        router.call = Some(Call::Read { sent, whole, news, next, at });
    }

    /// Writes what is to be written, if anything; some answers are lost, and some writes are done much later.
    fn write(&mut self, at: usize) {
        let moment = self.at(self.now);
        let Some(write) = self.routers[at].roster.next_write(moment) else { return };
        self.calls += 1;
        let cut = self.routers[at].no_store > self.now;
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
        if self.rng.random_bool(0.05) { self.rng.random_range(4..SLOW) } else { 4 }
    }
}

fn newest(log: &[(SocketAddr, Option<RouterRecord>)]) -> Vec<(SocketAddr, Option<RouterRecord>)> {
    let mut all: std::collections::BTreeMap<SocketAddr, Option<RouterRecord>> = Default::default();
    for (addr, record) in log {
        all.insert(*addr, record.clone());
    }
    all.into_iter().filter(|(_, record)| record.is_some()).collect()
}
