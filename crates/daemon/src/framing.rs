//! The result of looking for a complete message at the beginning of a buffer.

/// A message at the beginning of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Framed<T> {
    /// The message is complete.
    Complete {
        /// The message.
        message: T,
        /// Its length in the buffer, in bytes.
        length: usize,
    },
    /// More bytes are needed.
    Incomplete {
        /// The least number of bytes in the buffer with which the message can be complete.
        needed: usize,
    },
}

impl<T> Framed<T> {
    /// The message and its length, if it is complete.
    pub fn complete(self) -> Option<(T, usize)> {
        match self {
            Framed::Complete { message, length } => Some((message, length)),
            Framed::Incomplete { .. } => None,
        }
    }
}
