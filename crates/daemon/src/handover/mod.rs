//! Hand-over between two processes over one state folder: the lock that says which of them works, and what the old process
//! passes to the new one.
//!
//! The new process calls [`take_over`] before it opens anything; the old one answers with [`HandoverServer`]. A message is its
//! length, then its bytes; a descriptor comes with the first byte of the message that describes it.

mod client;
mod lock;
mod message;
mod server;

pub use client::HandoverError;
pub(crate) use client::{InheritedClient, InheritedSockets, take_over};
pub(crate) use lock::FolderLock;
pub(crate) use server::HandoverServer;

/// Files of these names in the state folder are not the journal's.
pub(crate) const FILE_NAMES: [&str; 2] = [lock::LOCK_FILE, message::SOCKET_FILE];
