//! Sending orders, each checked right before.

use std::time::Duration;

use edge::{Endpoint, EndpointError, Order, OrderKind};

use crate::authority::Authority;
use crate::plan::Draft;
use crate::settle::Sent;

/// How an order ended.
#[derive(Debug)]
pub(crate) struct OrderEnd {
    pub(crate) id: String,
    pub(crate) kind: OrderKind,
    pub(crate) sent: Sent,
}

/// Sends an order if this process may, and waits for the reply up to a limit.
pub(crate) async fn send(
    authority: &Authority,
    endpoint: &dyn Endpoint,
    draft: Draft,
    limit: Duration,
) -> OrderEnd {
    let Draft { id, urgent, kind } = draft;
    let sent = match authority.check() {
        Err(barred) => {
            log::info!("agent: order {id} is held back: {barred}");
            Sent::Held
        }
        Ok(fence) => {
            let order = Order { id: id.clone(), fence, urgent, order: kind.clone() };
            Sent::Replied(reply(endpoint, order, limit).await)
        }
    };
    OrderEnd { id, kind, sent }
}

async fn reply(
    endpoint: &dyn Endpoint,
    order: Order,
    limit: Duration,
) -> Result<(), EndpointError> {
    match tokio::time::timeout(limit, endpoint.order(order)).await {
        Ok(reply) => reply,
        Err(_) => Err(EndpointError::Unknown(format!("no reply within {limit:?}"))),
    }
}
