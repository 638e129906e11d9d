//! Client accounts: which keys they hold, how urgent they are, and how much they may use.

use derive_more::{Display, Error};

use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::id::{AccountName, Digest};
use crate::units::{CreditRate, Credits};

/// The digest under which a key is looked up.
///
/// The key itself is only in the caller's request, so that no log, state dump
/// or peer can show it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub Digest);

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a client account's limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request as one.
    #[default]
    Requests,
    /// The tokens of each request.
    Tokens {
        /// What a request counts that doesn't tell its tokens.
        default_cost: Credits,
    },
}

impl LimitUnit {
    /// Returns what a request counts that tells so many tokens, or none.
    pub fn cost(self, tokens: Option<u64>) -> Credits {
        match self {
            Self::Requests => Credits(1),
            Self::Tokens { default_cost } => tokens.map_or(default_cost, Credits),
        }
    }
}

/// How much a client account may use, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimit {
    /// How fast credit comes.
    pub rate: CreditRate,
    /// How much credit can be saved up.
    pub burst: Credits,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// The keys that callers show.
    pub keys: OrderedSet<KeyDigest>,
    /// How urgent its requests are, before their routes' priorities; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What its limit counts.
    pub unit: LimitUnit,
    /// How much it may use; none where that is not limited.
    pub limit: Option<AccountLimit>,
}

/// A request's client account, and what the request counts there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The client account.
    pub account: AccountName,
    /// The key that the caller showed.
    pub key: KeyDigest,
    /// What the request counts.
    pub cost: Credits,
}

/// Two client accounts can't be told apart.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum AmbiguousAccount {
    /// The same key is given to both.
    #[display("the client accounts '{first}' and '{second}' share a key; take it from one of them")]
    SharedKey {
        /// The account that was read first.
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

/// All client accounts, found by name and by key.
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
    /// Its name or one of its keys is taken.
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

    /// Tells whether there are no accounts, so that callers need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Finds the account that holds a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<(&AccountName, &Account)> {
        self.by_name.get_key_value(self.by_key.get(key)?)
    }

    /// Returns an account.
    pub fn get(&self, name: &AccountName) -> Option<&Account> {
        self.by_name.get(name)
    }

    /// Returns all accounts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &Account)> {
        self.by_name.iter()
    }
}
