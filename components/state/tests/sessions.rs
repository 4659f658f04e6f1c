//! Golden files of whole sessions: the records as the log holds them, what became of each, and the state.

mod common;

use std::fmt::Write;

use common::{
    Log, add, attach, claim, decide, edit, gone, grant, grant_id, id, leave, model, release,
    remove, revoke, set,
};
use record::{Body, Record};
use rstest::rstest;
use serde_json::json;
use state::{Applied, State, Verdict, chunks, join, to_text};
use tree::NodeKind;
use units::{Epoch, Offset};

/// A process that applies the log's text and writes down what it sees.
#[derive(Debug, Default)]
struct Reader {
    state: State,
    account: String,
}

impl Reader {
    fn read(&mut self, offset: Offset, text: &str) {
        let applied = self.state.apply_bytes(offset, text.as_bytes());
        writeln!(self.account, "{offset} {text}").expect("a string takes all");
        self.account.push_str(&verdicts(&applied));
    }

    fn end(mut self) -> String {
        let summary = serde_json::to_string_pretty(&self.state.summary()).expect("it is text");
        writeln!(self.account, "{summary}").expect("a string takes all");
        for grant in self.state.grants() {
            let text = serde_json::to_string(grant).expect("grants are text");
            writeln!(self.account, "{text}").expect("a string takes all");
        }
        self.account
    }
}

fn verdicts(applied: &Applied) -> String {
    let line = |verdict: &Verdict| match verdict {
        Verdict::Done => "    done\n".to_owned(),
        Verdict::Void(void) => format!("    void: {void}\n"),
    };
    applied.verdicts.iter().map(line).collect()
}

fn read(log: &Log) -> Reader {
    let mut reader = Reader::default();
    for (offset, record) in (1..).map(Offset).zip(&log.records) {
        reader.read(offset, &serde_json::to_string(record).expect("records are text"));
    }
    reader
}

/// Epoch 1, a model `page` of at most 2 replicas, endpoints a, b and c attached at 3, 4 and 5.
fn opened() -> Log {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    log.put("ops", edit("open", 0, model("page", 2, "8GiB")));
    for endpoint in ["a", "b", "c"] {
        let instance = format!("{endpoint}-1");
        log.put(&instance, Body::Attach(attach(endpoint, &instance, 0)));
    }
    log
}

fn lease_lapses_while_its_holder_is_paused() -> Log {
    let mut log = opened();
    log.put("entry-1", decide(1, vec![grant("page", 0, "a")]));
    log.put("entry-1", Body::Renew { epoch: Epoch(1) });
    log.put("entry-2", claim(1));
    log.put("entry-3", claim(1));
    log.put("entry-1", decide(1, vec![revoke(6, 0), grant("page", 1, "b")]));
    log.put("entry-2", decide(8, vec![grant("page", 1, "c")]));
    log.put("entry-1", Body::Resign { epoch: Epoch(1) });
    log.put("entry-2", Body::Resign { epoch: Epoch(8) });
    log.put("entry-2", decide(8, vec![revoke(11, 0)]));
    log.put("entry-1", claim(8));
    log
}

fn grant_moves_off_a_leaving_endpoint() -> Log {
    let mut log = opened();
    log.put("entry-1", decide(1, vec![grant("page", 0, "a"), grant("page", 1, "b")]));
    log.put("a-1", leave("a", 3));
    log.put("entry-1", decide(1, vec![grant("page", 0, "c")]));
    log.put("a-1", release("a", 3, vec![grant_id(6, 0)]));
    log.put("entry-1", decide(1, vec![grant("page", 0, "a"), grant("page", 0, "c")]));
    log.put("entry-1", decide(1, vec![gone("a", 3)]));
    log
}

fn answers_to_appends_are_lost() -> Log {
    let mut log = opened();
    let granted = decide(1, vec![grant("page", 0, "a")]);
    let record = Record::new("grant-1".to_owned(), id("entry-1"), 4, Offset(5), granted);
    log.put_record(record.clone());
    log.put_record(record.clone());
    log.put("entry-1", decide(1, vec![revoke(6, 0)]));
    log.put("a-1", release("a", 3, vec![grant_id(6, 0)]));
    log.put_record(record);
    log.put("ops", edit("open", 0, model("page", 2, "8GiB")));
    log
}

