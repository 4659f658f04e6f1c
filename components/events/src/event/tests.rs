//! Tests of log lines and metrics against snapshots.

use origin::{Decision, Doubt};

use super::*;

/// Examples of events.
fn examples() -> Vec<Event<'static>> {
    let (request, endpoint, model, class) = ("r1", "i-1", "m", "stream-1");
    vec![
        Event::Started { program: "hyssop-router", version: "0.1.0" },
        Event::Stopping { requests: 3 },
        Event::Stopped { requests: 0 },
        Event::SnapshotReceived {
            router: "10.0.0.1:8144",
            version: 7,
            endpoints: 16,
            read: "1.90",
        },
        Event::StoreRestored { dependency: Dependency::Membership, before: "0.90", read: "1.70" },
        Event::NewestRead {
            topic: "endpoints",
            pages: 2,
            records: 612,
            bytes: 480_310,
            took_ms: 23,
            more: false,
        },
        Event::MirrorChosen { topic: "endpoints", mirror: "i-1", before: "" },
        Event::KeyRejected {
            request,
            key: "a7a39762",
            cause: "the key was taken away",
            version: 7,
            age_ms: 900,
        },
        Event::LimitExceeded {
            request,
            workspace: "school",
            cost: 1_540,
            left: 200,
            lent: 90,
            asked: 3,
            shares: 21,
            version: 7,
            promised: true,
            after_ms: 2_100,
        },
        Event::PromiseKept { workspace: "school", tokens: 1_540 },
        Event::ShareChanged { shares: 21, before: 0 },
        Event::EndpointSpeed { endpoint, factor: 1.7, events: 412, cause: "measured" },
        Event::EndpointsUneven { service: "llm", uneven: true },
        Event::Reloaded { outcome: "taken" },
        Event::DependencyLost {
            dependency: Dependency::Membership,
            name: "store",
            cause: "no answer",
        },
        Event::DependencyRegained {
            dependency: Dependency::Membership,
            name: "store",
            after_ms: 800,
        },
        Event::Unreadable { dependency: Dependency::Configuration, cause: "no routes" },
        Event::Configured { version: 7, before: 3, routes: 17 },
        Event::BodiesTooLarge { limit_bytes: 4 << 20, memory_bytes: 2 << 20 },
        Event::AcceptFailing { cause: "Too many open files (os error 24)" },
        Event::AcceptRecovered,
        Event::TaskPanicked { task: "membership", cause: "index out of bounds" },
        Event::Outdated { version: 3, current: 7 },
        Event::EndpointChanged {
            endpoint,
            addr: "10.0.0.2:8505".to_owned(),
            stage: "ready",
            software: "v1",
            cause: "",
        },
        Event::EndpointPaused { endpoint, pause_ms: 250, cause: "reset" },
        Event::Accepted {
            request,
            route: "chat",
            class,
            version: 7,
            model,
            left_ms: 12_000,
            target_ms: 400,
            pause_ms: 250,
            resumes: "r-7",
            last_event: Some(12),
        },
        Event::RateLimitChanged {
            endpoint: "i-1",
            limit: Some(1.5),
            before: None,
            cause: "its answer",
        },
        Event::RateLimited {
            endpoint: "i-1",
            limit: 1.5,
            after_ms: 640,
            cause: "the endpoint's rate limit is used up",
        },
        Event::Step {
            request,
            step: Step::Sent,
            endpoint,
            sends: 0,
            inflight: 3,
            age_ms: 120,
            quiet_ms: 30,
            waited_ms: 40,
            cold: true,
            digest: "",
            software: "v1",
            class,
            cause: "",
        },
        Event::Queued {
            request,
            class,
            model,
            workspace: "school",
            position: 2,
            length: 5,
            expect_ms: 640,
        },
        Event::Dequeued { request, class, model, waited_ms: 700 },
        Event::Answered {
            request,
            class,
            status: 200,
            first_ms: 90,
            total_ms: 1_500,
            gap_ms: 60,
            whole: true,
            framing: "chunked",
            tail_bytes: 0,
        },
        Event::Refused {
            request,
            class,
            status: 503,
            cause: Refusal::ColdTooLong,
            after_ms: 6_000,
            held_ms: 0,
        },
        Event::StreamResumption {
            request,
            at: ResumedAt::Caller,
            resumes: "r-7",
            outcome: ResumptionOutcome::SameVersion,
            software: "v1",
            source: Some(Source::Keeper),
            endpoint: "i-1",
            age_ms: 310,
            incarnation: 1_700_000_000_000,
            confirmed: Some(Confirmation::Start),
            evidence: None,
            versions: "",
            asked: 4,
            answered: 1,
            took_ms: 6,
        },
        Event::StreamResumption {
            request,
            at: ResumedAt::Caller,
            resumes: "",
            outcome: ResumptionOutcome::Unknown,
            software: "",
            source: None,
            endpoint: "",
            age_ms: 0,
            incarnation: 0,
            confirmed: None,
            evidence: None,
            versions: "v1,v2",
            asked: 4,
            answered: 4,
            took_ms: 9,
        },
        Event::StreamResumption {
            request,
            at: ResumedAt::Router,
            resumes: "",
            outcome: ResumptionOutcome::NoVersion,
            software: "v1",
            source: Some(Source::Own),
            endpoint: "i-1",
            age_ms: 70,
            incarnation: 0,
            confirmed: None,
            evidence: None,
            versions: "",
            asked: 0,
            answered: 0,
            took_ms: 0,
        },
        Event::StreamResumption {
            request,
            at: ResumedAt::Router,
            resumes: "",
            outcome: ResumptionOutcome::Restarted,
            software: "",
            source: None,
            endpoint: "i-1",
            age_ms: 40,
            incarnation: 0,
            confirmed: None,
            evidence: Some(Evidence::NoneListed),
            versions: "",
            asked: 0,
            answered: 0,
            took_ms: 2,
        },
        Event::VersionsRecorded { service: "llm", versions: "v1,v2" },
        Event::StreamsRecorded { streams: 24, bytes: 3_912 },
        Event::StreamsRemembered { streams: 18 },
        Event::VersionsChanged { service: "llm", versions: "v1,v2", before: "v1", told: 212 },
        Event::RouterLoad(RouterLoad {
            accepted: 210,
            read: 38,
            closed_unread: 160,
            unread: 12,
            open: 64,
            evicted: 5,
            refused: 2,
            body_bytes: 70_000,
            busy_percent: 78,
            processor_ms: 71,
            attend_delay_ms: 40,
            timer_delay_ms: 25,
            sent_bytes: 310_000,
        }),
        Event::OriginsNotTold { endpoint, streams: 3, cause: "no answer" },
        Event::CallerLeft { request, held_ms: 400, left_ms: 11_600 },
        Event::Retry { request, service: "llm", allowed: false, spent: 4, limit: 4 },
        Event::LoadRequested { model, endpoint, expect_ms: 350, cause: "request" },
        Event::LoadDeclined { model, endpoint, after_ms: 300, cause: crate::NO_ROOM },
        Event::Order {
            endpoint,
            work: "load",
            model,
            sequence: 5,
            outcome: OrderOutcome::Accepted,
        },
        Event::Loaded { endpoint, model, tier: Tier::Disk, took_ms: 380, expect_ms: 350 },
        Event::HoldingsChanged {
            endpoint,
            models: 2,
            memory: 2,
            disk: 9,
            loading: model,
            version: 12,
        },
        Event::TokenAcquired { token: 41 },
        Event::LoadPermit { model, worth: 2.5, waited_ms: 900, agreed: true },
        Event::RoomGiven {
            model,
            evicted: "n",
            waiting: 12,
            workspaces: "bakery,school",
            cause: RoomCause::Deadline,
        },
        Event::LinesDropped { lines: 9 },
    ]
}

