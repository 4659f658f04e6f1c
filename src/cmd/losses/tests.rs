//! Tests of the table of losses.

use super::*;

const LOG: &str = r#"
{"time_ms":1,"instance":"f","event":"accepted","request":"a","class":"stream-1","target_ms":400,"pause_ms":250,"left_ms":9}
{"time_ms":1,"instance":"f","event":"step","request":"a","step":"sent","waited_ms":0,"cold":false}
{"time_ms":1,"instance":"f","event":"answered","request":"a","status":200,"first_ms":90,"total_ms":900,"gap_ms":60,"whole":true}
{"time_ms":1,"instance":"f","event":"accepted","request":"b","class":"stream-1","target_ms":400,"pause_ms":250,"left_ms":9}
{"time_ms":1,"instance":"f","event":"step","request":"b","step":"sent","waited_ms":700,"cold":true}
{"time_ms":1,"instance":"f","event":"answered","request":"b","status":200,"first_ms":790,"total_ms":900,"gap_ms":60,"whole":true}
{"time_ms":1,"instance":"f","event":"accepted","request":"c","class":"stream-1","target_ms":400,"pause_ms":250,"left_ms":9}
{"time_ms":1,"instance":"f","event":"step","request":"c","step":"sent","waited_ms":0,"cold":false}
{"time_ms":1,"instance":"f","event":"answered","request":"c","status":200,"first_ms":90,"total_ms":900,"gap_ms":300,"whole":true}
{"time_ms":1,"instance":"f","event":"accepted","request":"d","class":"stream-1","target_ms":400,"pause_ms":250,"left_ms":9}
{"time_ms":1,"instance":"f","event":"refused","request":"d","status":503,"cause":"cold-too-long","after_ms":9,"held_ms":0}
{"time_ms":1,"instance":"f","event":"accepted","request":"e","class":"unsafe-2","target_ms":100,"pause_ms":0,"left_ms":9}
{"time_ms":1,"instance":"f","event":"left","request":"e","held_ms":9,"left_ms":0}
{"time_ms":1,"instance":"f","event":"answered","request":"begun-before","status":200,"first_ms":90,"gap_ms":3,"whole":true}
{"time_ms":2,"instance":"f","event":"acc
"#;

fn losses(log: &str, worths: &[Worth]) -> (String, Exit) {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("log");
    std::fs::write(&file, log).expect("written");
    let mut out = Vec::new();
    let exit = run(worths, &[file], &mut out).expect("a table");
    (String::from_utf8(out).expect("text"), exit)
}

#[test]
fn tells_by_class_what_was_lost_to_what() {
    let worth = Worth { class: "stream-1".to_owned(), timely: 2.0, late: 0.5 };
    let (text, exit) = losses(LOG, &[worth]);
    insta::assert_snapshot!(text);
    assert_eq!(exit, Exit::Done);
}

#[test]
fn says_that_there_are_no_requests() {
    let (text, exit) = losses("another program", &[]);
    assert!(text.starts_with("no request in 0 lines"), "{text}");
    assert_eq!(exit, Exit::Rejected);
}
