//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

/// Ports that the system hands out to nobody by itself, so that the port of a killed process stays unused.
const RANGE: Range<u16> = 10_000..32_000;

/// Finds `count` free loopback addresses, all different.
///
/// Another process may take one before it is used; the process that was to have it then says so and ends.
pub(crate) fn free(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let start = rand::random_range(RANGE);
    let ports = (start..RANGE.end).chain(RANGE.start..start);
    let bind = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok();
    let held: Vec<TcpListener> = ports.filter_map(bind).take(count).collect();
    if held.len() < count {
        return Err(std::io::Error::other(format!("fewer than {count} ports are free")));
    }
    held.iter().map(TcpListener::local_addr).collect()
}

#[cfg(test)]
mod tests;