#[test]
fn log_lines_match_the_snapshot() {
    let lines: Vec<String> =
        examples().iter().map(|event| serde_json::to_string(event).expect("a line")).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn metrics_match_the_snapshot() {
    let recorder = metrics_exporter_prometheus::PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || examples().iter().for_each(crate::count::count));
    let text = handle.render();
    let mut names: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with('#') && !line.is_empty() && !line.contains("quantile="))
        .filter(|line| !line.contains("_sum"))
        .collect();
    names.sort_unstable();
    insta::assert_snapshot!(names.join("\n"));
}

#[test]
fn only_incomplete_or_failed_answers_are_failures() {
    let answered = |status, whole| Event::Answered {
        request: "r",
        class: "",
        status,
        first_ms: 0,
        total_ms: 0,
        gap_ms: 0,
        whole,
        framing: "length",
        tail_bytes: 0,
    };
    assert!(!answered(200, true).is_failure());
    assert!(answered(200, false).is_failure());
    assert!(answered(502, true).is_failure());
}

/// Guards against lines of refused callers that are dropped first when the buffer is full.
#[test]
fn a_resumption_is_a_failure_if_the_stream_does_not_go_on() {
    let service = "llm".parse().expect("a service");
    let software = "v1".parse().expect("a version");
    let decisions = [
        (Decision::Anywhere, false),
        (Decision::At { service, software, source: Source::Own }, false),
        (Decision::Nowhere(Doubt::Unknown), true),
        (Decision::Nowhere(Doubt::Unread), true),
        (Decision::Nowhere(Doubt::Conflicting), true),
        (Decision::Nowhere(Doubt::OtherService), true),
        (Decision::Nowhere(Doubt::Restarted), true),
        (Decision::Nowhere(Doubt::NoEndpoint), true),
    ];
    for (decision, refused) in decisions {
        let event = Event::StreamResumption {
            request: "r",
            at: ResumedAt::Caller,
            resumes: "",
            outcome: (&decision).into(),
            software: "",
            source: None,
            endpoint: "",
            age_ms: 0,
            incarnation: 0,
            confirmed: None,
            evidence: None,
            versions: "",
            asked: 0,
            answered: 0,
            took_ms: 0,
        };
        assert_eq!(event.is_failure(), refused, "{decision:?}");
    }
}
