use super::{Phase, Shutdown};

#[tokio::test]
async fn can_wait_for_the_second_signal_alone() {
    let (signals, shutdown) = Shutdown::manual();
    let mut drain = shutdown.flag(Phase::Drain);
    let force = shutdown.flag(Phase::Force);
    signals.send(Phase::Drain).expect("it is watched");
    drain.wait_for(|set| *set).await.expect("the flag is kept");
    assert!(!*force.borrow());
    assert_eq!(shutdown.phase(), Phase::Drain);
    signals.send(Phase::Force).expect("it is watched");
    shutdown.reached(Phase::Force).await;
}

#[tokio::test]
async fn can_end_when_the_sender_is_gone() {
    let (signals, shutdown) = Shutdown::manual();
    drop(signals);
    shutdown.reached(Phase::Force).await;
}
