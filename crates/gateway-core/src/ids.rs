//! Names that are not interchangeable.

use std::fmt;
use std::sync::Arc;

macro_rules! names {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// One incarnation of a back end; a restart brings another.
    InstanceId;
    /// A pool of back ends that serve the same requests.
    PoolName;
    /// A model that back ends hold in memory.
    ModelName;
    /// A tenant.
    TenantName;
}
