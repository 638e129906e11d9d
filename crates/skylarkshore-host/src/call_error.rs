//! Errors of calls to the platform, engines and upstreams.

use derive_more::{Display, Error};

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be made; nothing was sent.
    #[display("no connection: {reason}")]
    NotConnected {
        /// The text of the error with its causes.
        reason: String,
    },
    /// The request was sent, but the answer is missing, incomplete or too large.
    #[display("no complete answer: {reason}")]
    Lost {
        /// The text of the error with its causes.
        reason: String,
    },
}

/// Returns the text of an error followed by those of its causes.
pub fn chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
