//! Anti-entropy: two members compare digests of their states, and only what differs is sent.
//!
//! ```text
//! A -> B  Compare     the roots of both digests, in each period
//! B -> A  Differs     the digests, if a root differs
//! A -> B  Entries     A's entries of differing buckets; complete buckets are to be answered
//! B -> A  Entries     B's entries of these buckets that are newer, or that A lacks
//!         WantSet     a request for a set of down members that a vote names and that isn't known
//!         SetPage     a page of it
//! ```
//!
//! Each message is one packet. Entries that don't fit are left to a later comparison, with another member.

mod entries_builder;
pub(crate) mod local_state;
mod message;

pub use message::{Entries, MAX_PAGE_MEMBERS, Message, VoteEntry, WantedBuckets};
