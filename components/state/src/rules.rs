//! The rules by which records change the state.

use record::{Attach, Body, Decision, GrantId, MAX_CACHED_CHECKPOINTS, Record};
use tree::Edit;
use units::{EndpointId, Epoch, Incarnation, InstanceId, Offset, Revision};

use crate::recent::expired;
use crate::{Applied, Grant, Lease, Member, State, Verdict, Void};

type Ruling = Result<(), Void>;

impl State {
    /// Applies the record at an offset. One at or below the newest offset changes nothing; the caller
    /// sees to it that none is left out.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        if let Some(void) = self.unready(offset) {
            return Applied::void(offset, void);
        }
        if record.needs > record::FORMAT_VERSION {
            return self.freeze(offset, record.needs);
        }
        self.advance(offset);
        if record.needs < record.body.format_version() {
            let cause = format!("format {} has no such kind", record.needs);
            return Applied::void(offset, Void::Malformed(cause));
        }
        if let Some(first) = self.recent.get(&record.id) {
            return Applied::void(offset, Void::Repeat { first: first.offset });
        }
        let applied = self.judge(offset, record);
        self.recent.insert(&record.id, applied.clone());
        applied
    }

    pub(crate) fn unready(&self, offset: Offset) -> Option<Void> {
        if let Some(frozen) = self.frozen {
            return Some(Void::Format { needs: frozen.needs, at: frozen.at.into() });
        }
        (offset <= self.offset).then_some(Void::Old)
    }

    pub(crate) fn advance(&mut self, offset: Offset) {
        self.offset = offset;
        self.recent.expire(offset);
        self.edits.expire(offset);
    }

    fn judge(&mut self, offset: Offset, record: &Record) -> Applied {
        if record.seen >= offset {
            return Applied::void(offset, Void::Ahead { seen: record.seen });
        }
        if expired(record.seen, offset) {
            return Applied::void(offset, Void::Stale { seen: record.seen });
        }
        let ruling = match &record.body {
            Body::Edit(edit) => return self.edit(offset, edit),
            Body::Decide { epoch, decisions } => return self.decide(offset, *epoch, decisions),
            Body::Claim { previous } => self.claim(offset, *previous, &record.from),
            Body::Renew { epoch } => self.renew(offset, *epoch),
            Body::Resign { epoch } => self.resign(*epoch),
            Body::Attach(attach) => self.attach(offset, attach),
            Body::Leave { endpoint, incarnation } => self.leave(endpoint, *incarnation),
            Body::Release { endpoint, incarnation, grants } => {
                self.release(endpoint, *incarnation, grants)
            }
            Body::Snapshot(_) => Err(Void::Old),
        };
        Applied { offset, verdicts: vec![ruling.into()] }
    }

    fn edit(&mut self, offset: Offset, edit: &Edit) -> Applied {
        if let Some(first) = self.edits.get(edit.id.as_str()) {
            return Applied::void(offset, Void::Repeat { first: first.offset });
        }
        let revision = Revision::from(offset);
        let ruling = self.tree.apply(edit, revision).map_err(Void::Edit);
        if ruling.is_ok() {
            self.revision = revision;
        }
        let applied = Applied { offset, verdicts: vec![ruling.into()] };
        self.edits.insert(edit.id.as_str(), applied.clone());
        applied
    }

    fn claim(&mut self, offset: Offset, previous: Epoch, from: &InstanceId) -> Ruling {
        self.same_epoch(previous)?;
        self.lease = Lease { epoch: offset.into(), holder: Some(from.clone()), renewed: offset };
        Ok(())
    }

    fn renew(&mut self, offset: Offset, epoch: Epoch) -> Ruling {
        self.held(epoch)?;
        self.lease.renewed = offset;
        Ok(())
    }

    fn resign(&mut self, epoch: Epoch) -> Ruling {
        self.held(epoch)?;
        self.lease.holder = None;
        Ok(())
    }

    fn same_epoch(&self, named: Epoch) -> Ruling {
        let current = self.lease.epoch;
        if named == current { Ok(()) } else { Err(Void::Epoch { named, current }) }
    }

    fn held(&self, epoch: Epoch) -> Ruling {
        self.same_epoch(epoch)?;
        if self.lease.holder.is_some() { Ok(()) } else { Err(Void::Resigned { epoch }) }
    }

    fn decide(&mut self, offset: Offset, epoch: Epoch, decisions: &[Decision]) -> Applied {
        let held = self.held(epoch);
        let mut verdicts = Vec::with_capacity(decisions.len());
        for (part, decision) in (0..).zip(decisions) {
            let id = GrantId { offset, part };
            let ruling = held.clone().and_then(|()| self.decision(id, decision));
            verdicts.push(ruling.into());
        }
        Applied { offset, verdicts }
    }

    fn decision(&mut self, id: GrantId, decision: &Decision) -> Ruling {
        match decision {
            Decision::Grant { model, index, artifact, endpoint, reason } => {
                let mut grant = Grant {
                    id,
                    model: model.clone(),
                    index: *index,
                    artifact: artifact.clone(),
                    endpoint: endpoint.clone(),
                    revoked: false,
                    reason: reason.clone(),
                };
                self.check(&grant)?;
                self.names.share(&mut grant.model);
                self.names.share(&mut grant.artifact);
                self.grants.insert(grant);
                Ok(())
            }
            Decision::Revoke { grant, .. } => {
                if self.grants.revoke(*grant) {
                    Ok(())
                } else {
                    Err(Void::NoGrant)
                }
            }
            Decision::Gone { endpoint, incarnation } => self.gone(endpoint, *incarnation),
        }
    }

    /// Checks a new grant against the tree, the other grants and the endpoint.
    fn check(&self, grant: &Grant) -> Ruling {
        let bound = |cause: String| Err(Void::Bound(cause));
        let Some(leaf) = self.tree.model(&grant.model) else {
            return bound(format!("no model {}", grant.model));
        };
        if leaf.artifact != grant.artifact {
            return bound(format!("{} is in force", leaf.artifact));
        }
        let most = leaf.settings.replicas_most;
        let count = self.grants.count(&grant.model);
        if grant.index.0 >= most || count >= most as usize {
            return bound(format!("{count} of at most {most} replicas are granted"));
        }
        if self.grants.taken(&grant.model, grant.index) {
            return Err(Void::Taken);
        }
        let member = self.members.get(&grant.endpoint).filter(|member| !member.leaving);
        let member = member.ok_or(Void::NoEndpoint)?;
        let needed = leaf.settings.weights + leaf.settings.kv_room;
        if leaf.settings.service.as_ref() != Some(&member.attach.service)
            || needed > member.attach.memory
        {
            return Err(Void::Unfit);
        }
        if self.grants.at(&grant.endpoint).any(|held| held.model == grant.model) {
            return Err(Void::Twice);
        }
        Ok(())
    }

    fn gone(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> Ruling {
        self.same_incarnation(endpoint, incarnation)?;
        self.members.remove(endpoint);
        self.grants.clear(endpoint);
        Ok(())
    }

    /// A new incarnation keeps the grants of the endpoint; its agent reconciles the inventory with them.
    fn attach(&mut self, offset: Offset, attach: &Attach) -> Ruling {
        let member = self.members.get(&attach.endpoint);
        let current = member.map(|member| member.incarnation);
        if attach.previous != current.unwrap_or_default() {
            return Err(Void::Incarnation { current });
        }
        if let Some(member) = member.filter(|m| m.attach.instance != attach.instance) {
            return Err(Void::Instance { current: member.attach.instance.clone() });
        }
        let mut attach = attach.clone();
        attach.cached.truncate(MAX_CACHED_CHECKPOINTS);
        attach.cached.iter_mut().for_each(|name| self.names.share(name));
        let endpoint = attach.endpoint.clone();
        let member = Member { attach, incarnation: offset.into(), leaving: false };
        self.members.insert(endpoint, member);
        Ok(())
    }

    fn leave(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> Ruling {
        self.same_incarnation(endpoint, incarnation)?.leaving = true;
        Ok(())
    }

    fn release(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        grants: &[GrantId],
    ) -> Ruling {
        let leaving = self.same_incarnation(endpoint, incarnation)?.leaving;
        let may = |id: &GrantId| {
            let held = self.grants.get(*id).filter(|grant| grant.endpoint == *endpoint);
            held.is_some_and(|grant| grant.revoked || leaving)
        };
        if !grants.iter().all(may) {
            return Err(Void::NoGrant);
        }
        grants.iter().for_each(|id| self.grants.remove(*id));
        Ok(())
    }

    fn same_incarnation(
        &mut self,
        endpoint: &EndpointId,
        named: Incarnation,
    ) -> Result<&mut Member, Void> {
        let member = self.members.get_mut(endpoint).ok_or(Void::Incarnation { current: None })?;
        let current = member.incarnation;
        if named == current {
            Ok(member)
        } else {
            Err(Void::Incarnation { current: Some(current) })
        }
    }
}

impl From<Ruling> for Verdict {
    fn from(ruling: Ruling) -> Self {
        ruling.map_or_else(Self::Void, |()| Self::Done)
    }
}
