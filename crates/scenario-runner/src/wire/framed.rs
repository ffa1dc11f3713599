//! A value that was parsed from the start of a buffer.

/// A parsed value, and its length at the start of the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Framed<T> {
    /// The value.
    pub value: T,
    /// Number of bytes to remove from the start of the buffer.
    pub length: usize,
}
