//! Distinct types for names, so that one kind cannot be used in place of another.

use std::fmt;
use std::sync::Arc;

macro_rules! names {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Copies a name.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
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
    )*};
}

names! {
    /// The name of an incarnation of a back end; each start of a back end has a new one.
    InstanceId;
    /// The name of a pool of back ends that serve the same requests.
    PoolName;
    /// The name of a model that back ends run.
    ModelName;
    /// The name of a tenant.
    TenantName;
}
