//! Anti-entropy: two members compare digests of their states, and exchange only the entries of buckets that differ.
//!
//! ```text
//! A -> B  Compare     the roots of A's two digests, over members and over votes
//! B -> A  Differs     B's digests, if a root differs
//! A -> B  Entries     A's entries of differing buckets, and which of these buckets are complete in the message
//! B -> A  Entries     B's entries of the complete buckets that are newer than A's or unknown to A
//!         WantSet     a request for a page of a set of down members that a received vote refers to
//!         SetPage     the requested page
//! ```
//!
//! Each message is one packet. Entries that don't fit are sent after a later comparison, usually with another member.

mod entries_builder;
pub(crate) mod local_state;
mod message;

pub use message::{Entries, MAX_PAGE_MEMBERS, Message, VoteEntry, WantedBuckets};
