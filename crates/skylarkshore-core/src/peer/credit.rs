//! Messages about the credit of client accounts, between hosts and the coordinators that grant it.

use std::time::Duration;

use crate::id::AccountName;
use crate::units::Credits;

/// A message between a host and a coordinator, the host that grants the credit of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CreditMessage {
    /// Registers the sender with the receiver as its coordinator, or probes the receiver.
    SignOn {
        /// Whether the sender transfers its share of all limits.
        with_share: bool,
    },
    /// Acknowledges the registration; the sender is an active coordinator.
    SignedOn,
    /// Ends the registration and withdraws the sender's share of all limits.
    SignOff,
    /// Requests credit for a request at the sender.
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
    /// The client account is over its limit.
    Denied {
        /// Identifies the credit request at the receiver.
        ask: u64,
        /// Delay until there is enough credit; `None` if there never will be.
        retry_after: Option<Duration>,
    },
    /// Returns unused credit.
    Returned {
        /// The client account.
        account: AccountName,
        /// The amount.
        cost: Credits,
    },
}
