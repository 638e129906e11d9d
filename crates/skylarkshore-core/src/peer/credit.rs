//! Messages about the credit of client accounts, between hosts and the coordinators that grant it.

use std::time::Duration;

use crate::id::AccountName;
use crate::units::Credits;

/// A message between a host and a coordinator, the host that grants the credit of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CreditMessage {
    /// Registers the sender's share of all limits with the receiver, a coordinator, or renews the
    /// registration; without the share, the message only probes whether the receiver answers.
    SignOn {
        /// Whether the sender's share is registered.
        with_share: bool,
    },
    /// Answers a registration or a probe; the sender is an active coordinator.
    SignedOn,
    /// Removes the sender's registration, and its share of all limits with it.
    SignOff,
    /// Requests credit for a request at the sender, and registers the sender's share, too.
    Wanted {
        /// Identifies the credit request at the sender.
        ask: u64,
        /// The client account.
        account: AccountName,
        /// The amount.
        cost: Credits,
    },
    /// Grants the credit.
    Lent {
        /// Identifies the credit request at the receiver.
        ask: u64,
        /// The client account.
        account: AccountName,
        /// The amount.
        cost: Credits,
        /// Delay before the credit may be used.
        wait: Duration,
    },
    /// Denies the credit: the client account is over its limit, or the cost exceeds what the
    /// account may use in a whole window.
    Denied {
        /// Identifies the credit request at the receiver.
        ask: u64,
        /// Delay until there is enough credit; `None` if there never will be.
        retry_after: Option<Duration>,
    },
    /// Returns unused credit to the account's bucket at the receiver.
    Returned {
        /// The client account.
        account: AccountName,
        /// The amount.
        cost: Credits,
    },
}
