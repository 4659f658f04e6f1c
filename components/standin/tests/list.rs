//! The instance list through the real client.

mod common;

use common::{any, fault, truth};
use edge::{HttpList, Instance, InstanceList, InstanceState};
use standin::{List, ListFault, ListSettings, ListTruth, Running};
use units::Span;

fn instance(id: &str) -> Instance {
    Instance {
        id: id.parse().expect("an id"),
        service: "likhari".parse().expect("a service"),
        domain: "saddar".parse().expect("a domain"),
        state: InstanceState::Live,
    }
}

async fn start(lag: Span) -> (Running, HttpList) {
    let settings = ListSettings { instances: vec![instance("a"), instance("b")], lag };
    let list = List::start(any(), settings).await.expect("it starts");
    let client = HttpList::new(list.addr);
    (list, client)
}

#[tokio::test]
async fn can_mark_and_drop_instances() {
    let (list, client) = start(Span::default()).await;
    assert_eq!(client.instances().await, Ok(vec![instance("a"), instance("b")]));
    fault(list.addr, &ListFault::Leaving { id: instance("a").id }).await;
    fault(list.addr, &ListFault::Drop { id: instance("b").id }).await;
    let leaving = Instance { state: InstanceState::Leaving, ..instance("a") };
    assert_eq!(client.instances().await, Ok(vec![leaving]));
    let truth: ListTruth = truth(list.addr).await;
    assert_eq!(truth.changes.len(), 3);
}

#[tokio::test]
async fn can_lag_and_freeze() {
    let (list, client) = start(Span::secs(600)).await;
    let both = vec![instance("a"), instance("b")];
    fault(list.addr, &ListFault::Drop { id: instance("b").id }).await;
    assert_eq!(client.instances().await, Ok(both.clone()));
    fault(list.addr, &ListFault::Freeze).await;
    fault(list.addr, &ListFault::Lag { span: Span::default() }).await;
    assert_eq!(client.instances().await, Ok(both));
    fault(list.addr, &ListFault::None).await;
    fault(list.addr, &ListFault::Lag { span: Span::default() }).await;
    assert_eq!(client.instances().await, Ok(vec![instance("a")]));
}

#[tokio::test]
async fn can_be_down() {
    let (list, client) = start(Span::default()).await;
    fault(list.addr, &ListFault::Outage).await;
    assert!(client.instances().await.is_err());
}
