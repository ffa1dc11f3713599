//! Recovery of a sender after a restart. The crate decides which learned state the sender may still use, its own or
//! that of other members, in which order it sends recovered messages, and when it is back in full service. It does no
//! I/O and reads no clock.
//!
//! The main types are [`Recovery`] (the phases), [`LearnedStateCache`] (learned state and its age) and [`WorkQueue`]
//! (the order of messages). [`encode_chunks`] and [`decode_chunk`] are for packets between members,
//! [`encode_state_file`] and [`decode_state_file`] for the state file.

mod encoding;
mod learned_state_cache;
mod recovery;
mod work_queue;

pub use encoding::{
    DecodeError, MAX_LEARNED_STATE_BYTES, decode_chunk, decode_state_file, encode_chunks,
    encode_state_file,
};
pub use learned_state_cache::{LearnedStateCache, MaxAges};
pub use recovery::{Phase, Recovery, Settings};
pub use work_queue::WorkQueue;
