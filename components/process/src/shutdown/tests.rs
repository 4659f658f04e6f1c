use super::{Shutdown, ShutdownPhase};

#[tokio::test]
async fn the_first_signal_does_not_set_the_flag_of_the_second() {
    let (signals, shutdown) = Shutdown::manual();
    let mut drain = shutdown.flag(ShutdownPhase::Drain);
    let force = shutdown.flag(ShutdownPhase::Force);
    signals.send(ShutdownPhase::Drain).expect("the phase is watched");
    drain.wait_for(|set| *set).await.expect("the flag has a sender");
    assert!(!*force.borrow());
    assert_eq!(shutdown.phase(), ShutdownPhase::Drain);
    signals.send(ShutdownPhase::Force).expect("the phase is watched");
    shutdown.reached(ShutdownPhase::Force).await;
}

#[tokio::test]
async fn a_dropped_sender_forces_the_shutdown() {
    let (signals, shutdown) = Shutdown::manual();
    drop(signals);
    shutdown.reached(ShutdownPhase::Force).await;
}
