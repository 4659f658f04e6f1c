//! Folds the log again from its first record and counts its records.

use edge::Stream;
use fake::Log;
use record::{Body, Decision, Record};
use state::{State, Verdict};

/// Counts of the records in the log.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) state: State,
    /// Records of each kind.
    pub(crate) claims: usize,
    pub(crate) renewals: usize,
    pub(crate) rounds: usize,
    /// Claims that took effect.
    pub(crate) elected: usize,
    /// Decisions that took effect.
    pub(crate) grants: usize,
    pub(crate) revokes: usize,
    pub(crate) gone: usize,
    /// Decisions that did not take effect.
    pub(crate) void: usize,
    /// Snapshots, counted by their first part.
    pub(crate) snapshots: usize,
    /// By how many grants a model exceeded its maximum at most.
    pub(crate) over: usize,
}

impl History {
    pub(crate) fn of(log: &Log) -> Self {
        let mut history = Self::default();
        for entry in log.records(Stream::Control).entries {
            let record: Record = serde_json::from_slice(&entry.data).expect("a record");
            let applied = history.state.apply(entry.offset, &record);
            history.count(&record.body, &applied.verdicts);
        }
        history
    }

    fn count(&mut self, body: &Body, verdicts: &[Verdict]) {
        let done = verdicts.first() == Some(&Verdict::Done);
        match body {
            Body::Claim { .. } => {
                self.claims += 1;
                self.elected += usize::from(done);
            }
            Body::Renew { .. } => self.renewals += 1,
            Body::Snapshot(chunk) if chunk.part == 0 => self.snapshots += 1,
            Body::Decide { decisions, .. } => {
                self.rounds += 1;
                decisions
                    .iter()
                    .zip(verdicts)
                    .for_each(|(one, verdict)| self.decision(one, verdict));
            }
            _ => {}
        }
    }

    fn decision(&mut self, decision: &Decision, verdict: &Verdict) {
        match (verdict, decision) {
            (Verdict::Void(_), _) => self.void += 1,
            (Verdict::Done, Decision::Grant { model, .. }) => {
                self.grants += 1;
                let leaf = self.state.tree().model(model).expect("a model in force");
                let count = self.state.grants_of(model).count();
                let most = leaf.settings.replicas_most as usize;
                self.over = self.over.max(count.saturating_sub(most));
            }
            (Verdict::Done, Decision::Revoke { .. }) => self.revokes += 1,
            (Verdict::Done, Decision::Gone { .. }) => self.gone += 1,
        }
    }
}
