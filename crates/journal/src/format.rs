//! Encoding and decoding of a journal's files, without I/O. `docs/journal-format.md` specifies them.

pub(crate) mod body;
pub(crate) mod frame;
pub(crate) mod key;
pub(crate) mod manifest;
pub(crate) mod packed_id;
pub(crate) mod record;
pub(crate) mod segment;
