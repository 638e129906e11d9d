//! Why calls to the platform, to engines and to upstreams fail.

use derive_more::{Display, Error};

/// Why a call has no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be made, so nothing was sent.
    #[display("no connection: {reason}")]
    NotConnected {
        /// What stood in the way.
        reason: String,
    },
    /// It was sent, and the answer is missing, cut short or too large.
    #[display("no whole answer: {reason}")]
    Lost {
        /// What went wrong.
        reason: String,
    },
}

/// Joins an error's causes, which its own text leaves out.
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
