//! What hosts tell one another about the credit of client accounts.

use std::time::Duration;

use crate::id::AccountName;
use crate::units::Credits;

/// A message between a host and a keeper of books.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CreditMessage {
    /// The sender counts on the receiver, or asks whether it answers.
    SignOn {
        /// Whether it brings its share of all limits.
        with_share: bool,
    },
    /// The sender keeps books and answers.
    SignedOn,
    /// The sender leaves, and its share of all limits with it.
    SignOff,
    /// A request at the sender needs credit.
    Wanted {
        /// The sender's number of the question.
        ask: u64,
        /// The client account.
        account: AccountName,
        /// How much.
        cost: Credits,
    },
    /// The credit is the receiver's.
    Lent {
        /// The receiver's number of the question.
        ask: u64,
        /// The client account.
        account: AccountName,
        /// How much.
        cost: Credits,
        /// After how long it may be used.
        wait: Duration,
    },
    /// The client account is over its limit.
    Denied {
        /// The receiver's number of the question.
        ask: u64,
        /// When there will be enough; none where there never is.
        retry_after: Option<Duration>,
    },
    /// Credit wasn't used.
    Returned {
        /// The client account.
        account: AccountName,
        /// How much.
        cost: Credits,
    },
}