fn operators_race_on_one_setting() -> Log {
    let mut log = opened();
    let most = |most: u32| set("/page", "replicas-most", json!(most));
    log.put("ops-1", edit("more", 2, vec![most(3)]));
    log.put("ops-2", edit("fewer", 2, vec![most(1), set("/page", "queue", json!(5))]));
    log.put("ops-2", edit("queue", 2, vec![set("/page", "queue", json!(5))]));
    log.put("ops-1", edit("bad", 8, vec![most(0)]));
    log.put("ops-1", edit("new", 8, vec![add("/page/v2", NodeKind::Version)]));
    log.put("ops-2", edit("gone", 8, vec![remove("/page")]));
    log.put("ops-2", edit("gone-2", 10, vec![remove("/page")]));
    log
}

fn failure_domain_is_lost_in_a_closing_rush() -> Log {
    let mut log = opened();
    log.put("ops", edit("line", 5, model("line", 2, "70GiB")));
    let rush = vec![
        grant("page", 0, "a"),
        grant("page", 1, "b"),
        grant("line", 0, "b"),
        grant("line", 1, "c"),
    ];
    log.put("entry-1", decide(1, rush));
    log.put("entry-2", claim(1));
    let lost = vec![gone("a", 3), gone("b", 4), grant("page", 0, "c"), grant("page", 1, "a")];
    log.put("entry-2", decide(8, lost));
    log.put("b-1", release("b", 4, vec![grant_id(7, 2)]));
    log.put("b-1", Body::Attach(attach("b", "b-1", 4)));
    log.put("b-1", Body::Attach(attach("b", "b-1", 0)));
    log.put("entry-2", decide(8, vec![grant("page", 1, "b"), grant("line", 0, "b")]));
    log
}

fn agent_restarts_in_a_load() -> Log {
    let mut log = opened();
    log.put("entry-1", decide(1, vec![grant("page", 0, "a")]));
    log.put("a-1", Body::Attach(attach("a", "a-1", 3)));
    log.put("a-1", leave("a", 3));
    log.put("a-1", Body::Attach(attach("a", "a-1", 3)));
    log.put("a-2", Body::Attach(attach("a", "a-2", 7)));
    log.put("entry-1", decide(1, vec![gone("a", 3)]));
    log.put("entry-1", decide(1, vec![revoke(6, 0)]));
    log.put("a-1", release("a", 3, vec![grant_id(6, 0)]));
    log.put("a-1", release("a", 7, vec![grant_id(6, 0)]));
    log
}

fn snapshot_is_published() -> Log {
    let mut log = opened();
    for chunk in chunks(&log.state, 600) {
        log.put("entry-1", Body::Snapshot(chunk));
    }
    log.put("entry-1", decide(1, vec![grant("page", 0, "a")]));
    log
}

#[rstest]
#[case("lease", lease_lapses_while_its_holder_is_paused())]
#[case("leaving", grant_moves_off_a_leaving_endpoint())]
#[case("lost_answers", answers_to_appends_are_lost())]
#[case("racing_edits", operators_race_on_one_setting())]
#[case("lost_domain", failure_domain_is_lost_in_a_closing_rush())]
#[case("restart", agent_restarts_in_a_load())]
#[case("snapshot", snapshot_is_published())]
fn can_read_a_session(#[case] name: &str, #[case] log: Log) {
    let reader = read(&log);
    assert_eq!(to_text(&reader.state), to_text(&log.state));
    insta::assert_snapshot!(name, reader.end());
}

#[test]
fn can_start_from_published_chunks_and_the_records_after_them() {
    let log = snapshot_is_published();
    let bodies = log.records.iter().map(|record| &record.body);
    let parts: Vec<_> = bodies
        .filter_map(|body| match body {
            Body::Snapshot(chunk) => Some(chunk.clone()),
            _ => None,
        })
        .collect();
    let mut state = join(&parts).expect("all chunks are in the log");
    let missed = state.offset().0 as usize;
    for (offset, record) in (1..).map(Offset).zip(&log.records).skip(missed) {
        state.apply(offset, record);
    }
    assert_eq!(to_text(&state), to_text(&log.state));
}

#[test]
fn can_read_a_session_up_to_a_newer_program_s_record() {
    let mut reader = read(&opened());
    reader.read(Offset(6), "no record");
    reader.read(Offset(7), r#"{"needs":1,"id":"x","from":"x","tick":1,"body":{"kind":"dance"}}"#);
    reader.read(Offset(8), r#"{"needs":2,"id":"y","from":"y","tick":1,"body":{"kind":"dance"}}"#);
    let claim = Record::new("z".to_owned(), id("entry-2"), 9, Offset(8), claim(1));
    reader.read(Offset(9), &serde_json::to_string(&claim).expect("records are text"));
    insta::assert_snapshot!("newer_format", reader.end());
}
