//! The bytes of a journal's files: encoding and decoding, without I/O. `docs/journal-format.md` describes them.

pub(crate) mod body;
pub(crate) mod frame;
pub(crate) mod key;
pub(crate) mod manifest;
pub(crate) mod packed_id;
pub(crate) mod record;
pub(crate) mod segment;
