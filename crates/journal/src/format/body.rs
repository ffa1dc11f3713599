//! LZ4 compression of message bodies, where it saves enough.

use std::borrow::Cow;

/// Shorter bodies are not compressed: they save too little.
const MIN_COMPRESSIBLE_BYTES: usize = 256;
/// The compressed form is used only if it saves at least this fraction of the body's size, as a divisor; less does not
/// justify the cost of decompression.
const MIN_SAVED_DIVISOR: usize = 16;
/// Upper bound on a body's size before compression: a stored size above it is damage.
const MAX_BODY_BYTES: usize = 128 * 1024;

/// A body in its stored form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredBody<'a> {
    /// Size in bytes before compression; `None` if it is not compressed.
    pub(crate) uncompressed_len: Option<u32>,
    pub(crate) bytes: Cow<'a, [u8]>,
}

/// The stored form of a body: compressed if that saves enough, else unchanged.
pub(crate) fn compress(body: &[u8]) -> StoredBody<'_> {
    if body.len() >= MIN_COMPRESSIBLE_BYTES {
        let compressed = lz4_flex::block::compress(body);
        if compressed.len() + body.len() / MIN_SAVED_DIVISOR < body.len() {
            return StoredBody {
                uncompressed_len: Some(body.len() as u32),
                bytes: Cow::Owned(compressed),
            };
        }
    }
    StoredBody {
        uncompressed_len: None,
        bytes: Cow::Borrowed(body),
    }
}

/// Restores a body from its size before compression and its stored bytes. `None` as size means that it is not
/// compressed.
///
/// Returns `None` if the bytes can't be decompressed to exactly that size, or the size is over 128 KiB.
pub fn decompress(uncompressed_len: Option<u32>, stored: &[u8]) -> Option<Cow<'_, [u8]>> {
    let Some(len) = uncompressed_len else {
        return Some(Cow::Borrowed(stored));
    };
    let len = usize::try_from(len)
        .ok()
        .filter(|&len| len <= MAX_BODY_BYTES)?;
    let body = lz4_flex::block::decompress(stored, len).ok()?;
    (body.len() == len).then_some(Cow::Owned(body))
}

#[cfg(test)]
mod tests;
