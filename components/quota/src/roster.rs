//! The list of routers that share the limits, as the store keeps it in one order for all readers.
//!
//! A router counts every other router from the moment at which it reads that router's record until that router certainly has no
//! share any more. A share requires a read of the roster that is no older than [`SHARE_LEASE`]: a router that has not read that
//! another one joined, or that it was itself marked as gone, has no share [`SHARE_LEASE`] later.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serde::{Deserialize, Serialize};
use units::Domain;

/// A router has no share unless it sent a successful read of the roster within this time.
const SHARE_LEASE: Duration = Duration::from_millis(7_500);
/// The time between the record of a change and its effect. It exceeds [`SHARE_LEASE`], so that by then every router has read the
/// record or has lost its share.
const CHANGE_DELAY: Duration = Duration::from_millis(8_000);
/// The interval at which a router writes its record again.
const RENEW_INTERVAL: Duration = Duration::from_secs(20);
/// A router whose record was not written for this time, while the store could be read, is marked as gone.
const STALE_AFTER: Duration = Duration::from_secs(65);
/// Records of routers that are gone are deleted after this time.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// The membership state of a router, as written to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The router waits until all others have counted it.
    Joining,
    /// The router has a share while it reads the roster.
    Member,
    /// Another router has marked it as gone.
    Gone,
}

/// The record of a router in the store. Its key is the address at which other routers reach the router; at any time one process
/// has that address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterRecord {
    /// The failure domain of the router.
    pub domain: Domain,
    /// The membership state of the router.
    pub stage: Stage,
}

/// What this router knows of a router in the roster, itself included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// The failure domain of the router.
    pub domain: Domain,
    /// When the router's record was last read.
    seen: Moment,
    /// Since when the router is known to be gone. It counts for [`CHANGE_DELAY`] after that.
    gone: Option<Moment>,
}

/// The membership state of this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnState {
    /// The roster has not been read yet.
    Unread,
    /// The roster has no record of this router.
    Absent,
    /// This router has had a record since this moment, and has no share yet.
    Joining(Moment),
    /// This router has had a share since this moment, as long as it reads the roster.
    Member(Moment),
}

/// The share of this router in each limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The number of equal shares into which a limit is divided.
    pub count: u32,
    /// Since when this router has had a share. Its buckets fill from then on.
    pub since: Moment,
}

/// A write to the roster in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterWrite {
    /// Writes the record of a router.
    Put(SocketAddr, RouterRecord),
    /// Deletes the record of a router that has been gone for a minute.
    Delete(SocketAddr),
}

/// The roster, as this router knows it.
#[derive(Debug)]
pub struct Roster {
    addr: SocketAddr,
    domain: Domain,
    entries: BTreeMap<SocketAddr, RosterEntry>,
    own: OwnState,
    /// When the newest successful read was sent.
    read: Option<Moment>,
    /// When the record of this router was last written.
    written: Option<Moment>,
}

impl Roster {
    /// Creates the roster of the router at this address, before the first read.
    pub fn new(addr: SocketAddr, domain: Domain) -> Self {
        Self {
            addr,
            domain,
            entries: BTreeMap::new(),
            own: OwnState::Unread,
            read: None,
            written: None,
        }
    }

    /// Applies the records returned by a read that was sent at `sent`; `None` stands for a deleted record. If `complete`, the read
    /// returned all existing records, and a router that is not among them has none.
    pub fn apply_read(
        &mut self,
        records: Vec<(SocketAddr, Option<RouterRecord>)>,
        complete: bool,
        sent: Moment,
        now: Moment,
    ) {
        if self.read.is_none_or(|read| sent.since(read) > SHARE_LEASE) {
            // No record could be read in the meantime, so that no router is stale because of it.
            self.entries.values_mut().for_each(|entry| entry.seen = now);
        }
        if complete {
            let present: Vec<SocketAddr> = records.iter().map(|(addr, _)| *addr).collect();
            let missing = self.entries.iter_mut().filter(|(addr, _)| !present.contains(addr));
            missing.for_each(|(_, entry)| entry.mark_gone(now));
            let own = present.contains(&self.addr);
            if !own {
                self.own = OwnState::Absent;
            }
        }
        for (addr, record) in records {
            match record {
                Some(record) if record.stage != Stage::Gone => self.apply_record(addr, record, now),
                Some(record) => {
                    // A router that has just started does not know since when the other one has been gone.
                    let entry = self.entries.entry(addr);
                    entry
                        .or_insert(RosterEntry { domain: record.domain, seen: now, gone: None })
                        .mark_gone(now);
                    self.note_removal(addr);
                }
                None => {
                    if let Some(entry) = self.entries.get_mut(&addr) {
                        entry.mark_gone(now);
                    }
                    self.note_removal(addr);
                }
            }
        }
        self.read = self.read.max(Some(sent));
    }

