//! Orders to engines, and their reports.

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
use crate::http::{CallError, PooledClient, call, call_anew, client, json_request};
use crate::store::BoxFuture;

/// How long an engine may take to accept an order; loading goes on after that.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// An order with what goes with it.
#[derive(Clone, Debug)]
pub struct EngineOrder {
    /// The order's number within this process.
    pub order: OrderId,
    /// The owner's fence.
    pub fence: Fence,
    /// The time after which it may not be sent any more.
    pub not_after: Time,
    /// How many orders the engine must have accepted before, where it numbers them.
    pub after: Option<u64>,
    /// What the engine is to do.
    pub action: Order,
}

/// How engines take orders and tell how they stand.
pub trait EngineProtocol: Send + Sync {
    /// Gives an order, unless its time has passed by the moment of sending.
    ///
    /// A process that was frozen wakes up believing that it still owns the
    /// engine. One that ignores fences would carry its order out beside the
    /// successor's, and two replicas would run where one is allowed; so the time
    /// is checked after the connection stands, right before the order is sent.
    ///
    /// An order with a number must be given so that no other life of the engine
    /// carries it out: the core forgets those of a life that has ended.
    fn give<'a>(&'a self, engine: &'a Upstream, order: EngineOrder) -> BoxFuture<'a, OrderAnswer>;

    /// Asks an engine how it stands; none when it doesn't say in time.
    fn ask<'a>(&'a self, engine: &'a Upstream) -> BoxFuture<'a, Option<EngineReport>>;
}

/// Engines that speak the product's own protocol.
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

    async fn give_to(&self, address: SocketAddr, engine_order: EngineOrder) -> OrderAnswer {
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

    async fn ask_at(&self, address: SocketAddr) -> Option<EngineReport> {
        let req = json_request(Method::GET, address, REPORT_PATH, Bytes::new());
        let answer = call(&self.client, req, Instant::now() + REPORT_TIMEOUT).await;
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
        Box::pin(self.give_to(engine.address, order))
    }

    fn ask<'a>(&'a self, engine: &'a Upstream) -> BoxFuture<'a, Option<EngineReport>> {
        Box::pin(self.ask_at(engine.address))
    }
}

/// Reads an order's answer; one that can't be understood leaves open what was done.
fn read_reply(body: &[u8]) -> OrderAnswer {
    serde_json::from_slice::<OrderReply>(body).map_or(OrderAnswer::Lost, OrderAnswer::from)
}
