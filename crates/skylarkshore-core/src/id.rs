//! Identifier types: names, numbers and digests, each a distinct type.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes.
pub const MAX_NAME_LEN: usize = 128;

/// Error for a text that is not a valid name.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("'{text}' is not a name; use 1 to {MAX_NAME_LEN} letters, digits or any of . _ : / @ -")]
pub struct InvalidName {
    text: String,
}

fn validate_name(s: &str) -> Result<(), InvalidName> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"._:/@-".contains(&b);
    if s.is_empty() || s.len() > MAX_NAME_LEN || !s.bytes().all(is_allowed) {
        let text = s.chars().take(MAX_NAME_LEN).collect();
        return Err(InvalidName { text });
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                validate_name(s)?;
                Ok(Self(s.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(s: String) -> Result<Self, Self::Error> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, derive_more::FromStr, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

name! {
    /// An entry host that runs one skylarkshore process.
    HostId
}
name! {
    /// A data centre.
    DataCentre
}
name! {
    /// A site with a common power cap.
    SiteName
}
name! {
    /// An adapter on a base model.
    AdapterName
}
name! {
    /// The version of a model's weights.
    ModelVersion
}
name! {
    /// The version of an upstream's software, as opposed to that of a model's weights.
    SoftwareVersion
}
name! {
    /// A model engine or a replica of a plain service.
    UpstreamId
}
name! {
    /// A plain service.
    ServiceName
}
name! {
    /// A route of the operators' configuration.
    RouteName
}
name! {
    /// The caller on whose behalf a request is made.
    CallerId
}
name! {
    /// A client account.
    AccountName
}

/// A base model: its name, and the pool of engines that it belongs to if models are configured by pool.
///
/// Two pools may list a model of the same name, with other weights and for other callers. Everything that is
/// kept for a model is kept under both, or the requests of one pool would be run by the other.
///
/// As text it is the name alone, which is how engines, operators' rules and processes of earlier versions
/// name it; [`Display`](std::fmt::Display) shows the pool as well.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ModelName {
    // Comes first, so that the models of one name are adjacent in ordered collections.
    name: Arc<str>,
    pool: Option<ServiceName>,
}

impl ModelName {
    /// Returns the name without the pool.
    pub fn as_str(&self) -> &str {
        &self.name
    }

    /// Returns the pool; `None` if models aren't configured by pool, or the pool isn't known.
    pub const fn pool(&self) -> Option<&ServiceName> {
        self.pool.as_ref()
    }

    /// Returns the model of this name in a pool.
    #[must_use]
    pub fn in_pool(&self, pool: &ServiceName) -> Self {
        Self { name: Arc::clone(&self.name), pool: Some(pool.clone()) }
    }

    /// Returns the name alone.
    #[must_use]
    pub fn without_pool(&self) -> Self {
        Self { name: Arc::clone(&self.name), pool: None }
    }
}

impl std::fmt::Display for ModelName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.pool {
            Some(pool) => write!(f, "{pool}/{}", self.name),
            None => f.write_str(&self.name),
        }
    }
}

impl FromStr for ModelName {
    type Err = InvalidName;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        validate_name(s)?;
        Ok(Self { name: s.into(), pool: None })
    }
}

impl TryFrom<String> for ModelName {
    type Error = InvalidName;

    fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse()
    }
}

impl From<ModelName> for String {
    fn from(model: ModelName) -> Self {
        model.as_str().to_owned()
    }
}

number! {
    /// An incarnation of a process or upstream; a restart has a higher number.
    Incarnation
}
number! {
    /// A fencing token; an engine that checks it refuses lower ones.
    Fence
}
number! {
    /// An era of the key-value service; a new one begins when the service comes back from an older copy.
    StoreEra
}

/// A place in the history of the key-value service: an era and a revision within it.
///
/// Revisions that were given out in an earlier era are given out again, so the era goes before the
/// revision in the order. On the wire, where earlier versions know no eras, both are one number with the
/// era in the upper bits.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// Number of bits of a revision within an era; the largest places stay below 2^53 for 8,192 eras, so
    /// that fences made of them are exact in JSON.
    const NUMBER_BITS: u32 = 40;

    /// Returns the place of a revision of an era.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self((era.0 << Self::NUMBER_BITS) | (number & ((1 << Self::NUMBER_BITS) - 1)))
    }

    /// Returns the era.
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 >> Self::NUMBER_BITS)
    }

    /// Returns the revision within its era, as the service counts.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }

    /// Returns the next revision of the era.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.era() {
            StoreEra(0) => write!(f, "{}", self.number()),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}

impl Fence {
    /// Returns the lowest fence of an era; all fences of earlier eras are lower.
    pub const fn first_of(era: StoreEra) -> Self {
        Self(StoreRevision::in_era(era, 0).0)
    }
}
number! {
    /// Revision of the rules document, assigned by the operators.
    RulesRevision
}
number! {
    /// Revision of a catalogue that is configured separately from the rules.
    CatalogueRevision
}
number! {
    /// A call to the key-value service, unique within a process.
    CallId
}
number! {
    /// An order to an engine, unique within a process.
    OrderId
}
number! {
    /// A caller's request, unique within a process.
    RequestId
}
number! {
    /// An attempt to run a request on an upstream, unique within a process.
    AttemptId
}
number! {
    /// A lease at the key-value service.
    LeaseId
}

/// A SHA-256 digest, such as that of a request, an idempotency key or a certificate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{}", self.to_hex())]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the digest as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        use std::fmt::Write;

        self.0.iter().fold(String::with_capacity(64), |mut hex, byte| {
            // Writing to a `String` can't fail.
            _ = write!(hex, "{byte:02x}");
            hex
        })
    }
}

impl Digest {
    /// Returns the first eight hexadecimal digits.
    pub fn short(&self) -> String {
        let mut hex = self.to_hex();
        hex.truncate(8);
        hex
    }
}

impl From<Digest> for SoftwareVersion {
    /// Names a version by a digest, where its own text isn't a name.
    fn from(digest: Digest) -> Self {
        Self(digest.to_hex().into())
    }
}

/// A stream, by the digest of the id that its caller gave the request that brought its first event.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    derive_more::FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StreamId(pub Digest);

/// Error for a text that is not a digest.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("a digest has 64 hexadecimal digits; read it again from its source")]
pub struct InvalidDigest;

impl FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        if s.len() != 64 || !s.is_ascii() {
            return Err(InvalidDigest);
        }
        let mut digest = [0; 32];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).map_err(|_invalid| InvalidDigest)?;
        }
        Ok(Self(digest))
    }
}
