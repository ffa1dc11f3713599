//! What is learned as bytes: in pieces between members, whole in a file.

use cranehill_scheduler::LearnedState;

/// The file begins so, with its format's number.
const MARK: [u8; 4] = *b"CRL\x01";
const SUM: usize = 16;
/// Bytes of the file at most; what is beyond is not kept.
pub const MAX_LEARNED_STATE_BYTES: usize = 32 * 1024;

/// The bytes are not what this build writes, or were changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("what was learnt can't be read: cut short, changed, or of another version")]
pub struct Unreadable;

/// Pieces of so many bytes at most, each readable by itself.
pub fn encode(learned_state: &[LearnedState], most: usize) -> Vec<Vec<u8>> {
    let (mut chunks, mut rest) = (Vec::new(), learned_state);
    while !rest.is_empty() {
        // Each is some 40 bytes: halving finds a fit in a few steps.
        let mut take = rest.len();
        let piece = loop {
            match postcard::to_stdvec(&rest[..take]) {
                Ok(bytes) if bytes.len() <= most => break Some(bytes),
                _ if take > 1 => take = take.div_ceil(2),
                _ => break None,
            }
        };
        // One that does not fit by itself is left out: its endpoint's name would be longer than a packet.
        chunks.extend(piece);
        rest = &rest[take..];
    }
    chunks
}

/// Reads one piece.
pub fn decode(piece: &[u8]) -> Result<Vec<LearnedState>, Unreadable> {
    postcard::from_bytes(piece).map_err(|_| Unreadable)
}

/// The file's content.
pub fn pack(learned_state: &[LearnedState]) -> Vec<u8> {
    let mut bytes = MARK.to_vec();
    bytes.extend(
        encode(learned_state, MAX_LEARNED_STATE_BYTES - MARK.len() - SUM)
            .into_iter()
            .next()
            .unwrap_or_else(|| vec![0]),
    );
    let sum = blake3::hash(&bytes);
    bytes.extend_from_slice(&sum.as_bytes()[..SUM]);
    bytes
}

/// Reads it again.
pub fn unpack(bytes: &[u8]) -> Result<Vec<LearnedState>, Unreadable> {
    let (body, sum) = bytes
        .split_at_checked(bytes.len().saturating_sub(SUM))
        .ok_or(Unreadable)?;
    if !body.starts_with(&MARK) || blake3::hash(body).as_bytes()[..SUM] != *sum {
        return Err(Unreadable);
    }
    decode(&body[MARK.len()..])
}
