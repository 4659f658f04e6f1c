//! Prints what it costs to find the keepers of a stream, and those of all streams again once an endpoint joins:
//! `cargo run --release -p origin --example keepers`.

use std::hint::black_box;
use std::time::Duration;

use origin::{
    Keeper, KeeperState, MAX_ASKED, OriginTable, StreamKey, StreamOrigin, TOLD_KEEPERS, ToldStream,
    rank_keepers, retell,
};
use tokio::time::Instant;
use units::{Domain, EndpointId};

const STREAMS: u32 = 1_000;

fn key(number: u32) -> StreamKey {
    StreamKey::new(b"host", b"caller", &number.to_le_bytes())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    for count in [60, 598, 2_600] {
        measure(count)?;
    }
    measure_table()
}

fn measure(count: u32) -> Result<(), Box<dyn std::error::Error>> {
    let ids: Result<Vec<EndpointId>, _> =
        (0..count).map(|n| format!("i-{n:08x}").parse()).collect();
    let ids = ids?;
    let domains: Result<Vec<Domain>, _> = (0..5).map(|n| format!("zone-{n}").parse()).collect();
    let domains = domains?;
    let both = ids.iter().zip(domains.iter().cycle());
    let state = KeeperState::Serving;
    let keepers: Vec<_> =
        both.map(|(endpoint, domain)| Keeper { endpoint, domain, state }).collect();
    let start = Instant::now();
    for number in 0..STREAMS {
        black_box(rank_keepers(key(number), &keepers, MAX_ASKED));
    }
    let each = start.elapsed() / STREAMS;
    let before = &keepers[1..];
    let told = |number| {
        let chosen = rank_keepers(key(number), before, TOLD_KEEPERS);
        let told = chosen.iter().map(|index| before[*index].endpoint.clone()).collect();
        ToldStream { key: key(number), told }
    };
    let streams: Vec<_> = (0..STREAMS).map(told).collect();
    let start = Instant::now();
    let moved = black_box(retell(&streams, TOLD_KEEPERS, &domains[0], before, &keepers)).len();
    let again = start.elapsed();
    println!(
        "{count} keepers: {each:?} for a stream; {again:?} for {STREAMS} streams after a change, {moved} told again"
    );
    Ok(())
}

fn measure_table() -> Result<(), Box<dyn std::error::Error>> {
    let mut table = OriginTable::default();
    let now = Instant::now();
    let count = 16_384;
    for number in 0..2 * count {
        let origin = StreamOrigin {
            service: "chat-service".parse()?,
            software: Some("2026.1.1".parse()?),
            endpoint: format!("i-{number:08x}").parse()?,
            incarnation: None,
            confirmed: false,
            needs: origin::StreamNeeds::Nothing,
            begun: now,
        };
        table.record(key(number), origin, Duration::from_secs(60), now);
    }
    let each = now.elapsed() / (2 * count);
    println!("{each:?} for a record in a table of {} origins; resident memory:", table.len());
    let status = std::fs::read_to_string("/proc/self/status")?;
    status.lines().filter(|line| line.starts_with("VmRSS")).for_each(|line| println!("{line}"));
    Ok(())
}
