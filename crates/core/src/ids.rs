//! Typed identifiers. A worker id is not a number, a tenant is not a string.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Wraps a name without checking it.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(std::sync::Arc::from(name.as_ref()))
            }

            /// The name as text.
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
    /// A tenant, the unit of isolation and of limits.
    TenantName;
    /// A model as callers name it.
    ModelName;
    /// An adapter on top of a model.
    AdapterName;
    /// A pool of engines that serve the same model.
    PoolName;
    /// An engine as the platform names it.
    EngineName;
    /// A machine as the platform names it.
    MachineName;
    /// A zone of a region.
    ZoneName;
    /// A router process.
    RouterName;
    /// An operator, named by the key it presents.
    OperatorName;
    /// The caller's key for work that may not be repeated.
    IdempotencyKey;
    /// The operator's key for one change, so that a resent change is recognised.
    ChangeId;
}

number_type! {
    /// Changes each time an engine starts; an engine's cache is empty under a new one.
    Incarnation;
    /// The version of a model's weights; cache computed under another one is worthless.
    WeightsVersion;
    /// The term of the control leader that issued an order.
    Epoch;
    /// The position of a change in the replicated store; grows by one with each change.
    Revision;
    /// A compact engine identity: the hash of its name.
    EngineId;
}

impl ZoneName {
    /// The region of a zone that is named `region/zone`; empty when the name has none.
    pub fn region(&self) -> &str {
        self.as_str()
            .split_once('/')
            .map_or("", |(region, _)| region)
    }
}

impl EngineName {
    /// The compact identity that load reports and the index use.
    pub fn id(&self) -> EngineId {
        EngineId(xxhash_rust::xxh3::xxh3_64(self.as_str().as_bytes()))
    }
}

/// A request, unique over routers and restarts: random router part and a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Drawn at random when the router starts.
    pub router: u64,
    /// Counts the router's requests from 1.
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
