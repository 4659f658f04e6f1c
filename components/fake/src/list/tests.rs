use std::time::Duration;

use edge::{Instance, InstanceList, InstanceState};
use tokio::time::sleep;

use super::List;

fn instance(id: &str) -> Instance {
    Instance {
        id: id.parse().expect("a right id"),
        service: "likhari".parse().expect("a right name"),
        domain: "saddar".parse().expect("a right name"),
        state: InstanceState::Live,
    }
}

#[tokio::test(start_paused = true)]
async fn can_lag_behind_a_change() {
    let list = List::default();
    list.set_lag(Duration::from_secs(3));
    list.put(instance("likhari-1"));
    assert_eq!(list.instances().await, Ok(vec![]));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(list.instances().await.map(|all| all.len()), Ok(1));
    list.mark_leaving(&instance("likhari-1").id);
    list.remove(&instance("likhari-1").id);
    assert_eq!(list.instances().await, Ok(vec![instance("likhari-1")]));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(list.instances().await, Ok(vec![]));
    list.set_outage(true);
    assert!(list.instances().await.is_err());
}
