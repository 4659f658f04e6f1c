//! Tests of the story of a request.

use super::*;

const ROUTER: &str = r#"
   0.10 front-1 {"time_ms":1000,"instance":"front-1","event":"configured","version":7,"before":0,"routes":2}
{"time_ms":1500,"instance":"front-1","event":"accepted","request":"r1","route":"chat","version":7,"model":"m/a1","left_ms":12000}
{"time_ms":1500,"instance":"front-1","event":"accepted","request":"r2","route":"chat","version":7,"model":"n","left_ms":12000}
{"time_ms":1500,"instance":"front-1","event":"wanted","model":"m","endpoint":"i-1","expect_ms":500,"cause":"request"}
{"time_ms":2100,"instance":"front-1","event":"step","request":"r1","step":"sent","endpoint":"i-1","sends":0,"inflight":1,"age_ms":0,"cause":""}
{"time_ms":2300,"instance":"front-1","event":"answered","request":"r1","status":200,"first_ms":700,"total_ms":800,"gap_ms":9,"whole":true}
some other program
{"time_ms":2400,"instance":"front-1","event":"answ
"#;

const LOADER: &str = r#"{"time_ms":1510,"instance":"side-1","event":"order","endpoint":"i-1","work":"load","model":"m","sequence":3,"outcome":"accepted"}
{"time_ms":2000,"instance":"side-1","event":"holds","endpoint":"i-1","models":2,"memory":0,"disk":5,"loading":"","version":4}
"#;

fn story(request: &str, logs: &[&str]) -> (String, Exit) {
    let dir = tempfile::tempdir().expect("a folder");
    let mut files = Vec::new();
    for (index, log) in logs.iter().enumerate() {
        let file = dir.path().join(format!("{index}.log"));
        std::fs::write(&file, log).expect("written");
        files.push(file);
    }
    let mut out = Vec::new();
    let exit = run(request, &files, &mut out).expect("a story");
    (String::from_utf8(out).expect("text"), exit)
}

#[test]
fn tells_what_became_of_a_request_over_all_processes() {
    let (text, exit) = story("r1", &[ROUTER, LOADER]);
    insta::assert_snapshot!(text, @r"
        -500 ms  front-1                  configured  before=0 routes=2 version=7
          +0 ms  front-1                  accepted    left_ms=12000 model=m/a1 route=chat version=7
          +0 ms  front-1                  wanted      cause=request endpoint=i-1 expect_ms=500 model=m
         +10 ms  side-1                   order       endpoint=i-1 model=m outcome=accepted sequence=3 work=load
        +600 ms  front-1                  step        age_ms=0 endpoint=i-1 inflight=1 sends=0 step=sent
        +800 ms  front-1                  answered    first_ms=700 gap_ms=9 status=200 total_ms=800 whole=true
    missing: 1 lines that are cut
    passed over: 1 lines of other programs
    ");
    assert_eq!(exit, Exit::Done);
}

#[test]
fn says_what_is_missing() {
    let (text, _) = story("r2", &[ROUTER]);
    assert!(text.contains("missing: how the request ended"), "{text}");
    let (text, _) = story("r1", &[ROUTER]);
    assert!(text.contains("missing: what i-1 held"), "{text}");
}

#[test]
fn says_that_there_is_no_such_request() {
    let (text, exit) = story("r9", &[ROUTER, ""]);
    assert!(text.starts_with("no line of the request `r9`"), "{text}");
    assert_eq!(exit, Exit::Rejected);
}

#[test]
fn names_a_file_that_cannot_be_read() {
    let error = run("r1", &["/nowhere/x.log".into()], &mut Vec::new()).expect_err("no file");
    assert!(error.to_string().contains("/nowhere/x.log"), "{error}");
}

#[test]
fn bytes_of_any_kind_do_no_harm() {
    let noise: Vec<u8> = (0..=255).cycle().take(4_000).collect();
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("noise.log");
    std::fs::write(&file, noise).expect("written");
    assert!(run("r1", &[file], &mut Vec::new()).is_ok());
}
