//! An order that was sent, as far as its effect is known.

use std::time::Duration;

use edge::OrderKind;
use tokio::time::Instant;

/// The pause before an order without an answer is sent again.
const REPEAT: Duration = Duration::from_millis(500);

/// How often one order is sent before only the inventory is waited for.
const MOST_SENDS: u32 = 3;

/// What the endpoint said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reply {
    /// The order is on its way.
    Underway,
    /// It was taken.
    Accepted { at: Instant },
    /// No answer came; the order may take effect until `order_limit` after it was sent.
    Lost { at: Instant },
}

/// An order that was sent and whose effect the inventory has not shown yet.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Pending {
    pub(crate) id: String,
    pub(crate) kind: OrderKind,
    pub(crate) first: Instant,
    pub(crate) sent: Instant,
    pub(crate) reply: Reply,
    sends: u32,
    shown: bool,
}

impl Pending {
    pub(crate) fn new(id: String, kind: OrderKind, now: Instant) -> Self {
        Self { id, kind, first: now, sent: now, reply: Reply::Underway, sends: 1, shown: false }
    }

    /// Whether an inventory whose reading began at `begun` shows all that this order will ever do.
    pub(crate) fn settled(&self, begun: Instant, limit: Duration) -> bool {
        match self.reply {
            Reply::Underway => false,
            Reply::Accepted { at } => begun > at,
            Reply::Lost { .. } => begun > self.sent + limit,
        }
    }

    /// Whether the endpoint has taken it.
    pub(crate) fn accepted(&self) -> bool {
        matches!(self.reply, Reply::Accepted { .. })
    }

    /// Whether it was sent more than once, so that a refusal says nothing of the first time.
    pub(crate) fn repeated(&self) -> bool {
        self.sends > 1
    }

    /// Whether an inventory whose reading began at `begun` would show its effect, had it one.
    pub(crate) fn overdue(&self, begun: Instant, limit: Duration) -> bool {
        self.reply != Reply::Underway && begun > self.sent + limit
    }

    /// Whether it is time to send the order again, under the same id.
    pub(crate) fn repeats(&self, now: Instant) -> bool {
        match self.reply {
            Reply::Lost { at } => self.sends < MOST_SENDS && now >= at + REPEAT,
            Reply::Underway | Reply::Accepted { .. } => false,
        }
    }

    /// Notes that the endpoint shows its effect, whether or not its reply came.
    pub(crate) fn seen(&mut self) {
        self.shown = true;
        if matches!(self.reply, Reply::Lost { .. }) {
            self.reply = Reply::Accepted { at: Instant::now() };
        }
    }

    /// Notes that no reply came; one whose effect is shown was taken all the same.
    pub(crate) fn lost(&mut self) {
        let at = Instant::now();
        self.reply = if self.shown { Reply::Accepted { at } } else { Reply::Lost { at } };
    }

    /// Lets it be sent again as often as at first.
    pub(crate) fn renew(&mut self) {
        self.sends = 1;
    }

    /// Notes that it is sent again.
    pub(crate) fn again(&mut self, now: Instant) {
        self.sent = now;
        self.sends += 1;
        self.reply = Reply::Underway;
        self.shown = false;
    }
}

#[cfg(test)]
mod tests;
