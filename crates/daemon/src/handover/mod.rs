//! Hand-over of a state folder from a running process to a new one: the lock that one of them holds, and the messages with which
//! the old process sends its sockets and learned state.
//!
//! The new process calls [`acquire_folder`] before it opens anything; the old one answers with [`HandoverServer`]. A message is
//! its length, then its bytes; a descriptor is sent with the first byte of the message that describes it.

mod client;
mod lock;
mod message;
mod server;

pub use client::HandoverError;
pub(crate) use client::{InheritedClient, InheritedSockets, acquire_folder};
pub(crate) use lock::FolderLock;
pub(crate) use server::HandoverServer;

/// Names of the files in the state folder that belong to hand-over and not to the journal.
pub(crate) const FILE_NAMES: [&str; 2] = [lock::LOCK_FILE, message::SOCKET_FILE];
