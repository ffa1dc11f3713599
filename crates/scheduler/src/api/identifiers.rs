//! Typed identifiers of messages, endpoints, destinations and ordering keys.

use std::fmt;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub String);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}
text_id!(
    /// Id of a message. Actions return it unmodified.
    MessageId
);
text_id!(
    /// Id of an endpoint. Actions return it unmodified.
    EndpointId
);
text_id!(
    /// Ordering key: messages with the same key are sent one at a time, in the order accepted.
    OrderingKey
);

/// Id of a destination. A message is sent only to endpoints of its own destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u64);
