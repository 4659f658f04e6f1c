use super::*;

#[test]
fn can_tell_demand_once() {
    let model: ModelName = "page-text".parse().expect("a model name");
    let tally = Tally::default();
    tally.arrived(&model);
    tally.arrived(&model);
    tally.refused(&model);
    let demand = Demand { model, requests: 2, refused: 1 };
    assert_eq!(tally.take(), [demand]);
    assert!(tally.take().is_empty());
}
