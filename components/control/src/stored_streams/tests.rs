use units::EndpointIncarnation;

use super::*;

fn record(number: usize, keep: Duration) -> OriginRecord {
    OriginRecord {
        key: StreamKey::new(b"host", b"caller", &number.to_be_bytes()),
        service: "assistant-language-models".parse().expect("a service"),
        software: Some("2026.12.1-rc4".parse().expect("a version")),
        endpoint: "i-7f3a91c2d4e5".parse().expect("an endpoint"),
        incarnation: Some(EndpointIncarnation(1_796_452_571_983)),
        confirmed: true,
        needs: origin::StreamNeeds::Nothing,
        age: Duration::from_secs(2),
        keep,
    }
}

#[test]
fn a_stream_is_as_old_as_it_is_when_it_is_read() {
    let (at, second) = (UnixMillis(10_000), Duration::from_secs(1));
    let stored = StoredStreams::new(vec![record(0, 5 * second), record(1, second)], at);
    let read: Vec<OriginRecord> = stored.clone().into_records(at.after(3 * second)).collect();
    assert_eq!(read, [OriginRecord { age: 5 * second, keep: 2 * second, ..record(0, second) }]);
    let unconfirmed = OriginRecord { confirmed: false, ..record(0, 5 * second) };
    let stored_unconfirmed = StoredStreams::new(vec![unconfirmed.clone()], at);
    let read: Vec<OriginRecord> = stored_unconfirmed.into_records(at.after(second)).collect();
    assert_eq!(read, [OriginRecord { keep: 4 * second, ..unconfirmed }]);
    // The clock of the reader may be behind.
    let read: Vec<OriginRecord> = stored.into_records(UnixMillis(9_000)).collect();
    assert_eq!(read, [record(0, 5 * second), record(1, second)]);
}

/// The store refuses records of more than 262,144 bytes.
#[test]
fn the_record_of_many_streams_fits_the_store() {
    let keep = Duration::from_secs(50);
    let streams = (0..2 * MAX_STORED_STREAMS).map(|number| record(number, keep)).collect();
    let stored = StoredStreams::new(streams, UnixMillis(1_796_452_571_983));
    assert_eq!(stored.streams.len(), MAX_STORED_STREAMS);
    assert_eq!(stored.streams[0], record(MAX_STORED_STREAMS, keep), "the last ones are kept");
    let bytes = serde_json::to_vec(&stored).expect("JSON").len();
    assert!(bytes < 262_144, "{bytes} bytes");
}
