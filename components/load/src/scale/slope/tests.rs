use super::Slope;

#[test]
fn can_fit_a_straight_line() {
    let slope = Slope::fit([(40.0, 9.0), (80.0, 17.0), (160.0, 33.0)]);
    assert!((slope.each - 0.2).abs() < 1e-9, "{slope:?}");
    assert!((slope.base - 1.0).abs() < 1e-9, "{slope:?}");
    assert!((slope.at(2600.0) - 521.0).abs() < 1e-6, "{slope:?}");
}

#[test]
fn can_fit_points_of_one_size() {
    assert_eq!(Slope::fit([(10.0, 3.0), (10.0, 5.0)]), Slope { base: 4.0, each: 0.0 });
}
