//! Tests of `hyssopctl workspaces`.

use catalog::Limit;
use control::DeniedKey;
use http::StatusCode;
use tokio::sync::watch;
use units::Revision;
use web::ServeOptions;

use super::*;

fn report() -> WorkspacesReport {
    let limit = Some(Limit { rate: 1_000.0, burst: 500.0 });
    WorkspacesReport {
        version: Revision(7),
        age_ms: Some(120),
        serves: true,
        shares: 21,
        workspaces: vec![WorkspaceReport {
            name: "school".parse().expect("a name"),
            keys: vec!["a7a39762".to_owned()],
            limit,
            left: 12.0,
            rate: 40.0,
            refused: 3,
            promised: 0.0,
        }],
        denied: vec![DeniedKey { key: String::new(), cause: "no key".to_owned(), count: 2 }],
    }
}

/// What `hyssopctl workspaces` prints for this report.
async fn shown(report: WorkspacesReport) -> String {
    let listener = web::bind(([127, 0, 0, 1], 0).into()).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    let handler = move |_: http::Request<hyper::body::Incoming>, _| {
        let answer = web::json(StatusCode::OK, &report);
        async move { answer }
    };
    tokio::spawn(web::serve(listener, ServeOptions::default(), stopped, handler));
    let mut out = Vec::new();
    assert_eq!(list(addr, &mut out).await.expect("an answer"), Exit::Done);
    String::from_utf8(out).expect("text")
}

#[tokio::test]
async fn shows_workspaces_and_refused_keys() {
    let expected = "configuration 7, proved 120 ms ago: keys are served\n\
         one of 21 equal shares in each limit\n\
         school: keys a7a39762\n  \
         limit 1000 a second and 500 at once, over all routers; here 40 a second, 12 left, 3 refused\n\
         refused 2 times: key none, no key\n";
    assert_eq!(shown(report()).await, expected);
}

#[tokio::test]
async fn shows_promised_tokens() {
    let mut report = report();
    report.workspaces[0].promised = 2_500.0;
    let text = shown(report).await;
    assert!(text.contains("12 left, 3 refused, 2500 promised\n"), "{text}");
}
