//! Tests of whether a request may still be sent to the endpoint that was chosen for it.

use fleet::Endpoint;

use crate::software::fixture::{Versions, version};

/// While a request waits for the grant of a rate limit, its endpoint restarts with other software, and its entries don't say in
/// which incarnation: the stream would go on at another version.
#[tokio::test(start_paused = true)]
async fn a_begun_stream_is_not_sent_to_an_endpoint_that_has_changed_its_version_since_the_choice() {
    let mut test = Versions::new(&["v1"]);
    let (now, wanted) = (test.now, test.wanted.clone());
    let tracked = test.endpoint("i-0");
    assert!(tracked.is_open_for(Some(&wanted), now));
    let entry =
        Endpoint { incarnation: None, software: Some(version("v2")), ..tracked.endpoint.clone() };
    assert!(tracked.apply_entry(entry, now), "other software is another incarnation");
    assert!(!tracked.is_open_for(Some(&wanted), now));
    assert!(tracked.is_open_for(None, now), "as before for other requests");
}
