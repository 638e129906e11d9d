//! Finds the client account of a caller's key. Start with [`charge`].

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};
use skylarkshore_core::accounts::{Accounts, Charge, KeyDigest};
use skylarkshore_core::id::AccountName;

use crate::digest::digest;

/// The longest key that is looked up, in bytes.
const MAX_KEY_LEN: usize = 256;

/// Returns the digest of a key; `None` if the length is invalid.
pub fn key_digest(key: &[u8]) -> Option<KeyDigest> {
    let is_valid_len = !key.is_empty() && key.len() <= MAX_KEY_LEN;
    is_valid_len.then(|| KeyDigest(digest(&[key])))
}

/// Returns the value of a header that occurs exactly once.
pub fn only_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Returns the charge to the account that holds the key; `None` if there is none.
///
/// `tokens` is the number that the request states, if any.
pub fn charge(accounts: &Accounts, key: &[u8], tokens: Option<u64>) -> Option<Charge> {
    let key = key_digest(key)?;
    let (name, account) = accounts.find_by_key(&key)?;
    Some(Charge { account: name.clone(), key, cost: account.unit.cost(tokens) })
}

/// Sets the header that names the client account; a value from the caller is removed.
pub fn name_account(headers: &mut HeaderMap, header: &HeaderName, account: Option<&AccountName>) {
    headers.remove(header);
    // An account name is always a valid header value.
    if let Some(value) = account.and_then(|name| HeaderValue::from_str(name.as_str()).ok()) {
        headers.insert(header, value);
    }
}
