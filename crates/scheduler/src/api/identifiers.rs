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
    /// Names one message; returned unmodified.
    MessageId
);
text_id!(
    /// Names one endpoint; returned unmodified.
    EndpointId
);
text_id!(
    /// Orders messages: those with one key are sent one at a time.
    OrderingKey
);

/// Names one destination. A message may go only to endpoints of its own destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u64);
