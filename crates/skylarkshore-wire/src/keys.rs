//! The system's own keys and values in the key-value service.
//!
//! A value is JSON: `{"writer": {...}, "value": {...}}`. The writer lets a process
//! whose write lost its answer tell its own value from another's.

mod value;

use std::str::FromStr;

use derive_more::{Display, Error, From};
use skylarkshore_core::id::{Digest, HostId, InvalidDigest, InvalidName, ModelName, SiteName, UpstreamId};
use skylarkshore_core::store::Key;

use crate::percent::{self, InvalidEncoding};

pub use value::{
    AnswerWire, HomesWire, InvalidValue, MemberWire, OnceStateWire, OnceWire, OwnerWire, PowerWire,
    StoredValue, WriterWire,
};

/// What every key begins with that all processes keep a copy of.
pub const SHARED_PREFIX: &str = "skylarkshore/shared/";
/// What the key of every live process begins with.
pub const MEMBERS_PREFIX: &str = "skylarkshore/shared/members/";
/// What every key begins with that belongs to a request that may not be repeated.
pub const ONCE_PREFIX: &str = "skylarkshore/once/";
/// The key of a catalogue that is configured apart from the document.
pub const CATALOGUE_KEY: &str = "skylarkshore/shared/catalogue";
/// The key of the operators' document.
pub const DOCUMENT_KEY: &str = "skylarkshore/shared/document";

const MEMBERS: &str = "members/";
const OWNERS: &str = "owners/";
const HOMES: &str = "homes/";
const POWER: &str = "power/";

/// A key as the key-value service has it.
///
/// Names in it are percent-encoded, so that one with a slash stays one part.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, From)]
#[display("{_0}")]
pub struct KeyText(String);

/// A text that is none of the system's keys.
#[derive(Debug, Display, Error)]
#[display("'{key}' is none of the system's keys ({reason}); delete it, or upgrade this process")]
pub struct InvalidKey {
    key: String,
    reason: KeyFault,
}

/// What is wrong with a key.
#[derive(Debug, Display, Error, From)]
pub enum KeyFault {
    /// It begins with none of the known prefixes.
    #[display("unknown prefix")]
    Prefix,
    /// A percent sign isn't followed by two hexadecimal digits.
    #[display("{_0}")]
    Encoding(InvalidEncoding),
    /// Its last part is no name.
    #[display("{_0}")]
    Name(InvalidName),
    /// Its last part is no digest.
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
            Key::Member(host) => shared(MEMBERS, host.as_str()),
            Key::Owner(engine) => shared(OWNERS, engine.as_str()),
            Key::Homes(model) => shared(HOMES, model.as_str()),
            Key::Power(site) => shared(POWER, site.as_str()),
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

fn shared(folder: &str, name: &str) -> String {
    format!("{SHARED_PREFIX}{folder}{}", percent::encode(name))
}

fn parse(text: &str) -> Result<Key, KeyFault> {
    if text == DOCUMENT_KEY {
        return Ok(Key::Document);
    }
    if text == CATALOGUE_KEY {
        return Ok(Key::Catalogue);
    }
    if let Some(digest) = text.strip_prefix(ONCE_PREFIX) {
        return Ok(Key::Once(digest.parse::<Digest>()?));
    }
    let rest = text.strip_prefix(SHARED_PREFIX).ok_or(KeyFault::Prefix)?;
    if let Some(name) = rest.strip_prefix(MEMBERS) {
        return Ok(Key::Member(name_in::<HostId>(name)?));
    }
    if let Some(name) = rest.strip_prefix(OWNERS) {
        return Ok(Key::Owner(name_in::<UpstreamId>(name)?));
    }
    if let Some(name) = rest.strip_prefix(HOMES) {
        return Ok(Key::Homes(name_in::<ModelName>(name)?));
    }
    if let Some(name) = rest.strip_prefix(POWER) {
        return Ok(Key::Power(name_in::<SiteName>(name)?));
    }
    Err(KeyFault::Prefix)
}

fn name_in<T: FromStr<Err = InvalidName>>(encoded: &str) -> Result<T, KeyFault> {
    Ok(percent::decode(encoded)?.parse()?)
}
