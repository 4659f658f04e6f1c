use super::{Shutdown, ShutdownPhase};

#[tokio::test]
async fn can_wait_for_the_second_signal_alone() {
    let (signals, shutdown) = Shutdown::manual();
    let mut drain = shutdown.flag(ShutdownPhase::Drain);
    let force = shutdown.flag(ShutdownPhase::Force);
    signals.send(ShutdownPhase::Drain).expect("it is watched");
    drain.wait_for(|set| *set).await.expect("the flag is kept");
    assert!(!*force.borrow());
    assert_eq!(shutdown.phase(), ShutdownPhase::Drain);
    signals.send(ShutdownPhase::Force).expect("it is watched");
    shutdown.reached(ShutdownPhase::Force).await;
}

#[tokio::test]
async fn can_end_when_the_sender_is_gone() {
    let (signals, shutdown) = Shutdown::manual();
    drop(signals);
    shutdown.reached(ShutdownPhase::Force).await;
}
