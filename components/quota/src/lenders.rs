//! Whom a router asks for tokens that it is short of.

use std::net::SocketAddr;

use units::Domain;

/// So many that have next to nothing mean that nobody has.
const SAMPLE: usize = 3;
/// Next to nothing, as a part of what was asked for.
const NOTHING: f64 = 0.1;
/// The most that are asked for one request.
const MOST: usize = 31;

/// Other routers in the order in which they are asked: those of the same failure domain first, in waves that grow, since
/// most often one has enough, and a large request needs what many have.
#[derive(Debug)]
pub struct Lenders {
    order: Vec<SocketAddr>,
    wave: usize,
}

impl Lenders {
    /// An order; `key` gives a random number for each.
    pub fn new(
        others: impl IntoIterator<Item = (SocketAddr, Domain)>,
        near: &Domain,
        mut key: impl FnMut() -> u32,
    ) -> Self {
        let mut all: Vec<(bool, u32, SocketAddr)> =
            others.into_iter().map(|(addr, domain)| (domain != *near, key(), addr)).collect();
        all.sort_unstable();
        all.truncate(MOST);
        Self { order: all.into_iter().rev().map(|(_, _, addr)| addr).collect(), wave: 1 }
    }

    /// Who is asked next.
    pub fn next_wave(&mut self) -> Vec<SocketAddr> {
        let rest = self.order.len().saturating_sub(self.wave);
        self.wave *= 2;
        self.order.split_off(rest)
    }
}

/// Whether nobody is likely to have more, by what so many gave who were asked for so much each.
pub fn is_dry(asked: usize, wanted: f64, got: f64) -> bool {
    asked >= SAMPLE && got < wanted * NOTHING
}

#[cfg(test)]
mod tests;
