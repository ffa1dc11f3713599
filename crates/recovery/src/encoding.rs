//! Learned state as bytes: in chunks between members, whole in the state file.

use cranehill_scheduler::LearnedState;

/// The first bytes of the state file; the last of them is the version of its format.
const FILE_HEADER: [u8; 4] = *b"CRL\x01";
/// Bytes of the checksum at the end of the state file: the first of a BLAKE3 hash of all before it.
const CHECKSUM_BYTES: usize = 16;
/// Bytes of the state file at most; learned state beyond that is not persisted.
pub const MAX_LEARNED_STATE_BYTES: usize = 32 * 1024;

/// Why learned state can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The file is shorter than its checksum.
    #[error("the learned state is cut short: {length} bytes")]
    CutShort {
        /// Bytes of the file.
        length: usize,
    },
    /// The file does not begin with the header of this version.
    #[error("the learned state is of another version, or not a state file")]
    UnknownFormat,
    /// The file's checksum does not match its content.
    #[error("the learned state is damaged: its checksum does not match")]
    ChecksumMismatch,
    /// The content is not learned state.
    #[error("the learned state can't be decoded: {0}")]
    Content(#[from] postcard::Error),
}

/// Encodes learned state in chunks of `max_bytes` at most, each of which can be decoded by itself. An entry that does not
/// fit into a chunk is left out: its route's name is longer than a packet.
pub fn encode(learned_state: &[LearnedState], max_bytes: usize) -> Vec<Vec<u8>> {
    let mut chunks = Vec::new();
    let mut remaining = learned_state;
    while !remaining.is_empty() {
        // An entry has some 40 bytes: halving finds a fit in a few steps.
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

/// Encodes entries, if they fit.
fn encode_within(entries: &[LearnedState], max_bytes: usize) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(entries).ok()?;
    (bytes.len() <= max_bytes).then_some(bytes)
}

/// Decodes one chunk.
///
/// # Errors
///
/// The bytes are not an encoded chunk.
pub fn decode(chunk: &[u8]) -> Result<Vec<LearnedState>, DecodeError> {
    Ok(postcard::from_bytes(chunk)?)
}

/// The content of a state file with as much of the learned state as fits.
pub fn pack(learned_state: &[LearnedState]) -> Vec<u8> {
    let max_bytes = MAX_LEARNED_STATE_BYTES - FILE_HEADER.len() - CHECKSUM_BYTES;
    let first_chunk = encode(learned_state, max_bytes).into_iter().next();
    let mut bytes = FILE_HEADER.to_vec();
    bytes.extend(first_chunk.unwrap_or_else(encode_nothing));
    let checksum = checksum(&bytes);
    bytes.extend_from_slice(&checksum);
    bytes
}

/// No entries: a list of length 0.
fn encode_nothing() -> Vec<u8> {
    vec![0]
}

/// Reads the content of a state file.
///
/// # Errors
///
/// The file is cut short, damaged or of another version.
pub fn unpack(bytes: &[u8]) -> Result<Vec<LearnedState>, DecodeError> {
    let length = bytes.len();
    let (body, expected) = bytes
        .split_last_chunk::<CHECKSUM_BYTES>()
        .ok_or(DecodeError::CutShort { length })?;
    let content = body
        .strip_prefix(&FILE_HEADER)
        .ok_or(DecodeError::UnknownFormat)?;
    if checksum(body) != *expected {
        return Err(DecodeError::ChecksumMismatch);
    }
    decode(content)
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES]);
    checksum
}
