//! Client accounts: their keys, priorities and limits. Start with [`Accounts`].

use derive_more::{Display, Error};

use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::id::{AccountName, Digest};
use crate::units::{CreditRate, Credits};

/// The digest of an account's key.
///
/// The key itself is contained only in the caller's request, so no log, state dump or peer can
/// disclose it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub Digest);

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The unit in which a client account's limit is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitUnit {
    /// Requests; each one costs 1.
    #[default]
    Requests,
    /// Tokens.
    Tokens {
        /// The cost of a request that doesn't state its token count.
        default_cost: Credits,
    },
}

impl LimitUnit {
    /// Returns the cost of a request; `tokens` is the token count that it states, if any.
    pub fn cost(self, tokens: Option<u64>) -> Credits {
        match self {
            Self::Requests => Credits(1),
            Self::Tokens { default_cost } => tokens.map_or(default_cost, Credits),
        }
    }
}

/// How much a client account may use across all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimit {
    /// The rate at which credit refills.
    pub rate: CreditRate,
    /// The most credit that can accumulate.
    pub burst: Credits,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// The keys that callers present.
    pub keys: OrderedSet<KeyDigest>,
    /// The priority of its requests, compared before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The unit of its limit.
    pub unit: LimitUnit,
    /// How much it may use; none if it is not limited.
    pub limit: Option<AccountLimit>,
}

/// A request's client account, and the cost charged to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The client account.
    pub account: AccountName,
    /// The key that the caller presented.
    pub key: KeyDigest,
    /// The cost of the request.
    pub cost: Credits,
}

/// Two client accounts that can't be distinguished.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum AmbiguousAccount {
    /// Both have the same key.
    #[display("the client accounts '{first}' and '{second}' share a key; take it from one of them")]
    SharedKey {
        /// The account that was added first.
        first: AccountName,
        /// The other one.
        second: AccountName,
    },
    /// They have the same name.
    #[display("the client account '{name}' stands twice; remove one of them")]
    SameName {
        /// The name.
        name: AccountName,
    },
}

/// All client accounts, indexed by name and by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts {
    by_name: OrderedMap<AccountName, Account>,
    by_key: HashMap<KeyDigest, AccountName>,
}

impl Accounts {
    /// Adds an account.
    ///
    /// # Errors
    ///
    /// Returns an error if its name or one of its keys is already taken.
    pub fn add(&mut self, name: AccountName, account: Account) -> Result<(), AmbiguousAccount> {
        if self.by_name.contains_key(&name) {
            return Err(AmbiguousAccount::SameName { name });
        }
        for key in &account.keys {
            if let Some(first) = self.by_key.insert(*key, name.clone()) {
                return Err(AmbiguousAccount::SharedKey { first, second: name });
            }
        }
        self.by_name.insert(name, account);
        Ok(())
    }

    /// Reports whether there are no accounts, so that callers need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the account that a key belongs to.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<(&AccountName, &Account)> {
        self.by_name.get_key_value(self.by_key.get(key)?)
    }

    /// Returns an account.
    pub fn get(&self, name: &AccountName) -> Option<&Account> {
        self.by_name.get(name)
    }

    /// Returns all accounts, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &Account)> {
        self.by_name.iter()
    }
}