    fn apply_record(&mut self, addr: SocketAddr, record: RouterRecord, now: Moment) {
        if addr == self.addr {
            self.own = match (self.own, record.stage) {
                // The previous process at this address had a share, so that all routers count the address already.
                (OwnState::Unread, Stage::Member) => OwnState::Member(now),
                (OwnState::Unread | OwnState::Absent, _) => OwnState::Joining(now),
                (own, _) => own,
            };
        }
        self.entries.insert(addr, RosterEntry { domain: record.domain, seen: now, gone: None });
    }

    /// Notes that the record at this address was deleted or marked as gone.
    fn note_removal(&mut self, addr: SocketAddr) {
        if addr == self.addr {
            self.own = OwnState::Absent;
        }
    }

    /// Notes that the store has confirmed a write.
    pub fn confirm_write(&mut self, write: &RosterWrite, now: Moment) {
        match write {
            RosterWrite::Put(addr, record) if *addr == self.addr => {
                self.written = Some(now);
                let entry = RosterEntry { domain: record.domain.clone(), seen: now, gone: None };
                self.entries.insert(*addr, entry);
                if self.own == OwnState::Absent {
                    self.own = OwnState::Joining(now);
                }
            }
            RosterWrite::Put(addr, _) => {
                if let Some(entry) = self.entries.get_mut(addr) {
                    entry.mark_gone(now);
                }
            }
            RosterWrite::Delete(addr) => {
                self.entries.remove(addr);
            }
        }
    }

    /// The next write that is due, if any.
    pub fn next_write(&mut self, now: Moment) -> Option<RosterWrite> {
        let record = |stage| RouterRecord { domain: self.domain.clone(), stage };
        match self.own {
            OwnState::Unread => return None,
            OwnState::Absent => return Some(RosterWrite::Put(self.addr, record(Stage::Joining))),
            OwnState::Joining(since) if now.since(since) >= CHANGE_DELAY => {
                self.own = OwnState::Member(since + CHANGE_DELAY);
                return Some(RosterWrite::Put(self.addr, record(Stage::Member)));
            }
            OwnState::Joining(_) => return None,
            OwnState::Member(_)
                if self.written.is_none_or(|written| now.since(written) >= RENEW_INTERVAL) =>
            {
                return Some(RosterWrite::Put(self.addr, record(Stage::Member)));
            }
            OwnState::Member(_) => {}
        }
        // Only the router with the lowest address among the live ones cleans up, on behalf of all.
        let mut live = self.entries.iter().filter(|(_, entry)| !entry.is_stale(now));
        if live.next().is_none_or(|(first, _)| *first != self.addr) {
            return None;
        }
        self.entries.iter().find_map(|(addr, entry)| match entry.gone {
            Some(gone) => (now.since(gone) >= GONE_RETENTION).then_some(RosterWrite::Delete(*addr)),
            None if entry.is_stale(now) => {
                let record = RouterRecord { domain: entry.domain.clone(), stage: Stage::Gone };
                Some(RosterWrite::Put(*addr, record))
            }
            None => None,
        })
    }

    /// The share of this router, if it has one.
    pub fn share(&self, now: Moment) -> Option<Share> {
        let since = match self.own {
            OwnState::Member(since) => since,
            OwnState::Joining(since) if now.since(since) >= CHANGE_DELAY => since + CHANGE_DELAY,
            OwnState::Unread | OwnState::Absent | OwnState::Joining(_) => return None,
        };
        if now.since(self.read?) > SHARE_LEASE {
            return None;
        }
        let counted = self.entries.values().filter(|entry| entry.counts(now)).count();
        Some(Share { count: u32::try_from(counted).unwrap_or(u32::MAX), since })
    }

    /// Until when this router has its share if the roster is not read again. Nobody may use the share later than that.
    pub fn share_end(&self, now: Moment) -> Option<Moment> {
        self.share(now)?;
        self.read.map(|read| read + SHARE_LEASE)
    }

    /// The address of this router.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// An estimate of the time until this router has a share, while it has none.
    pub fn time_until_share(&self, now: Moment) -> Duration {
        match self.own {
            OwnState::Joining(since) => (since + CHANGE_DELAY).since(now),
            // The first read takes some milliseconds.
            OwnState::Unread => Duration::ZERO,
            OwnState::Absent => CHANGE_DELAY,
            OwnState::Member(_) => Duration::ZERO,
        }
    }

    /// The other routers that are not gone.
    pub fn peers(&self) -> impl Iterator<Item = (SocketAddr, Domain)> {
        let peers =
            self.entries.iter().filter(|(addr, entry)| **addr != self.addr && entry.gone.is_none());
        peers.map(|(addr, entry)| (*addr, entry.domain.clone()))
    }
}

impl RosterEntry {
    fn mark_gone(&mut self, now: Moment) {
        self.gone.get_or_insert(now);
    }

    fn is_stale(&self, now: Moment) -> bool {
        self.gone.is_some() || now.since(self.seen) >= STALE_AFTER
    }

    /// Whether the router may still have a share.
    fn counts(&self, now: Moment) -> bool {
        self.gone.is_none_or(|gone| now.since(gone) < CHANGE_DELAY)
    }
}

#[cfg(test)]
mod tests;
