use super::*;

fn place(endpoint: &str) -> Place {
    Place {
        endpoint: endpoint.parse().expect("an endpoint id"),
        model: "page-text".parse().expect("a model name"),
    }
}

fn report(running: u32, awake: u32) -> Report {
    Report { running, awake, ..Report::default() }
}

#[tokio::test(start_paused = true)]
async fn can_count_own_requests_until_they_end() {
    let loads = Loads::default();
    let first = loads.start(place("a"));
    let second = loads.start(place("a"));
    assert_eq!(loads.look(&place("a")).requests, 2.0);
    drop(first);
    assert_eq!(loads.look(&place("a")).requests, 1.0);
    drop(second);
    assert_eq!(loads.look(&place("a")).requests, 0.0);
}

#[tokio::test(start_paused = true)]
async fn can_add_what_others_have_there() {
    let loads = Loads::default();
    let _own = loads.start(place("a"));
    loads.note(&place("a"), &report(5, 1));
    assert_eq!(loads.look(&place("a")).requests, 5.0);
}

#[tokio::test(start_paused = true)]
async fn can_let_old_news_count_less() {
    let loads = Loads::default();
    loads.note(&place("a"), &report(8, 1));
    tokio::time::advance(HALF_LIFE).await;
    assert_eq!(loads.look(&place("a")).requests, 4.0);
    tokio::time::advance(AWAKE_AGE).await;
    assert_eq!(loads.look(&place("a")).awake, None);
}

#[tokio::test(start_paused = true)]
async fn can_learn_how_many_are_awake() {
    let loads = Loads::default();
    loads.note(&place("a"), &report(1, 1));
    loads.note(&place("b"), &report(1, 3));
    let endpoints = [place("a").endpoint, place("b").endpoint];
    assert_eq!(loads.awake(&place("a").model, &endpoints), 3);
}

#[tokio::test(start_paused = true)]
async fn can_forget_places_out_of_use() {
    let loads = Loads::default();
    let _own = loads.start(place("a"));
    loads.note(&place("b"), &report(1, 1));
    tokio::time::advance(FORGET).await;
    loads.prune();
    assert_eq!(loads.lock().len(), 1);
}
