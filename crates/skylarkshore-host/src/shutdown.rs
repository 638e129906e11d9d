//! SIGTERM and SIGINT: leave in order at the first, end at once at the second.

use skylarkshore_core::Event;
use slog::info;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::env::Env;

/// The signals that ask the process to end.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Begins to listen for them.
    ///
    /// # Errors
    ///
    /// The system refuses.
    pub(crate) fn listen() -> std::io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Returns at the second signal, having told the core of the first.
    pub(crate) async fn until_second(mut self, env: Env) {
        self.next().await;
        info!(env.log, "leaving"; "requests_in_progress" => env.requests.len());
        env.inbox.event(Event::Shutdown).await;
        self.next().await;
    }
}
