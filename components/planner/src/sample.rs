//! Sample members, models and grants for tests.

use edge::{Instance, InstanceState};
use record::{Attach, GrantId};
use state::{Grant, Member};
use tree::{Leaf, NodeKind, Settings};
use units::{Domain, Incarnation, ModelName, NodePath, Offset, ReplicaIndex};

const DOMAINS: [&str; 4] = ["saddar", "clifton", "lyari", "korangi"];

/// The failure domain of endpoint `number`.
pub(crate) fn domain(number: usize) -> Domain {
    DOMAINS[number % DOMAINS.len()].parse().expect("a domain")
}

/// The attach record of the agent of endpoint `number`.
pub(crate) fn attach(number: usize) -> Attach {
    let port = u16::try_from(20_000 + number).expect("a port");
    let addr = sample::addr(port);
    Attach {
        instance: sample::id(&format!("server-{number}")),
        domain: domain(number),
        ..sample::attach(&format!("engine-{number}"), addr)
    }
}

/// Endpoint `number` as an attached member.
pub(crate) fn member(number: usize) -> Member {
    Member { attach: attach(number), incarnation: Incarnation(100), leaving: false }
}

/// The entry of endpoint `number` on the platform's list.
pub(crate) fn listed(number: usize) -> Instance {
    let attach = attach(number);
    Instance {
        id: attach.instance,
        service: attach.service,
        domain: attach.domain,
        state: InstanceState::Live,
    }
}

/// A model with a minimum and a maximum number of replicas.
pub(crate) fn leaf(name: &str, least: u32, most: u32) -> Leaf {
    let settings = Settings {
        service: Some("likhari".parse().expect("a service")),
        replicas_least: least,
        replicas_most: most,
        ..Settings::default()
    };
    let model: ModelName = name.parse().expect("a model");
    Leaf {
        path: NodePath::root().child(name).expect("a path"),
        kind: NodeKind::Model,
        artifact: model.clone(),
        model,
        adapter: None,
        settings,
    }
}

/// A grant of replica `index` of a model on endpoint `number`.
pub(crate) fn grant(leaf: &Leaf, index: u32, number: usize) -> Grant {
    Grant {
        id: GrantId { offset: Offset(200), part: u32::try_from(number).expect("a part") },
        model: leaf.model.clone(),
        index: ReplicaIndex(index),
        artifact: leaf.artifact.clone(),
        endpoint: attach(number).endpoint,
        revoked: false,
        reason: "least".to_owned(),
    }
}
