//! Tests of `hyssopctl waiting`.

use control::{QueueSummary, WaitingWorkspace};
use rstest::rstest;

use super::*;

/// An operator could not tell why requests wait.
#[rstest]
#[case::unknown(None, "rate unknown", None, "")]
#[case::known(Some(2.5), "2.5/s", None, "")]
#[case::of_one_version(None, "rate unknown", Some("v1"), " at version v1")]
fn shows_queues_and_counters(
    #[case] per_s: Option<f64>,
    #[case] rate: &str,
    #[case] software: Option<&str>,
    #[case] version: &str,
) {
    let school: units::WorkspaceName = "school".parse().expect("a name");
    let summary = QueueSummary {
        waiting: 3,
        workspaces: vec![WaitingWorkspace { name: school.clone(), waiting: 3 }],
        first_deadline: Duration::from_secs(4),
        last_deadline: Duration::from_secs(9),
        oldest: Duration::from_millis(800),
        priority: 1,
    };
    let (service, model) = ("llm".parse().expect("a name"), "m/a".parse().expect("a model"));
    let software = software.map(|text| text.parse().expect("a version"));
    let queue = QueueReport { service, model, software, summary, expect_ms: 1_200, per_s };
    let counters = vec![
        WorkspaceCounter { workspace: Some(school), tokens: 1_540 },
        WorkspaceCounter { workspace: None, tokens: 20 },
    ];
    let mut out = Vec::new();
    show(&WaitingReport { queues: vec![queue], counters }, &mut out).expect("written");
    let expected = format!(
        "queues: 1\n  llm m/a{version}: 3 waiting, the oldest for 800 ms, expected wait 1200 ms, {rate}\n    school: 3\n\
         tokens served lately, by workspace: 2\n  school: 1540\n  none: 20\n"
    );
    assert_eq!(String::from_utf8_lossy(&out), expected);
}
