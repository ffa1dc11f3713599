//! Bodies of messages, compressed where that saves enough.

use std::borrow::Cow;

/// Shorter bodies save too little to be worth the attempt.
const MIN_COMPRESSIBLE_BYTES: usize = 256;
/// Compression must save one part in this many, or decompressing is work for nothing.
const MIN_SAVED_PART: usize = 16;
/// No body is larger when decompressed: a larger size is damage.
const MAX_BODY_BYTES: usize = 128 * 1024;

/// A body as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredBody<'a> {
    /// Size before compression, if it is compressed.
    pub(crate) uncompressed_len: Option<u32>,
    pub(crate) bytes: Cow<'a, [u8]>,
}

/// The body compressed, if that is worth it.
pub(crate) fn compress(body: &[u8]) -> StoredBody<'_> {
    if body.len() >= MIN_COMPRESSIBLE_BYTES {
        let compressed = lz4_flex::block::compress(body);
        if compressed.len() + body.len() / MIN_SAVED_PART < body.len() {
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

/// The body as it was accepted, from its size before compression and its stored bytes; `None` if it can't be
/// decompressed.
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
