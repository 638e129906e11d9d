//! Client accounts with the digests of their API keys; start with [`AccountWire`].

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use skylarkshore_core::accounts::{Account, AccountLimit, Accounts, AmbiguousAccount, KeyDigest, LimitUnit};
use skylarkshore_core::id::{AccountName, InvalidDigest};
use skylarkshore_core::units::{CreditRate, Credits};

/// Why client accounts aren't valid.
#[derive(Debug, Display, Error, From, PartialEq, Eq)]
pub enum InvalidAccount {
    /// An API key's digest can't be parsed.
    #[display("the key of a client account: {_0}")]
    Key(InvalidDigest),
    /// Two accounts conflict with each other.
    #[display("{_0}")]
    Ambiguous(AmbiguousAccount),
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountWire {
    /// SHA-256 digests of its API keys, in hexadecimal.
    #[serde(default)]
    pub key_digests: BTreeSet<String>,
    /// Priority of its requests, compared before the priority of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Cost of a request that states no token count; if absent, each request counts as one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plain_tokens: Option<u64>,
    /// Usage limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<AccountLimitWire>,
}

/// Usage limit of a client account, in tokens or requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLimitWire {
    /// Credit added in a thousand seconds.
    pub per_kilosecond: u64,
    /// Maximum credit that can accumulate.
    pub burst: u64,
}

impl From<&Account> for AccountWire {
    fn from(account: &Account) -> Self {
        Self {
            key_digests: account.keys.iter().map(|key| key.0.to_hex()).collect(),
            priority: account.priority,
            plain_tokens: match account.unit {
                LimitUnit::Requests => None,
                LimitUnit::Tokens { default_cost } => Some(default_cost.0),
            },
            limit: account.limit.map(Into::into),
        }
    }
}

impl TryFrom<AccountWire> for Account {
    type Error = InvalidDigest;

    fn try_from(wire: AccountWire) -> Result<Self, Self::Error> {
        let keys = wire.key_digests.iter().map(|key| Ok(KeyDigest(key.parse()?)));
        Ok(Self {
            keys: keys.collect::<Result<_, Self::Error>>()?,
            priority: wire.priority,
            unit: wire.plain_tokens.map_or(LimitUnit::Requests, |default_cost| LimitUnit::Tokens {
                default_cost: Credits(default_cost),
            }),
            limit: wire.limit.map(Into::into),
        })
    }
}

impl From<AccountLimit> for AccountLimitWire {
    fn from(limit: AccountLimit) -> Self {
        Self { per_kilosecond: limit.rate.0, burst: limit.burst.0 }
    }
}

impl From<AccountLimitWire> for AccountLimit {
    fn from(wire: AccountLimitWire) -> Self {
        Self { rate: CreditRate(wire.per_kilosecond), burst: Credits(wire.burst) }
    }
}

pub(crate) fn accounts_to_wire(accounts: &Accounts) -> BTreeMap<AccountName, AccountWire> {
    accounts.iter().map(|(name, account)| (name.clone(), account.into())).collect()
}

pub(crate) fn accounts_from_wire(
    wire: BTreeMap<AccountName, AccountWire>,
) -> Result<Accounts, InvalidAccount> {
    let mut accounts = Accounts::default();
    for (name, account) in wire {
        accounts.add(name, account.try_into()?)?;
    }
    Ok(accounts)
}
