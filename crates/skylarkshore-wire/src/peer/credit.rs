//! Messages about the credit of client accounts; see [`CreditMessageWire`].

use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkshore_core::id::AccountName;
use skylarkshore_core::peer::CreditMessage;
use skylarkshore_core::units::Credits;

/// A message in its wire form. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the variants and fields are those of the core's CreditMessage")]
pub enum CreditMessageWire {
    SignOn { with_share: bool },
    SignedOn,
    SignOff,
    Wanted { ask: u64, account: AccountName, cost: Credits },
    Lent { ask: u64, account: AccountName, cost: Credits, wait_us: u64 },
    Denied { ask: u64, retry_after_us: Option<u64> },
    Returned { account: AccountName, cost: Credits },
}

impl From<&CreditMessage> for CreditMessageWire {
    fn from(message: &CreditMessage) -> Self {
        match message.clone() {
            CreditMessage::SignOn { with_share } => Self::SignOn { with_share },
            CreditMessage::SignedOn => Self::SignedOn,
            CreditMessage::SignOff => Self::SignOff,
            CreditMessage::Wanted { ask, account, cost } => Self::Wanted { ask, account, cost },
            CreditMessage::Lent { ask, account, cost, wait } => {
                Self::Lent { ask, account, cost, wait_us: micros(wait) }
            }
            CreditMessage::Denied { ask, retry_after } => {
                Self::Denied { ask, retry_after_us: retry_after.map(micros) }
            }
            CreditMessage::Returned { account, cost } => Self::Returned { account, cost },
        }
    }
}

impl From<CreditMessageWire> for CreditMessage {
    fn from(wire: CreditMessageWire) -> Self {
        match wire {
            CreditMessageWire::SignOn { with_share } => Self::SignOn { with_share },
            CreditMessageWire::SignedOn => Self::SignedOn,
            CreditMessageWire::SignOff => Self::SignOff,
            CreditMessageWire::Wanted { ask, account, cost } => Self::Wanted { ask, account, cost },
            CreditMessageWire::Lent { ask, account, cost, wait_us } => {
                Self::Lent { ask, account, cost, wait: Duration::from_micros(wait_us) }
            }
            CreditMessageWire::Denied { ask, retry_after_us } => {
                Self::Denied { ask, retry_after: retry_after_us.map(Duration::from_micros) }
            }
            CreditMessageWire::Returned { account, cost } => Self::Returned { account, cost },
        }
    }
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
