//! Typed identifiers, so that identifiers of different kinds cannot be mixed up.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates the identifier without validating the name.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(std::sync::Arc::from(name.as_ref()))
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    )*};
}

macro_rules! number_type {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    )*};
}

name_type! {
    /// A tenant: the unit of isolation and of limits.
    TenantName;
    /// A model, by the name that callers use.
    ModelName;
    /// An adapter that is loaded on top of a model.
    AdapterName;
    /// A pool: the engines that serve the same model.
    PoolName;
    /// An engine, by its name on the platform.
    EngineName;
    /// A machine, by its name on the platform.
    MachineName;
    /// A zone, named `region/zone` if it belongs to a region.
    ZoneName;
    /// A router process, by the name in its settings.
    RouterName;
    /// An operator, identified by the key that it presents.
    OperatorName;
    /// The caller's key for a request that must not run twice.
    IdempotencyKey;
    /// The operator's key for one change, by which a resent change is recognised.
    ChangeId;
}

number_type! {
    /// Identifies one start of an engine. An engine's cache is empty after each start.
    Incarnation;
    /// The version of a model's weights. Cache entries computed with another version are unusable.
    WeightsVersion;
    /// The term of the control leader that issued an order; it fences orders of earlier leaders.
    Epoch;
    /// The position of a change in the replicated store. Each change increments it by one.
    Revision;
    /// A compact engine identifier: the hash of the engine's name.
    EngineId;
}

impl ZoneName {
    /// The region of a zone that is named `region/zone`; empty if the name has no region.
    pub fn region(&self) -> &str {
        self.as_str()
            .split_once('/')
            .map_or("", |(region, _)| region)
    }
}

impl EngineName {
    /// The compact identifier that load reports and the cache index use.
    pub fn id(&self) -> EngineId {
        EngineId(xxhash_rust::xxh3::xxh3_64(self.as_str().as_bytes()))
    }
}

/// A request identifier, unique across routers and restarts: a random router part and a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Chosen at random when the router starts.
    pub router: u64,
    /// The number of the request at its router, from 1.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{:x}", self.router, self.sequence)
    }
}

impl std::str::FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (router, sequence) = text.split_once('-').unwrap_or((text, ""));
        Ok(Self {
            router: u64::from_str_radix(router, 16)?,
            sequence: u64::from_str_radix(sequence, 16)?,
        })
    }
}

impl Serialize for RequestId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
