//! Who has a share: all routers, as the platform's store has them in one order for all.
//!
//! A router counts each other one from when it reads of it until it is certain that the other one has no share any more. That
//! holds because a share needs a read of the roster that is no older than [`SHARE_LEASE`]: whoever has not read that another one
//! joined, or that it was itself taken for gone, has no share [`SHARE_LEASE`] later.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serde::{Deserialize, Serialize};
use units::Domain;

/// Without a read that was sent less than this ago a router has no share.
const SHARE_LEASE: Duration = Duration::from_millis(7_500);
/// Between the record of a change and its effect, so that all have read it or have lost their shares.
const CHANGE_DELAY: Duration = Duration::from_millis(8_000);
/// A router writes its record again after this time.
const RENEW_INTERVAL: Duration = Duration::from_secs(20);
/// One whose record was not written for this time, while the store was read, is taken for gone.
const STALE_AFTER: Duration = Duration::from_secs(65);
/// Records of routers that are gone are dropped after this time.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// How far a router is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It waits until all others have counted it.
    Joining,
    /// It has, or had, a share.
    Member,
    /// Another one takes it for gone.
    Gone,
}

/// What the store keeps of a router, under the address at which other routers reach it: there is one process there at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterRecord {
    /// Its failure domain.
    pub domain: Domain,
    /// How far it is.
    pub stage: Stage,
}

/// What is known of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// Its failure domain.
    pub domain: Domain,
    /// When its record was read last.
    seen: Moment,
    /// Since when it is known to be gone: it is counted for a while yet.
    gone: Option<Moment>,
}

/// How far this router is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Own {
    /// The roster has not been read yet.
    Unread,
    /// It is not in it.
    Absent,
    /// It has been in it since then.
    Joining(Moment),
    /// It has had a share since then, as long as it reads.
    Member(Moment),
}

/// The share of this router in each limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// So many equal shares there are.
    pub count: u32,
    /// Since when it has had one: buckets fill from then on.
    pub since: Moment,
}

/// What is to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterWrite {
    /// The record of a router.
    Put(SocketAddr, RouterRecord),
    /// That of one that has been gone for long is dropped.
    Delete(SocketAddr),
}

/// What this router knows of who has a share.
#[derive(Debug)]
pub struct Roster {
    addr: SocketAddr,
    domain: Domain,
    seats: BTreeMap<SocketAddr, RosterEntry>,
    own: Own,
    /// When the newest read was sent.
    read: Option<Moment>,
    /// When the record of this router was written last.
    written: Option<Moment>,
}

impl Roster {
    /// Nothing is known yet to the router at this address.
    pub fn new(addr: SocketAddr, domain: Domain) -> Self {
        Self { addr, domain, seats: BTreeMap::new(), own: Own::Unread, read: None, written: None }
    }

    /// Takes what a read brought that was sent then; none stands for a record that was dropped. `whole` says whether what is
    /// not among them is not there.
    pub fn apply_read(
        &mut self,
        news: Vec<(SocketAddr, Option<RouterRecord>)>,
        whole: bool,
        sent: Moment,
        now: Moment,
    ) {
        if self.read.is_none_or(|read| sent.since(read) > SHARE_LEASE) {
            // Nobody's record could be read meanwhile.
            self.seats.values_mut().for_each(|seat| seat.seen = now);
        }
        if whole {
            let there: Vec<SocketAddr> = news.iter().map(|(addr, _)| *addr).collect();
            let missing = self.seats.iter_mut().filter(|(addr, _)| !there.contains(addr));
            missing.for_each(|(_, seat)| seat.leave(now));
            let own = there.contains(&self.addr);
            if !own {
                self.own = Own::Absent;
            }
        }
        for (addr, record) in news {
            match record {
                Some(record) if record.stage != Stage::Gone => self.see(addr, record, now),
                Some(record) => {
                    // Since when it is gone is not known to a router that has just started.
                    let seat = self.seats.entry(addr);
                    seat.or_insert(RosterEntry { domain: record.domain, seen: now, gone: None })
                        .leave(now);
                    self.leave(addr);
                }
                None => {
                    if let Some(seat) = self.seats.get_mut(&addr) {
                        seat.leave(now);
                    }
                    self.leave(addr);
                }
            }
        }
        self.read = self.read.max(Some(sent));
    }

