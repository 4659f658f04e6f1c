use super::{Rate, Size, Span};

#[test]
fn quantities_are_parsed_from_their_text() {
    for text in ["6GiB", "1536MiB", "10B"] {
        assert_eq!(text.parse::<Size>().expect("a size").to_string(), text);
    }
    assert_eq!("1m 30s".parse::<Span>().expect("a span"), Span::secs(90));
    assert_eq!("7/s".parse::<Rate>().expect("a rate").to_string(), "7/s");
}

#[test]
fn the_error_for_a_missing_unit_shows_an_example() {
    let err = "6".parse::<Size>().expect_err("no unit");
    assert_eq!(err.to_string(), "`6` is not a size; write for example `6GiB`");
    assert!("7".parse::<Rate>().is_err());
    assert!("-1/s".parse::<Rate>().is_err());
    assert!("30".parse::<Span>().is_err());
}
