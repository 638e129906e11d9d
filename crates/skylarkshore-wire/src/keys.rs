//! Keys ([`KeyText`]) and values ([`StoredValue`]) in the key-value service.
//!
//! A value is JSON: `{"writer": {...}, "value": {...}}`. If the answer to a write
//! is lost, the process compares the writer to find out whether its write succeeded.

mod value;

use std::str::FromStr;

use derive_more::{Display, Error, From};
use skylarkshore_core::id::{
    DataCentre, Digest, HostId, InvalidDigest, InvalidName, ModelName, ServiceName, SiteName, UpstreamId,
};
use skylarkshore_core::store::Key;

use crate::percent::{self, InvalidEncoding};

pub use value::{
    AnswerWire, HomesWire, InvalidValue, MemberWire, OnceStateWire, OnceWire, OwnerWire, PowerWire,
    RelayRootWire, StoredValue, WriterWire,
};

/// Prefix of all keys that every process replicates.
pub const SHARED_PREFIX: &str = "skylarkshore/shared/";
/// Prefix of the keys of requests that must run at most once.
pub const ONCE_PREFIX: &str = "skylarkshore/once/";
/// Key of a catalogue that is configured separately from the document.
pub const CATALOGUE_KEY: &str = "skylarkshore/shared/catalogue";
/// Key of the operators' document.
pub const DOCUMENT_KEY: &str = "skylarkshore/shared/document";

const MEMBERS_FOLDER: &str = "members/";
const OWNERS_FOLDER: &str = "owners/";
const HOMES_FOLDER: &str = "homes/";
const POWER_FOLDER: &str = "power/";
const RELAY_ROOTS_FOLDER: &str = "relay_roots/";

/// A key in its stored text form.
///
/// Names are percent-encoded, so that a name with a slash stays a single path segment.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, From)]
#[display("{_0}")]
pub struct KeyText(String);

/// A text that isn't one of the system's keys.
#[derive(Debug, Display, Error)]
#[display("'{key}' is not one of the system's keys ({reason}); delete it, or upgrade this process")]
pub struct InvalidKey {
    key: String,
    reason: InvalidKeyReason,
}

/// Why a key isn't valid.
#[derive(Debug, Display, Error, From)]
pub enum InvalidKeyReason {
    /// Unknown prefix.
    #[display("unknown prefix")]
    Prefix,
    /// A percent sign isn't followed by two hexadecimal digits.
    #[display("{_0}")]
    Encoding(InvalidEncoding),
    /// The last segment isn't a valid name.
    #[display("{_0}")]
    Name(InvalidName),
    /// The last segment isn't a valid digest.
    #[display("{_0}")]
    Digest(InvalidDigest),
}

impl KeyText {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&Key> for KeyText {
    fn from(key: &Key) -> Self {
        Self(match key {
            Key::Document => DOCUMENT_KEY.to_owned(),
            Key::Catalogue => CATALOGUE_KEY.to_owned(),
            Key::Member(host) => shared_key(MEMBERS_FOLDER, host.as_str()),
            Key::Owner(engine) => shared_key(OWNERS_FOLDER, engine.as_str()),
            Key::Homes(model) => homes_key(model),
            Key::Power(site) => shared_key(POWER_FOLDER, site.as_str()),
            Key::RelayRoot(data_centre) => shared_key(RELAY_ROOTS_FOLDER, data_centre.as_str()),
            Key::Once(digest) => format!("{ONCE_PREFIX}{digest}"),
        })
    }
}

impl TryFrom<&KeyText> for Key {
    type Error = InvalidKey;

    fn try_from(text: &KeyText) -> Result<Self, Self::Error> {
        parse(text.as_str()).map_err(|reason| InvalidKey { key: text.0.clone(), reason })
    }
}

fn shared_key(folder: &str, name: &str) -> String {
    format!("{SHARED_PREFIX}{folder}{}", percent::encode(name))
}

fn parse(text: &str) -> Result<Key, InvalidKeyReason> {
    if text == DOCUMENT_KEY {
        return Ok(Key::Document);
    }
    if text == CATALOGUE_KEY {
        return Ok(Key::Catalogue);
    }
    if let Some(digest) = text.strip_prefix(ONCE_PREFIX) {
        return Ok(Key::Once(digest.parse::<Digest>()?));
    }
    let rest = text.strip_prefix(SHARED_PREFIX).ok_or(InvalidKeyReason::Prefix)?;
    if let Some(name) = rest.strip_prefix(MEMBERS_FOLDER) {
        return Ok(Key::Member(decode_name::<HostId>(name)?));
    }
    if let Some(name) = rest.strip_prefix(OWNERS_FOLDER) {
        return Ok(Key::Owner(decode_name::<UpstreamId>(name)?));
    }
    if let Some(name) = rest.strip_prefix(HOMES_FOLDER) {
        return parse_homes(name);
    }
    if let Some(name) = rest.strip_prefix(POWER_FOLDER) {
        return Ok(Key::Power(decode_name::<SiteName>(name)?));
    }
    if let Some(name) = rest.strip_prefix(RELAY_ROOTS_FOLDER) {
        return Ok(Key::RelayRoot(decode_name::<DataCentre>(name)?));
    }
    Err(InvalidKeyReason::Prefix)
}

/// Returns the key of a model's homes; the pool, if there is one, is a path segment of its own.
fn homes_key(model: &ModelName) -> String {
    let folder = model.pool().map_or_else(
        || HOMES_FOLDER.to_owned(),
        |pool| format!("{HOMES_FOLDER}{}/", percent::encode(pool.as_str())),
    );
    shared_key(&folder, model.as_str())
}

fn parse_homes(rest: &str) -> Result<Key, InvalidKeyReason> {
    let Some((pool, name)) = rest.split_once('/') else { return Ok(Key::Homes(decode_name(rest)?)) };
    let pool: ServiceName = decode_name(pool)?;
    Ok(Key::Homes(decode_name::<ModelName>(name)?.in_pool(&pool)))
}

fn decode_name<T: FromStr<Err = InvalidName>>(encoded: &str) -> Result<T, InvalidKeyReason> {
    Ok(percent::decode(encoded)?.parse()?)
}
