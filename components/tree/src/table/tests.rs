use rstest::rstest;
use serde_json::{Value, json};

use super::{setting, table};
use crate::Settings;

#[test]
fn can_find_every_field_of_the_settings_in_the_table() {
    let Value::Object(fields) = serde_json::to_value(Settings::default()).expect("JSON") else {
        panic!("settings are an object");
    };
    let mut fields: Vec<&str> = fields.keys().map(String::as_str).collect();
    let mut names: Vec<&str> = table().iter().map(|setting| setting.name).collect();
    fields.sort_unstable();
    names.sort_unstable();
    assert_eq!(names, fields);
}

#[test]
fn can_put_every_default_but_the_missing_service() {
    for setting in table().iter().filter(|setting| setting.name != "service") {
        let mut settings = Settings::default();
        setting.put(&mut settings, &setting.default()).expect(setting.name);
        assert_eq!(settings, Settings::default(), "{}", setting.name);
    }
}

#[rstest]
#[case("deadline", json!("1ms"), "from \"100ms\" to \"1day\"")]
#[case("deadline", json!(30), "30 is not a span of time")]
#[case("weights", json!("6GB"), "\"6GB\" is not a size from \"1MiB\"")]
#[case("replicas-most", json!(65), "a whole number from 0 to 64")]
#[case("replicas-most", json!(1.5), "a whole number from 0 to 64")]
#[case("group-share", json!(1.1), "a number from 0 to 1")]
#[case("class", json!("fast"), "unknown variant `fast`, expected one of `urgent`")]
#[case("fenced", json!("yes"), "true or false")]
#[case("service", json!("two words"), "in the service name `two words`")]
#[case("not-repeatable", json!(["post /x"]), "write a method in capitals")]
#[case("not-repeatable", json!(["POST"]), "a path that begins with `/`")]
#[case("shed", json!(["series", "series"]), "a class is named twice")]
#[case("windows", json!([{"opens": "soon", "lasts": "1h", "zone": "UTC", "replicas": 1}]), "`soon` is no opening")]
#[case("windows", json!([{"opens": "monthly last 08:00", "lasts": "1h", "zone": "Mars", "replicas": 1}]), "`Mars` is no time zone")]
#[case("windows", json!([{"opens": "monthly last 08:00", "lasts": "0s", "zone": "UTC", "replicas": 1}]), "lasts no time")]
#[case("windows", json!([{"opens": "monthly last 08:00", "lasts": "29days", "zone": "UTC", "replicas": 1}]), "lasts 29days; at most 28days")]
#[case("windows", json!([{"opens": "monthly last 08:00", "lasts": "1h", "zone": "UTC", "replicas": 0}]), "for no replica")]
fn errors_on_a_value_and_says_what_would_be_right(
    #[case] name: &str,
    #[case] value: Value,
    #[case] hint: &str,
) {
    let setting = setting(name).expect("a setting");
    let mut settings = Settings::default();
    let error = setting.put(&mut settings, &value).expect_err("a wrong value");
    assert!(error.contains(hint), "{error}");
    assert_eq!(settings, Settings::default());
}

#[test]
fn can_tell_that_two_texts_mean_the_same() {
    let deadline = setting("deadline").expect("a setting");
    assert_eq!(deadline.usual(&json!("60m")), deadline.usual(&json!("1h")));
    assert_ne!(deadline.usual(&json!("61m")), deadline.usual(&json!("1h")));
}
