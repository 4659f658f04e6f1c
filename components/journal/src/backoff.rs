//! Growing pauses between tries.

use std::time::Duration;

/// A pause that doubles with each failure, with jitter so that many processes do not try together.
#[derive(Debug)]
pub(crate) struct Backoff {
    least: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(least: Duration, most: Duration) -> Self {
        Self { least, most, next: least }
    }

    pub(crate) fn reset(&mut self) {
        self.next = self.least;
    }

    /// The pause after one more failure.
    pub(crate) fn pause(&mut self) -> Duration {
        let pause = jitter(self.next);
        self.next = (self.next * 2).min(self.most);
        pause
    }
}

/// Between half and one and a half of a pause, at random.
pub(crate) fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}
