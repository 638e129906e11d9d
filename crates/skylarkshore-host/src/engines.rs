//! Sends orders to engines and fetches their reports. Start with [`EngineProtocol`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use skylarkshore_core::Time;
use skylarkshore_core::id::{Fence, OrderId};
use skylarkshore_core::upstream::{EngineReport, Order, OrderAnswer, Upstream};
use skylarkshore_wire::engine::{ORDERS_PATH, OrderReply, OrderRequest, REPORT_PATH, Report};
use slog::{Logger, debug};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::http::{CallError, PooledClient, call_anew, call_by, client, json_request};
use crate::store::BoxFuture;
use crate::upstream_path::UpstreamPath;

/// How long an engine may take to accept an order; loading itself takes longer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// An order with its preconditions.
#[derive(Clone, Debug)]
pub struct EngineOrder {
    /// The order's id within this process.
    pub order: OrderId,
    /// The owner's fencing token; engines that check it reject the orders of earlier owners.
    pub fence: Fence,
    /// The time after which it must not be sent.
    pub not_after: Time,
    /// The number of orders that the engine must have accepted before, if it numbers them.
    pub after: Option<u64>,
    /// The action to perform.
    pub action: Order,
}

/// The protocol between hosts and engines.
pub trait EngineProtocol: Send + Sync {
    /// Sends an order, unless `not_after` has passed at the moment of sending.
    ///
    /// A process that was frozen may act on an engine that it no longer owns. An
    /// engine that ignores fences would execute its order in addition to the new
    /// owner's, and two replicas would run where one is allowed. The time is
    /// therefore checked after connecting, right before the order is sent.
    ///
    /// A numbered order must be sent so that no other incarnation of the engine
    /// executes it: the core discards the orders of an ended incarnation.
    fn give<'a>(&'a self, engine: &'a Upstream, order: EngineOrder) -> BoxFuture<'a, OrderAnswer>;

    /// Fetches an engine's report; `None` if it doesn't arrive in time.
    fn ask<'a>(&'a self, engine: &'a Upstream, path: &'a UpstreamPath)
    -> BoxFuture<'a, Option<EngineReport>>;
}

/// The product's own engine protocol.
#[derive(Clone, Debug)]
pub(crate) struct NativeEngines {
    client: PooledClient,
    clock: Clock,
    log: Logger,
}

impl NativeEngines {
    pub(crate) fn new(clock: Clock, log: Logger) -> Self {
        Self { client: client(), clock, log }
    }

    async fn send_order_to(&self, address: SocketAddr, engine_order: EngineOrder) -> OrderAnswer {
        let not_after = engine_order.not_after;
        let body = OrderRequest {
            order: engine_order.order,
            fence: engine_order.fence,
            action: engine_order.action.into(),
        };
        let Ok(body) = serde_json::to_vec(&body) else { return OrderAnswer::NotSent };
        let req = json_request(Method::POST, address, ORDERS_PATH, Bytes::from(body));
        let may_send = || !not_after.is_due(self.clock.now());
        match call_anew(address, req, may_send, Instant::now() + ORDER_TIMEOUT).await {
            Ok(Some(answer)) => read_reply(&answer.body),
            Ok(None) => OrderAnswer::NotSent,
            Err(CallError::NotConnected { reason }) => {
                debug!(self.log, "order_not_sent"; "address" => %address, "reason" => reason);
                OrderAnswer::NotSent
            }
            Err(CallError::Lost { reason }) => {
                debug!(self.log, "order_answer_lost"; "address" => %address, "reason" => reason);
                OrderAnswer::Lost
            }
        }
    }

    async fn fetch_report_from(&self, engine: &Upstream, path: &UpstreamPath) -> Option<EngineReport> {
        let address = engine.address;
        let req = json_request(Method::GET, address, REPORT_PATH, Bytes::new());
        let answer = call_by(path, &self.client, engine, req, Instant::now() + REPORT_TIMEOUT).await;
        let answer = answer.inspect_err(|err| {
            debug!(self.log, "report_missing"; "address" => %address, "reason" => err.to_string());
        });
        let answer = answer.ok().filter(|answer| answer.status == StatusCode::OK)?;
        let report: Report = serde_json::from_slice(&answer.body).ok()?;
        Some(report.into())
    }
}

impl EngineProtocol for NativeEngines {
    fn give<'a>(&'a self, engine: &'a Upstream, order: EngineOrder) -> BoxFuture<'a, OrderAnswer> {
        Box::pin(self.send_order_to(engine.address, order))
    }

    fn ask<'a>(
        &'a self,
        engine: &'a Upstream,
        path: &'a UpstreamPath,
    ) -> BoxFuture<'a, Option<EngineReport>> {
        Box::pin(self.fetch_report_from(engine, path))
    }
}

/// Reads the answer to an order; if it can't be parsed, the outcome is unknown.
fn read_reply(body: &[u8]) -> OrderAnswer {
    serde_json::from_slice::<OrderReply>(body).map_or(OrderAnswer::Lost, OrderAnswer::from)
}
