//! A value that was parsed from the front of a buffer.

/// A parsed value, and the number of bytes that it took at the front of the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Framed<T> {
    /// The parsed value.
    pub value: T,
    /// Bytes of the buffer that belong to the value.
    pub length: usize,
}
