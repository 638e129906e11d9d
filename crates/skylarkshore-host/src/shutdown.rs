//! Signal handling: the first SIGTERM or SIGINT starts a graceful shutdown, the second one exits at once;
//! SIGHUP reloads the settings.

use skylarkshore_core::Event;
use slog::info;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::env::Env;

/// The signals that the process handles.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers the signal handlers.
    ///
    /// # Errors
    ///
    /// The system rejects a handler.
    pub(crate) fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self, reload: &impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }

    /// Starts the shutdown at the first signal and returns at the second.
    ///
    /// Calls `reload` at every SIGHUP.
    pub(crate) async fn until_second_signal(mut self, env: Env, reload: impl Fn()) {
        self.next(&reload).await;
        info!(env.log, "leaving"; "requests_in_progress" => env.requests.len());
        env.inbox.event(Event::Shutdown).await;
        self.next(&reload).await;
    }
}
