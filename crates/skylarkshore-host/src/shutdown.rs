//! SIGTERM and SIGINT: leave in order at the first, end at once at the second. SIGHUP: read the settings again.

use skylarkshore_core::Event;
use slog::info;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::env::Env;

/// The signals that ask the process to end.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Begins to listen for them.
    ///
    /// # Errors
    ///
    /// The system refuses.
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

    /// Returns at the second signal, having told the core of the first.
    ///
    /// Calls `reload` at every request to read the settings again.
    pub(crate) async fn until_second(mut self, env: Env, reload: impl Fn()) {
        self.next(&reload).await;
        info!(env.log, "leaving"; "requests_in_progress" => env.requests.len());
        env.inbox.event(Event::Shutdown).await;
        self.next(&reload).await;
    }
}
