//! Moving grants of idle models to better places, one at a time.
//!
//! Endpoints come and go, and a failure domain that comes back holds nothing; without this the grants would
//! stay where they were put while others were away.

use record::Decision;
use state::Member;

use crate::decide::{Rules, by_model};
use crate::draft::Draft;
use crate::picture::{Model, Picture};

/// How many grants one search for a better place looks at.
pub(crate) const LOOKED_AT: usize = 64;
/// How much better a place must be, so that grants don't go to and fro: half of an endpoint's memory.
const MARGIN: f64 = 0.5;

/// A grant of an idle model whose replica would be much better elsewhere, to be revoked so that the next
/// round grants it there; of grants from the number `first` on, at most [`LOOKED_AT`] are looked at.
pub(crate) fn rebalance(
    picture: &Picture,
    models: &[Model],
    rules: &Rules<'_>,
    first: usize,
) -> Option<Decision> {
    let staying: Vec<&Member> = picture.members.iter().collect();
    let mut draft = Draft::new(rules, &staying);
    let (all, _) = by_model(models, picture.grants.iter());
    draft.note_held(&all);
    let idle = all.iter().filter(|(model, _)| model.idle && model.closing.near == 0);
    let movable = idle.flat_map(|(model, grants)| {
        let grants_of = grants.as_slice();
        grants.iter().map(move |grant| (*model, *grant, grants_of))
    });
    let looked = movable.skip(first).take(LOOKED_AT);
    let savings = looked.filter_map(|(model, grant, others)| {
        let saved = draft.saving(model, grant, others)?;
        (saved > MARGIN).then_some((saved, grant))
    });
    let (_, grant) = savings.max_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Decision::Revoke { grant: grant.id, reason: "another endpoint suits better".to_owned() })
}

#[cfg(test)]
mod tests;
