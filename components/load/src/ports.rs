//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Finds `count` free loopback addresses, all different.
///
/// Another process may take one before it is used; the process that was to have it then says so and ends.
pub(crate) fn free(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let held: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}
