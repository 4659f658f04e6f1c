use http::Request;
use proptest::prelude::{ProptestConfig, prop_assert, proptest};
use rstest::rstest;

use super::*;

fn head(method: &str, path: &str, headers: &[(&str, &str)]) -> Result<Head, Invalid> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (parts, ()) = request.body(()).expect("the test's requests are valid").into_parts();
    Head::read(&parts)
}

#[rstest]
#[case("POST", "/v1/completions", Route::Completion)]
#[case("POST", "/v1/chat/completions", Route::Completion)]
#[case("GET", "/v1/models", Route::Models)]
fn can_read_routes(#[case] method: &str, #[case] path: &str, #[case] route: Route) {
    assert_eq!(head(method, path, &[]).expect("the route exists").route, route);
}

#[rstest]
#[case("/services/darwaza/badges/7?x=1&y=2", "/badges/7?x=1&y=2")]
#[case("/services/darwaza/", "/")]
#[case("/services/darwaza", "/")]
#[case("/services/darwaza?x", "/?x")]
fn can_read_service_routes(#[case] path: &str, #[case] rest: &str) {
    let name = "darwaza".parse().expect("a service name");
    let route = head("PUT", path, &[]).expect("the route exists").route;
    assert_eq!(route, Route::Service { name, path: rest.to_owned() });
}

#[rstest]
#[case("GET", "/v1/completions", "wrong-method")]
#[case("DELETE", "/v1/models", "wrong-method")]
#[case("POST", "/v2/completions", "no-route")]
#[case("GET", "/", "no-route")]
#[case("GET", "/services/", "no-route")]
#[case("GET", "/services//x", "no-route")]
fn errors_on_wrong_routes(#[case] method: &str, #[case] path: &str, #[case] kind: &str) {
    assert_eq!(head(method, path, &[]).expect_err("the route is wrong").kind(), kind);
}

#[rstest]
#[case("hyssop-deadline", "soon")]
#[case("hyssop-deadline", "-5s")]
#[case("hyssop-deadline", "")]
#[case("hyssop-class", "royal")]
#[case("hyssop-group", "a b")]
#[case("hyssop-group", "")]
#[case("idempotency-key", "")]
fn errors_on_wrong_headers(#[case] name: &str, #[case] value: &str) {
    let error = head("POST", "/v1/completions", &[(name, value)]).expect_err("the value is wrong");
    assert!(matches!(&error, Invalid::Header { name: named, .. } if *named == name), "{error}");
}

#[test]
fn errors_on_a_long_key() {
    let key = "k".repeat(KEY_LEN + 1);
    let error = head("POST", "/v1/completions", &[("idempotency-key", &key)]);
    assert_eq!(error.expect_err("the key is too long").kind(), "bad-header");
}

#[rstest]
#[case("POST", "/badges", false)]
#[case("post", "/badges", false)]
#[case("POST", "/badges/7", false)]
#[case("POST", "/BADGES/7?x=1", false)]
#[case("GET", "/badges/7", true)]
#[case("POST", "/doors", true)]
#[case("POST", "/%62adges", false)]
#[case("POST", "//badges", false)]
#[case("POST", "/doors/../badges", false)]
#[case("POST", "/doors?next=/%62", true)]
fn can_tell_what_may_be_repeated(
    #[case] method: &str,
    #[case] path: &str,
    #[case] repeatable: bool,
) {
    let method = method.parse().expect("a method");
    let rules = ["POST /badges".to_owned()];
    assert_eq!(is_repeatable(&rules, &method, path), repeatable);
}

#[test]
fn can_repeat_anything_without_rules() {
    assert!(is_repeatable(&[], &Method::POST, "//badges/%2e"));
}

#[rstest]
#[case(r#"{"prompt":"x"}"#)]
#[case(r#"{"model":7}"#)]
#[case(r#"{"model":"a","model":"b"}"#)]
#[case(r#"{"model":"a""#)]
#[case(r#"[]"#)]
#[case("")]
fn errors_on_wrong_bodies(#[case] body: &'static str) {
    let error = asked_model(&Bytes::from(body)).expect_err("the body is wrong");
    assert_eq!(error.kind(), "bad-body");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn can_read_any_path(path in "/[ -~&&[^ \"<>\\\\^`{}#]]{0,40}") {
        if let Ok(uri) = path.parse::<http::Uri>() {
            let read = route(&Method::POST, uri.path(), uri.query());
            let known = uri.path().starts_with("/v1/") || uri.path().starts_with(SERVICES);
            prop_assert!(known || read.is_err());
        }
    }
}
