//! Encodes learned state in chunks for packets between members, and as the content of the state file.

use cranehill_scheduler::LearnedState;

/// The first bytes of the state file; the last one is the version of the format.
const FILE_HEADER: [u8; 4] = *b"CRL\x01";
/// Length of the checksum at the end of the state file: the first bytes of a BLAKE3 hash of all preceding bytes.
const CHECKSUM_BYTES: usize = 16;
/// Limit on the size of the state file in bytes; learned state that does not fit is not persisted.
pub const MAX_LEARNED_STATE_BYTES: usize = 32 * 1024;

/// Why encoded learned state can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The file is shorter than its checksum.
    #[error(
        "the learned state is truncated: {length} bytes, expected at least a checksum of {CHECKSUM_BYTES} bytes"
    )]
    Truncated {
        /// Length of the file in bytes.
        length: usize,
    },
    /// The file does not start with the header of this version.
    #[error(
        "the learned state has an unknown format: expected the header of a state file of this version"
    )]
    UnknownFormat,
    /// The file's checksum does not match its content.
    #[error("the learned state is damaged: its checksum does not match its content")]
    ChecksumMismatch,
    /// The content is not an encoded list of learned state.
    #[error("the learned state can't be decoded: {0}")]
    Content(#[from] postcard::Error),
}

/// Encodes learned state in chunks of at most `max_bytes` bytes, each of which can be decoded separately. An entry that
/// does not fit into a chunk by itself, as its route id is longer than a packet, is left out.
pub fn encode_chunks(learned_state: &[LearnedState], max_bytes: usize) -> Vec<Vec<u8>> {
    let mut chunks = Vec::new();
    let mut remaining = learned_state;
    while !remaining.is_empty() {
        // An entry takes some 40 bytes: halving the count finds a fitting number of entries in a few steps.
        let mut count = remaining.len();
        let mut chunk = encode_within(&remaining[..count], max_bytes);
        while chunk.is_none() && count > 1 {
            count = count.div_ceil(2);
            chunk = encode_within(&remaining[..count], max_bytes);
        }
        chunks.extend(chunk);
        remaining = &remaining[count..];
    }
    chunks
}

/// Encodes entries; `None` if they take more than `max_bytes` bytes.
fn encode_within(entries: &[LearnedState], max_bytes: usize) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(entries).ok()?;
    (bytes.len() <= max_bytes).then_some(bytes)
}

/// Decodes one chunk, as written by [`encode_chunks`].
///
/// # Errors
///
/// [`DecodeError::Content`] if the bytes are not an encoded chunk.
pub fn decode_chunk(chunk: &[u8]) -> Result<Vec<LearnedState>, DecodeError> {
    Ok(postcard::from_bytes(chunk)?)
}

/// Returns the content of a state file, with as many entries as fit into [`MAX_LEARNED_STATE_BYTES`].
pub fn encode_state_file(learned_state: &[LearnedState]) -> Vec<u8> {
    let max_bytes = MAX_LEARNED_STATE_BYTES - FILE_HEADER.len() - CHECKSUM_BYTES;
    let first_chunk = encode_chunks(learned_state, max_bytes).into_iter().next();
    let mut bytes = FILE_HEADER.to_vec();
    bytes.extend(first_chunk.unwrap_or_else(encode_empty_list));
    let checksum = checksum(&bytes);
    bytes.extend_from_slice(&checksum);
    bytes
}

/// Encodes an empty list: its length, 0.
fn encode_empty_list() -> Vec<u8> {
    vec![0]
}

/// Decodes the content of a state file, as written by [`encode_state_file`].
///
/// # Errors
///
/// The file is truncated, damaged or of another version.
pub fn decode_state_file(bytes: &[u8]) -> Result<Vec<LearnedState>, DecodeError> {
    let length = bytes.len();
    let (body, expected) = bytes
        .split_last_chunk::<CHECKSUM_BYTES>()
        .ok_or(DecodeError::Truncated { length })?;
    let content = body
        .strip_prefix(&FILE_HEADER)
        .ok_or(DecodeError::UnknownFormat)?;
    if checksum(body) != *expected {
        return Err(DecodeError::ChecksumMismatch);
    }
    decode_chunk(content)
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES]);
    checksum
}
