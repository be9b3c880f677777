//! Names as shared immutable strings; cloning one copies a pointer.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: Serializer,
            {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: Deserializer<'de>,
            {
                deserializer.deserialize_str(NameVisitor).map(Self)
            }
        }
    };
}

name! {
    /// Identifies one running process of the proxy; a restart gets a new id.
    InstanceId
}
name! {
    /// Names a data centre.
    DataCentre
}
name! {
    /// Names a region, which has one or more data centres.
    Region
}
name! {
    /// Names a workspace, the unit that contracts, keys, rates and fairness refer to.
    Workspace
}
name! {
    /// Names a database, which is served by one group of members.
    Database
}
name! {
    /// Names a group of members that replicate one log.
    Group
}
name! {
    /// Names a member of a database group: one upstream server.
    MemberId
}
name! {
    /// Identifies a log of a group by where it is kept: the address of its member. A member that comes back with its log may
    /// have another [`MemberId`], but has the same address.
    LogId
}
name! {
    /// The public part of a key.
    KeyId
}

struct NameVisitor;

impl de::Visitor<'_> for NameVisitor {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name that is not empty")
    }

    fn visit_str<E>(self, text: &str) -> Result<Self::Value, E>
    where
        E: de::Error,
    {
        if text.is_empty() {
            return Err(E::invalid_length(0, &self));
        }
        Ok(Arc::from(text))
    }
}
