//! Shares that routers lease to another router for some seconds.
//!
//! Load pattern: the callers of a workspace reach a few of many routers, or one share does not hold a request. The router that leases
//! out its share has none until the lease ends. It counts the lease from the moment at which it answers, and the other router from
//! the earlier moment at which it asked, so that no two routers ever use the same share, whichever of them is suspended or cut off.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::BucketSpec;

/// How long a share is leased at most.
pub const LEASE_TIME: Duration = Duration::from_secs(4);
/// A coordinator renews its leases at this interval.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(2_500);
/// For how long after the last request that needed them leases are renewed. The tokens of a lease that ends are lost.
pub(crate) const IDLE_TIME: Duration = Duration::from_secs(30);

/// The share of another router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lease {
    /// The router that owns the share.
    pub owner: SocketAddr,
    /// The number of equal shares that the owner counts.
    pub count: u32,
    /// The end of the lease.
    pub until: Moment,
}

/// The share of a router together with the shares that it has leased from others or to another one.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    leased: Vec<Lease>,
    /// Until when this router's own share is leased to another router.
    granted: Option<Moment>,
    /// Until when this router's own share may still be leased by the process before this one.
    earlier: Option<Moment>,
}

impl Leases {
    /// The parameters of the bucket that all current shares make up.
    pub(crate) fn total(&self, terms: BucketSpec, own_count: u32) -> BucketSpec {
        let own = match self.granted.or(self.earlier) {
            Some(_) => BucketSpec { refill_rate: 0.0, capacity: 0.0 },
            None => terms.share(own_count),
        };
        self.leased.iter().fold(own, |sum, lease| {
            let share = terms.share(lease.count);
            BucketSpec {
                refill_rate: sum.refill_rate + share.refill_rate,
                capacity: sum.capacity + share.capacity,
            }
        })
    }

    /// The first end of a lease that is not later than now.
    pub(crate) fn next_end(&self, now: Moment) -> Option<Moment> {
        let ends = self.leased.iter().map(|lease| lease.until);
        let ends = ends.chain(self.granted).chain(self.earlier);
        ends.filter(|until| *until <= now).min()
    }

    /// Drops all leases that end by now.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.leased.retain(|lease| lease.until > now);
        self.granted = self.granted.filter(|until| *until > now);
        self.earlier = self.earlier.filter(|until| *until > now);
    }

    /// Adds or renews a lease.
    pub(crate) fn add(&mut self, lease: Lease) {
        self.leased.retain(|other| other.owner != lease.owner);
        self.leased.push(lease);
    }

    /// Leases out this router's own share, or renews that lease.
    pub(crate) fn grant(&mut self, until: Moment) {
        self.granted = self.granted.max(Some(until));
    }

    /// Keeps this router's own share unused until `until`, since an earlier process may have leased it out.
    pub(crate) fn wait_for_earlier(&mut self, until: Moment) {
        self.earlier = Some(until);
    }

    /// From now on no router uses a lease that an earlier process has granted.
    pub(crate) fn end_earlier(&mut self, now: Moment) {
        self.earlier = self.earlier.map(|until| until.min(now));
    }

    /// Drops the lease of a share, whose owner has restarted.
    pub(crate) fn release(&mut self, owner: SocketAddr) {
        self.leased.retain(|lease| lease.owner != owner);
    }

    /// Whether this router uses shares of others.
    pub(crate) fn has_leased(&self) -> bool {
        !self.leased.is_empty()
    }

    /// The number of shares of others that this router uses.
    pub(crate) fn leased_count(&self) -> usize {
        self.leased.len()
    }

    /// Until when this router's own share is, or may be, leased to another router.
    pub(crate) fn granted(&self) -> Option<Moment> {
        self.granted.max(self.earlier)
    }
}

#[cfg(test)]
mod tests;
