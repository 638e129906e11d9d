//! How a caller's key leads to its client account.

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};
use skylarkshore_core::accounts::{Accounts, Charge, KeyDigest};
use skylarkshore_core::id::AccountName;

use crate::digest::digest;

/// The longest key that is looked up, in bytes.
const MAX_KEY_LEN: usize = 256;

/// Returns the digest under which a key is looked up; none for what can't be a key.
pub fn key_digest(key: &[u8]) -> Option<KeyDigest> {
    let can_be = !key.is_empty() && key.len() <= MAX_KEY_LEN;
    can_be.then(|| KeyDigest(digest(&[key])))
}

/// Returns the value of a header that may stand once only.
pub fn only_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Charges a request to the account that holds its key; none if no account does.
///
/// `tokens` is what the request says that it counts, where it does.
pub fn charge(accounts: &Accounts, key: &[u8], tokens: Option<u64>) -> Option<Charge> {
    let key = key_digest(key)?;
    let (name, account) = accounts.find_by_key(&key)?;
    Some(Charge { account: name.clone(), key, cost: account.unit.cost(tokens) })
}

/// Sets the header that names the client account, in place of whatever the caller sent.
pub fn name_account(headers: &mut HeaderMap, header: &HeaderName, account: Option<&AccountName>) {
    headers.remove(header);
    // A checked name is always a valid header value.
    if let Some(value) = account.and_then(|name| HeaderValue::from_str(name.as_str()).ok()) {
        headers.insert(header, value);
    }
}
