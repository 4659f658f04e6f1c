use super::{Held, Host, Weights, Wish, place, saving};
use jiff::Timestamp;
use units::{Domain, ModelName, ReplicaIndex, ServiceName, Size};

fn host(name: &str, domain: &str) -> Host {
    Host {
        endpoint: name.parse().expect("an endpoint id"),
        domain: domain.parse().expect("a domain"),
        service: service(),
        memory: Size::gib(80),
        cached: Vec::new(),
        held: Vec::new(),
        open: true,
    }
}

fn service() -> ServiceName {
    "likhari".parse().expect("a service")
}

fn model(name: &str) -> ModelName {
    name.parse().expect("a model")
}

fn held(name: &str, gib: u64, opens: Option<Timestamp>) -> Held {
    Held { model: model(name), need: Size::gib(gib), opens }
}

fn at(seconds: i64) -> Option<Timestamp> {
    Timestamp::from_second(seconds).ok()
}

fn with_wish<R>(
    domains: &[Domain],
    opens: Option<Timestamp>,
    look: impl FnOnce(&Wish<'_>) -> R,
) -> R {
    let (name, service) = (model("page-text"), service());
    look(&Wish {
        model: &name,
        index: ReplicaIndex(0),
        artifact: &name,
        service: &service,
        need: Size::gib(10),
        opens,
        domains,
    })
}

fn best(hosts: &[Host], domains: &[Domain], opens: Option<Timestamp>) -> Option<String> {
    with_wish(domains, opens, |wish| {
        place(hosts, wish, &Weights::default()).map(|i| hosts[i].endpoint.to_string())
    })
}

#[test]
fn can_prefer_a_cached_checkpoint() {
    let mut hosts = vec![host("e1", "saddar"), host("e2", "lyari"), host("e3", "clifton")];
    hosts[2].cached.push(model("page-text"));
    hosts[2].held.push(held("other", 20, None));
    assert_eq!(best(&hosts, &[], None).as_deref(), Some("e3"));
}

#[test]
fn can_spread_replicas_over_failure_domains() {
    let mut hosts = vec![host("e1", "saddar"), host("e2", "lyari")];
    hosts[0].cached.push(model("page-text"));
    hosts[1].held.extend([held("a", 70, None), held("b", 70, None)]);
    let taken = ["saddar".parse().expect("a domain")];
    assert_eq!(best(&hosts, &taken, None).as_deref(), Some("e2"));
}

#[test]
fn can_keep_models_of_one_window_apart_if_they_do_not_fit_together() {
    let mut hosts = vec![host("e1", "saddar"), host("e2", "saddar")];
    hosts[0].held.push(held("bills", 75, at(1000)));
    hosts[1].held.extend([held("term", 50, at(2000)), held("kiosk", 40, None)]);
    assert_eq!(best(&hosts, &[], at(1000)).as_deref(), Some("e2"));
    assert_eq!(best(&hosts, &[], None).as_deref(), Some("e1"));
}

#[test]
fn errors_on_no_endpoint_that_fits() {
    let mut hosts = vec![host("e1", "saddar"), host("e2", "saddar"), host("e3", "lyari")];
    hosts[0].open = false;
    hosts[1].memory = Size::gib(9);
    hosts[2].held.push(held("page-text", 10, None));
    assert_eq!(best(&hosts, &[], None), None);
}

#[test]
fn can_break_ties_the_same_in_any_order_of_hosts() {
    let mut hosts: Vec<Host> = (0..20).map(|i| host(&format!("e{i}"), "saddar")).collect();
    let first = best(&hosts, &[], None);
    hosts.reverse();
    assert_eq!(best(&hosts, &[], None), first);
}

#[test]
fn can_tell_what_a_move_would_save() {
    let mut hosts = vec![host("e1", "saddar"), host("e2", "lyari")];
    hosts[0].held.extend([held("page-text", 10, None), held("a", 60, None)]);
    let save = |hosts: &[Host], domains: &[Domain]| {
        with_wish(domains, None, |wish| saving(hosts, 0, wish, &Weights::default()))
    };
    assert_eq!(save(&hosts, &[]), Some(0.75));
    let spread = save(&hosts, &["lyari".parse().expect("a domain")]);
    assert_eq!(spread, Some(0.75 - 8.0), "the other failure domain has a replica already");
    hosts[1].open = false;
    assert_eq!(save(&hosts, &[]), None);
}
