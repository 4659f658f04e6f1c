//! Separates the speed of endpoints from the speed of their models.
//!
//! Load pattern: models differ in speed by four times, and each endpoint runs other ones. The logarithm of a time is the sum of an effect of the
//! endpoint and one of the model; both are found by median polish, which a few wrong times hardly change.

/// Rounds after which the fit ends also if it still changes.
const MAX_ROUNDS: u32 = 40;
/// The fit ends when no endpoint's effect changes by more than this; one per cent of a time.
const TOLERANCE: f64 = 0.01;

/// The time between events of one model at one endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    /// The index of the endpoint.
    pub(crate) endpoint: usize,
    /// The index of the model.
    pub(crate) model: usize,
    /// The logarithm of the time.
    pub(crate) log_gap: f64,
}

/// The logarithm of each endpoint's time factor, relative to the median endpoint. `None` for an endpoint without a model that runs at
/// another endpoint as well, since nothing tells its speed from that of its models.
pub(crate) fn fit(
    observations: &[Observation],
    endpoints: usize,
    models: usize,
) -> Vec<Option<f64>> {
    let by_model = group(observations.iter().copied(), models, |one| one.model);
    let shared = by_model.iter().filter(|seen| seen.len() > 1);
    let by_endpoint = group(shared.flatten().copied(), endpoints, |one| one.endpoint);
    let mut endpoint_effects = vec![0.0; endpoints];
    let mut model_effects = vec![0.0; models];
    let mut values = Vec::new();
    for _ in 0..MAX_ROUNDS {
        for (effect, seen) in model_effects.iter_mut().zip(&by_model) {
            values.clear();
            values.extend(seen.iter().map(|one| one.log_gap - endpoint_effects[one.endpoint]));
            *effect = median(&mut values).unwrap_or(0.0);
        }
        let mut change: f64 = 0.0;
        for (effect, seen) in endpoint_effects.iter_mut().zip(&by_endpoint) {
            values.clear();
            values.extend(seen.iter().map(|one| one.log_gap - model_effects[one.model]));
            let next = median(&mut values).unwrap_or(0.0);
            change = change.max((next - *effect).abs());
            *effect = next;
        }
        if change < TOLERANCE {
            break;
        }
    }
    let known = |index: usize| !by_endpoint[index].is_empty();
    let mut effects: Vec<f64> =
        (0..endpoints).filter(|index| known(*index)).map(|index| endpoint_effects[index]).collect();
    let center = median(&mut effects).unwrap_or(0.0);
    (0..endpoints).map(|index| known(index).then(|| endpoint_effects[index] - center)).collect()
}

/// Observations by one of their indices.
fn group(
    observations: impl Iterator<Item = Observation>,
    count: usize,
    index: impl Fn(&Observation) -> usize,
) -> Vec<Vec<Observation>> {
    let mut groups = vec![Vec::new(); count];
    for observation in observations {
        groups[index(&observation)].push(observation);
    }
    groups
}

/// The median, or the mean of the two middle values; `None` of no values.
fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let upper = *values.get(values.len() / 2)?;
    if values.len() % 2 == 1 {
        return Some(upper);
    }
    Some(f64::midpoint(values[values.len() / 2 - 1], upper))
}

#[cfg(test)]
mod tests;