    fn see(&mut self, addr: SocketAddr, record: RouterRecord, now: Moment) {
        if addr == self.addr {
            self.own = match (self.own, record.stage) {
                // A process before this one had a share, so that all count this address.
                (Own::Unread, Stage::Member) => Own::Member(now),
                (Own::Unread | Own::Absent, _) => Own::Joining(now),
                (own, _) => own,
            };
        }
        self.seats.insert(addr, RosterEntry { domain: record.domain, seen: now, gone: None });
    }

    fn leave(&mut self, addr: SocketAddr) {
        if addr == self.addr {
            self.own = Own::Absent;
        }
    }

    /// Notes that what was to be written is written.
    pub fn confirm_write(&mut self, write: &RosterWrite, now: Moment) {
        match write {
            RosterWrite::Put(addr, record) if *addr == self.addr => {
                self.written = Some(now);
                let seat = RosterEntry { domain: record.domain.clone(), seen: now, gone: None };
                self.seats.insert(*addr, seat);
                if self.own == Own::Absent {
                    self.own = Own::Joining(now);
                }
            }
            RosterWrite::Put(addr, _) => {
                if let Some(seat) = self.seats.get_mut(addr) {
                    seat.leave(now);
                }
            }
            RosterWrite::Delete(addr) => {
                self.seats.remove(addr);
            }
        }
    }

    /// What is to be written now, if anything.
    pub fn next_write(&mut self, now: Moment) -> Option<RosterWrite> {
        let record = |stage| RouterRecord { domain: self.domain.clone(), stage };
        match self.own {
            Own::Unread => return None,
            Own::Absent => return Some(RosterWrite::Put(self.addr, record(Stage::Joining))),
            Own::Joining(since) if now.since(since) >= CHANGE_DELAY => {
                self.own = Own::Member(since + CHANGE_DELAY);
                return Some(RosterWrite::Put(self.addr, record(Stage::Member)));
            }
            Own::Joining(_) => return None,
            Own::Member(_)
                if self.written.is_none_or(|written| now.since(written) >= RENEW_INTERVAL) =>
            {
                return Some(RosterWrite::Put(self.addr, record(Stage::Member)));
            }
            Own::Member(_) => {}
        }
        // One cleans up for all.
        let mut fresh = self.seats.iter().filter(|(_, seat)| !seat.stale(now));
        if fresh.next().is_none_or(|(first, _)| *first != self.addr) {
            return None;
        }
        self.seats.iter().find_map(|(addr, seat)| match seat.gone {
            Some(gone) => (now.since(gone) >= GONE_RETENTION).then_some(RosterWrite::Delete(*addr)),
            None if seat.stale(now) => {
                let record = RouterRecord { domain: seat.domain.clone(), stage: Stage::Gone };
                Some(RosterWrite::Put(*addr, record))
            }
            None => None,
        })
    }

    /// The share of this router, if it has one.
    pub fn share(&self, now: Moment) -> Option<Share> {
        let since = match self.own {
            Own::Member(since) => since,
            Own::Joining(since) if now.since(since) >= CHANGE_DELAY => since + CHANGE_DELAY,
            Own::Unread | Own::Absent | Own::Joining(_) => return None,
        };
        if now.since(self.read?) > SHARE_LEASE {
            return None;
        }
        let counted = self.seats.values().filter(|seat| seat.counts(now)).count();
        Some(Share { count: u32::try_from(counted).unwrap_or(u32::MAX), since })
    }

    /// When it is likely to have a share, while it has none.
    pub fn time_until_share(&self, now: Moment) -> Duration {
        match self.own {
            Own::Joining(since) => (since + CHANGE_DELAY).since(now),
            // A first read takes some milliseconds.
            Own::Unread => Duration::ZERO,
            Own::Absent => CHANGE_DELAY,
            Own::Member(_) => Duration::ZERO,
        }
    }

    /// The other routers.
    pub fn peers(&self) -> impl Iterator<Item = (SocketAddr, Domain)> {
        let others =
            self.seats.iter().filter(|(addr, seat)| **addr != self.addr && seat.gone.is_none());
        others.map(|(addr, seat)| (*addr, seat.domain.clone()))
    }
}

impl RosterEntry {
    fn leave(&mut self, now: Moment) {
        self.gone.get_or_insert(now);
    }

    fn stale(&self, now: Moment) -> bool {
        self.gone.is_some() || now.since(self.seen) >= STALE_AFTER
    }

    fn counts(&self, now: Moment) -> bool {
        self.gone.is_none_or(|gone| now.since(gone) < CHANGE_DELAY)
    }
}

#[cfg(test)]
mod tests;
