//! The HTTP interface for operators, on an address of its own. Start with [`serve`].

mod explain;

use std::convert::Infallible;
use std::sync::Arc;

use http::{Method, StatusCode};
use skylarkshore_core::Event;
use skylarkshore_core::id::{DataCentre, HostId};
use skylarkshore_wire::caller::{ErrorBody, ErrorText, OutcomeWire};
use skylarkshore_wire::document::DocumentWire;
use skylarkshore_wire::operator::Health;
use slog::info;
use tokio::sync::watch;
use xitca_web::http::WebResponse;
use xitca_web::service::fn_service;
use xitca_web::{App, WebContext};

use crate::driver::Snapshot;
use crate::env::Env;
use crate::probe::HEALTH_PATH;
use crate::server;

/// The state shared by the request handlers.
#[derive(Clone, Debug)]
pub(crate) struct OperatorState {
    pub(crate) env: Env,
    pub(crate) snapshots: watch::Receiver<Arc<Snapshot>>,
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentre,
}

/// Starts serving operators on a listener.
///
/// # Errors
///
/// The system can't start threads.
pub(crate) fn serve(
    state: OperatorState,
    listener: std::net::TcpListener,
) -> std::io::Result<server::RunningServer> {
    let head_timeout = std::time::Duration::from_secs(5);
    let app = App::new().with_state(state).at("/", fn_service(handle)).at("/{*path}", fn_service(handle));
    server::start(app.finish(), [listener], &Arc::default(), head_timeout, server::OPERATOR_WORKERS)
}

async fn handle(ctx: WebContext<'_, OperatorState>) -> Result<WebResponse, Infallible> {
    let state = ctx.state();
    let req = ctx.req();
    Ok(state.answer(req.method(), req.uri().path(), req.uri().query().unwrap_or_default()).await)
}

impl OperatorState {
    async fn answer(&self, method: &Method, path: &str, query: &str) -> WebResponse {
        let expected = match path {
            "/debug/drain" => Method::POST,
            "/metrics" | HEALTH_PATH | "/readyz" | "/debug/state" | "/debug/rules" | "/debug/explain" => {
                Method::GET
            }
            _ => {
                return error_response(
                    StatusCode::NOT_FOUND,
                    "no_such_path",
                    "see the page INTERFACES for the paths",
                );
            }
        };
        if *method != expected {
            return error_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "wrong_method",
                &format!("use {expected}"),
            );
        }
        match path {
            "/metrics" => self.metrics().await,
            "/readyz" => self.readiness(),
            "/debug/state" => self.state().await,
            "/debug/rules" => self.rules(),
            "/debug/explain" => self.explain(query),
            "/debug/drain" => self.drain().await,
            _ => self.health(),
        }
    }

    fn health(&self) -> WebResponse {
        let health = Health { host: self.host.clone(), incarnation: self.snapshot().incarnation };
        server::json(StatusCode::OK, &health)
    }

    fn readiness(&self) -> WebResponse {
        let snapshot = self.snapshot();
        if snapshot.ready {
            return server::text(StatusCode::OK, "ready\n".to_owned());
        }
        let reason = if snapshot.leaving {
            "leaving"
        } else if snapshot.on_standby {
            "another process serves under this host's name; stop it, or give this host another name"
        } else if snapshot.document.revision.0 == 0 {
            "no document yet; apply one with skylarkctl rules apply, or mend the key-value service"
        } else {
            "no host list yet; mend the platform's host list or its address in the settings"
        };
        server::text(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n"))
    }

    async fn metrics(&self) -> WebResponse {
        let core_gauges = self.env.inbox.gauges().await;
        server::text(StatusCode::OK, self.env.metrics.render(&core_gauges))
    }

    async fn state(&self) -> WebResponse {
        match self.env.inbox.dump().await {
            Some(dump) => server::json(StatusCode::OK, &dump),
            None => error_response(StatusCode::SERVICE_UNAVAILABLE, "ending", "ask another host"),
        }
    }

    fn rules(&self) -> WebResponse {
        server::json(StatusCode::OK, &DocumentWire::from(&*self.snapshot().document))
    }

    fn explain(&self, query: &str) -> WebResponse {
        match explain::explain(&self.snapshot().document, &self.data_centre, query) {
            Ok(explanation) => server::json(StatusCode::OK, &explanation),
            Err(reason) => error_response(StatusCode::BAD_REQUEST, "bad_question", &reason.to_string()),
        }
    }

    async fn drain(&self) -> WebResponse {
        info!(self.env.log, "leaving"; "requests_in_progress" => self.env.requests.len());
        self.env.inbox.event(Event::Shutdown).await;
        server::text(StatusCode::ACCEPTED, "leaving\n".to_owned())
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }
}

fn error_response(status: StatusCode, reason_code: &str, remedy: &str) -> WebResponse {
    let body = ErrorBody {
        outcome: OutcomeWire::NotRun,
        reason: reason_code.to_owned(),
        error: ErrorText { message: reason_code.replace('_', " "), remedy: remedy.to_owned() },
    };
    server::json(status, &body)
}
