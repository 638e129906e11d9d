//! The HTTP interface for callers: requests to models and services, and discovery of hosts and models.
//!
//! Start with [`serve`].

mod discovery;
mod parse;
mod request_error;

use std::convert::Infallible;
use std::sync::Arc;

use http::header::{AUTHORIZATION, CONNECTION, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use skylarkshore_core::Time;
use skylarkshore_core::accounts::Charge;
use skylarkshore_core::event::{Arrival, RequestPolicy, Target};
use skylarkshore_wire::caller::{ACCOUNT_HEADER, REQUEST_ID_HEADER};
use skylarkshore_wire::operator::Health;
use slog::debug;
use tokio::time::Instant;
use xitca_web::http::WebResponse;
use xitca_web::service::fn_service;
use xitca_web::{App, WebContext};

use crate::accounts;
use crate::digest::request_digest;
use crate::driver::Snapshot;
use crate::exchange::{CheckedRequest, Exchange, read_off};
use crate::pending::{JsonRefusalFormat, Outgoing};
use crate::probe::HEALTH_PATH;
use crate::server::{self, MAX_HEADERS};
use crate::upstreams::forwardable_headers;

use parse::{ModelBody, RequestHeaders, ServiceCall};
use request_error::RequestError;

/// The most bytes of header names and values in a request.
const MAX_HEADERS_LEN: usize = 16 * 1024;

/// The state shared by the request handlers.
#[derive(Clone, Debug)]
struct CallerState {
    exchange: Exchange,
    rotation: discovery::Rotation,
}

/// Starts serving callers on a listener.
///
/// # Errors
///
/// The system can't start threads.
pub(crate) fn serve(
    exchange: Exchange,
    listener: std::net::TcpListener,
) -> std::io::Result<server::RunningServer> {
    let connections = Arc::clone(&exchange.connections);
    let head_timeout = exchange.intake.head_timeout;
    let state = CallerState { exchange, rotation: discovery::Rotation::default() };
    let app = App::new().with_state(state).at("/", fn_service(handle)).at("/{*path}", fn_service(handle));
    server::start(app.finish(), [listener], &connections, head_timeout, server::caller_workers())
}

async fn handle(mut ctx: WebContext<'_, CallerState>) -> Result<WebResponse, Infallible> {
    let state = ctx.state().clone();
    if state.exchange.connections.is_closed() {
        read_off(ctx.body_get_mut()).await;
        let mut res = RequestError::NotReady.response();
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return Ok(res);
    }
    let head = Head::of(&ctx);
    let id = match parse::request_id(&head.headers) {
        Ok(id) => id,
        Err(invalid) => return Ok(state.invalid(&invalid, &parse::generated_id())),
    };
    let body = ctx.body_get_mut();
    let mut res = match state.answer(&head, body).await {
        Ok(res) => res,
        Err(invalid) => {
            debug!(state.exchange.env.log, "request_invalid"; "path" => head.uri.path(), "reason" => invalid.label());
            if !matches!(invalid, RequestError::BodySlow { .. } | RequestError::BodyBroken) {
                read_off(body).await;
            }
            state.invalid(&invalid, &id)
        }
    };
    res.headers_mut().insert(REQUEST_ID_HEADER, id);
    if state.exchange.snapshots.borrow().leaving {
        // Otherwise a caller that keeps its connection would see it break when the process exits.
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

/// The head of a request.
#[derive(Debug)]
struct Head {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    begun: Instant,
}

impl Head {
    fn of(ctx: &WebContext<'_, CallerState>) -> Self {
        let req = ctx.req();
        Self {
            method: req.method().clone(),
            uri: req.uri().clone(),
            headers: req.headers().clone(),
            begun: Instant::now(),
        }
    }

    /// Returns the request id that the caller chose, or `unnamed`.
    fn label(&self) -> String {
        let named = self.headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
        named.unwrap_or("unnamed").to_owned()
    }

    fn path_and_query(&self) -> String {
        self.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string)
    }
}

impl CallerState {
    async fn answer(
        &self,
        head: &Head,
        body: &mut xitca_web::body::RequestBody,
    ) -> Result<WebResponse, RequestError> {
        let len: usize = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if head.headers.len() > MAX_HEADERS || len > MAX_HEADERS_LEN {
            return Err(RequestError::HeadersTooLarge);
        }
        let path = head.uri.path();
        if let Some(rest) = path.strip_prefix("/services/") {
            return self.call_service(head, rest, body).await;
        }
        let expected = match path {
            "/v1/chat/completions" | "/v1/completions" => Method::POST,
            "/v1/models" | "/v1/entry" | HEALTH_PATH => Method::GET,
            _ => return Err(RequestError::NoSuchPath { path: path.to_owned() }),
        };
        if head.method != expected {
            return Err(RequestError::WrongMethod { method: head.method.clone(), expected });
        }
        match path {
            "/v1/models" => Ok(discovery::models(&self.exchange.snapshot())),
            "/v1/entry" => Ok(self.entry_hosts()),
            HEALTH_PATH => Ok(self.health()),
            _ => self.call_model(head, body).await,
        }
    }

    async fn call_model(
        &self,
        head: &Head,
        body: &mut xitca_web::body::RequestBody,
    ) -> Result<WebResponse, RequestError> {
        let context = RequestContext::read(self, head)?;
        let snapshot = self.configured_snapshot()?;
        let charge = charge(&snapshot, head)?;
        let body = self.exchange.read_body(body, &head.headers).await?;
        let chat = ModelBody::parse(&body)?;
        let target = snapshot.document.catalogue.resolve(&chat.model);
        let target =
            Target::Model(target.ok_or_else(|| RequestError::UnknownModel { name: chat.model.clone() })?);
        let repeat = parse::repeat(&head.headers, &context.caller, None, false)?;
        let path = head.path_and_query();
        let arrival = Arrival {
            caller: context.caller,
            target,
            repeat,
            digest: request_digest(&head.method, &path, &body),
            parts: Vec::new(),
            prefix: chat.prefix,
            deadline: context.deadline,
            policy: RequestPolicy::plain(context.deadline, true),
            charge,
            stream: None,
        };
        let outgoing = Outgoing {
            label: head.label(),
            method: head.method.clone(),
            path,
            headers: upstream_headers(&head.headers, &arrival),
            body,
        };
        Ok(self.run(head, "model", arrival, outgoing).await)
    }

    async fn call_service(
        &self,
        head: &Head,
        rest: &str,
        body: &mut xitca_web::body::RequestBody,
    ) -> Result<WebResponse, RequestError> {
        let context = RequestContext::read(self, head)?;
        let call = ServiceCall::parse(rest, head.uri.query())?;
        let snapshot = self.configured_snapshot()?;
        let charge = charge(&snapshot, head)?;
        let service = snapshot.document.catalogue.services.get(&call.service);
        let service =
            service.ok_or_else(|| RequestError::UnknownService { name: call.service.to_string() })?;
        let is_at_most_once_call = call.path_variants().iter().any(|path| service.is_at_most_once(path));
        let repeat =
            parse::repeat(&head.headers, &context.caller, Some(&call.service), is_at_most_once_call)?;
        let body = self.exchange.read_body(body, &head.headers).await?;
        let arrival = Arrival {
            caller: context.caller,
            target: Target::Service(call.service.clone()),
            repeat,
            digest: request_digest(&head.method, &head.path_and_query(), &body),
            parts: Vec::new(),
            prefix: None,
            deadline: context.deadline,
            policy: RequestPolicy::plain(context.deadline, false),
            charge,
            stream: None,
        };
        let outgoing = Outgoing {
            label: head.label(),
            method: head.method.clone(),
            path: call.path_and_query,
            headers: upstream_headers(&head.headers, &arrival),
            body,
        };
        Ok(self.run(head, "service", arrival, outgoing).await)
    }

    async fn run(
        &self,
        head: &Head,
        target: &'static str,
        arrival: Arrival,
        outgoing: Outgoing,
    ) -> WebResponse {
        let checked = CheckedRequest {
            begun: head.begun,
            target,
            arrival,
            outgoing,
            refusals: Arc::new(JsonRefusalFormat),
        };
        self.exchange.run(checked).await
    }

    fn entry_hosts(&self) -> WebResponse {
        let Exchange { data_centre, entry_ttl, .. } = &self.exchange;
        discovery::hosts(&self.exchange.snapshot(), data_centre, *entry_ttl, &self.rotation)
    }

    /// Returns the snapshot; fails while no document is in force.
    fn configured_snapshot(&self) -> Result<Arc<Snapshot>, RequestError> {
        let snapshot = self.exchange.snapshot();
        if !snapshot.document.is_configured() {
            return Err(RequestError::NotReady);
        }
        Ok(snapshot)
    }

    fn health(&self) -> WebResponse {
        let health =
            Health { host: self.exchange.host.clone(), incarnation: self.exchange.snapshot().incarnation };
        server::json(StatusCode::OK, &health)
    }

    fn invalid(&self, invalid: &RequestError, id: &HeaderValue) -> WebResponse {
        self.exchange.env.metrics.request_invalid();
        let mut res = invalid.response();
        res.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
        res
    }
}

/// Finds the client account of a request; `None` if the document has no accounts.
fn charge(snapshot: &Snapshot, head: &Head) -> Result<Option<Charge>, RequestError> {
    let accounts = &snapshot.document.catalogue.accounts;
    if accounts.is_empty() {
        return Ok(None);
    }
    let authorization = accounts::only_value(&head.headers, &AUTHORIZATION).map(HeaderValue::as_bytes);
    let key =
        authorization.and_then(|value| value.strip_prefix(b"Bearer ")).ok_or(RequestError::UnknownAccount)?;
    accounts::charge(accounts, key, None).map(Some).ok_or(RequestError::UnknownAccount)
}

/// Returns the headers for the upstream, including the name of the client account.
fn upstream_headers(headers: &HeaderMap, arrival: &Arrival) -> HeaderMap {
    let mut headers = forwardable_headers(headers);
    let account = arrival.charge.as_ref().map(|charge| &charge.account);
    accounts::name_account(&mut headers, &HeaderName::from_static(ACCOUNT_HEADER), account);
    headers
}

/// The caller and deadline of a request that is sent upstream.
struct RequestContext {
    caller: skylarkshore_core::id::CallerId,
    deadline: Time,
}

impl RequestContext {
    fn read(state: &CallerState, head: &Head) -> Result<Self, RequestError> {
        let RequestHeaders { timeout, caller } = RequestHeaders::read(&head.headers)?;
        let elapsed_since_head = head.begun.elapsed();
        let deadline = state.exchange.env.clock.now().after(timeout.saturating_sub(elapsed_since_head));
        Ok(Self { caller, deadline })
    }
}
