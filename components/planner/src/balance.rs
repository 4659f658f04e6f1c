//! Moves grants of idle models to better endpoints, one at a time.
//!
//! Endpoints come and go, and a failure domain that returns after an outage holds no grants. Without rebalancing, grants
//! would stay on the endpoints that were chosen while others were absent.

use record::Decision;
use state::Member;

use crate::decide::{Rules, group_by_model};
use crate::draft::Draft;
use crate::round_input::{Model, RoundInput};

/// How many grants one search for a better endpoint examines.
pub(crate) const MAX_GRANTS_EXAMINED: usize = 64;
/// How much placement cost a move must save, so that grants do not move back and forth. With the default weights this
/// corresponds to grants for half of an endpoint's memory.
const MIN_SAVING: f64 = 0.5;

/// Finds the grant of an idle model that would gain most from another endpoint, and revokes it, so that the next round
/// grants the replica there. Examines at most [`MAX_GRANTS_EXAMINED`] grants of idle models, from position `first` on.
pub(crate) fn rebalance(
    input: &RoundInput,
    models: &[Model],
    rules: &Rules<'_>,
    first: usize,
) -> Option<Decision> {
    let members: Vec<&Member> = input.members.iter().collect();
    let mut draft = Draft::new(rules, &members);
    let (grouped, _) = group_by_model(models, input.grants.iter());
    draft.add_held(&grouped);
    let idle = grouped.iter().filter(|(model, _)| model.idle && model.closing.near_replicas == 0);
    let movable = idle.flat_map(|(model, grants)| {
        let model_grants = grants.as_slice();
        grants.iter().map(move |grant| (*model, *grant, model_grants))
    });
    let examined = movable.skip(first).take(MAX_GRANTS_EXAMINED);
    let savings = examined.filter_map(|(model, grant, model_grants)| {
        let saved = draft.relocation_saving(model, grant, model_grants)?;
        (saved > MIN_SAVING).then_some((saved, grant))
    });
    let (_, grant) = savings.max_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Decision::Revoke { grant: grant.id, reason: "another endpoint suits better".to_owned() })
}

#[cfg(test)]
mod tests;
