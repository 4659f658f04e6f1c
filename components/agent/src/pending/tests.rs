use edge::OrderKind;
use tokio::time::{Instant, advance};

use super::{Pending, REPEAT};

fn unload() -> Pending {
    let artifact = "page-text@v1".parse().expect("a model");
    Pending::new("e-1-1".to_owned(), OrderKind::Unload { artifact }, Instant::now())
}

#[tokio::test(start_paused = true)]
async fn repeats_no_order_whose_effect_came_before_its_lost_reply() {
    let mut pending = unload();
    pending.seen();
    pending.lost();
    advance(REPEAT).await;
    assert!(pending.accepted() && !pending.repeats(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn repeats_an_order_without_reply_or_effect() {
    let mut pending = unload();
    pending.lost();
    assert!(!pending.repeats(Instant::now()));
    advance(REPEAT).await;
    assert!(pending.repeats(Instant::now()));
}
