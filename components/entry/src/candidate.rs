//! Which endpoints may serve a leaf, from the folded state.

use std::net::SocketAddr;

use record::Attach;
use state::{Member, State};
use tree::{Leaf, NodeKind};
use units::{Domain, EndpointId, Incarnation, ServiceName};

/// An endpoint that may serve a leaf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) addr: SocketAddr,
    pub(crate) domain: Domain,
    /// Which replica of the model it holds; 0 for plain services.
    pub(crate) index: u32,
}

impl Candidate {
    fn new(member: &Member, index: u32) -> Self {
        let Attach { endpoint, dispatch, domain, .. } = &member.attach;
        Self {
            endpoint: endpoint.clone(),
            incarnation: member.incarnation,
            addr: *dispatch,
            domain: domain.clone(),
            index,
        }
    }
}

/// The endpoints that may serve a leaf: by replica index, the same order at every entry.
pub(crate) fn candidates(state: &State, leaf: &Leaf) -> Vec<Candidate> {
    match leaf.kind {
        NodeKind::Service => of_service(state, leaf),
        NodeKind::Branch | NodeKind::Model | NodeKind::Adapter | NodeKind::Version => {
            of_model(state, leaf)
        }
    }
}

/// Whether the agent of that incarnation is still in charge of the endpoint.
pub(crate) fn in_charge(state: &State, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
    state.member(endpoint).is_some_and(|member| member.incarnation == incarnation)
}

fn of_model(state: &State, leaf: &Leaf) -> Vec<Candidate> {
    let usable = state.grants_of(&leaf.model).filter(|grant| !grant.revoked);
    let held = usable.filter_map(|grant| {
        let member = state.member(&grant.endpoint).filter(|member| !member.leaving)?;
        Some(Candidate::new(member, grant.index.0))
    });
    held.collect()
}

fn of_service(state: &State, leaf: &Leaf) -> Vec<Candidate> {
    let named: Option<ServiceName> = leaf.settings.service.clone();
    let Some(service) = named.or_else(|| leaf.model.as_str().parse().ok()) else {
        return Vec::new();
    };
    let members = state.members().filter(|member| !member.leaving);
    let serving = members.filter(|member| member.attach.service == service);
    serving.map(|member| Candidate::new(member, 0)).collect()
}
