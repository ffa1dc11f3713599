//! Frames: each holds one record, behind a header with a check of the length and a checksum of the payload, so that a
//! reader can find the next frame after a damaged one.

use crate::format::key::Salt;

/// Payload length (3 bytes, little-endian), check of the length (1 byte), checksum of the payload (4 bytes).
pub(crate) const HEADER_BYTES: usize = 8;
/// Upper bound on a payload's length. A message's body has 64 KiB at most, so no record is as long.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// Appends a frame; `write_payload` appends its payload.
pub(crate) fn encode(salt: Salt, buffer: &mut Vec<u8>, write_payload: impl FnOnce(&mut Vec<u8>)) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    write_payload(buffer);
    let payload = &buffer[start + HEADER_BYTES..];
    debug_assert!(
        payload.len() <= MAX_PAYLOAD_BYTES,
        "payload of {} bytes exceeds the limit",
        payload.len()
    );
    let length = (payload.len() as u32).to_le_bytes();
    let checksum = payload_checksum(salt, payload).to_le_bytes();
    buffer[start..start + 3].copy_from_slice(&length[..3]);
    buffer[start + 3] = length_check(salt, [length[0], length[1], length[2]]);
    buffer[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum);
}

/// Check byte of a length; it changes if any one byte of the length does.
fn length_check(salt: Salt, length: [u8; 3]) -> u8 {
    length[0].rotate_left(1)
        ^ length[1].rotate_left(3)
        ^ length[2].rotate_left(5)
        ^ salt.length_check
}

fn payload_checksum(salt: Salt, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(salt.checksum_seed);
    hasher.update(payload);
    hasher.finalize()
}

/// The bytes at an offset of a segment, decoded as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodedFrame<'a> {
    /// A complete frame with a matching checksum; holds its payload.
    Valid(&'a [u8]),
    /// The bytes end inside the header, or inside the payload of a valid header.
    Truncated,
    /// The header or the payload does not match its check.
    Damaged,
}

/// Decodes the frame that begins at `offset`.
pub(crate) fn decode(salt: Salt, bytes: &[u8], offset: usize) -> DecodedFrame<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    let Some(header) = rest.get(..HEADER_BYTES) else {
        // The length and its check are enough to distinguish damage from truncation.
        return match rest {
            [a, b, c, d, ..] if !is_valid_length(salt, [*a, *b, *c], *d) => DecodedFrame::Damaged,
            _ => DecodedFrame::Truncated,
        };
    };
    let length = [header[0], header[1], header[2]];
    if !is_valid_length(salt, length, header[3]) {
        return DecodedFrame::Damaged;
    }
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + payload_len(length)) else {
        return DecodedFrame::Truncated;
    };
    if payload_checksum(salt, payload).to_le_bytes() != header[4..] {
        return DecodedFrame::Damaged;
    }
    DecodedFrame::Valid(payload)
}

fn payload_len(length: [u8; 3]) -> usize {
    u32::from_le_bytes([length[0], length[1], length[2], 0]) as usize
}

fn is_valid_length(salt: Salt, length: [u8; 3], check: u8) -> bool {
    length_check(salt, length) == check && (1..=MAX_PAYLOAD_BYTES).contains(&payload_len(length))
}

/// The end of the frame at `offset` as its header states it; `None` if the header is invalid or the frame reaches
/// beyond the bytes.
pub(crate) fn end_by_header(salt: Salt, bytes: &[u8], offset: usize) -> Option<usize> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = [header[0], header[1], header[2]];
    let end = offset + HEADER_BYTES + payload_len(length);
    (is_valid_length(salt, length, header[3]) && end <= bytes.len()).then_some(end)
}

/// The offset of the next valid frame after a damaged one, or the end of the bytes if the damaged frame was the last.
/// `None` if no valid frame follows. The length in the damaged frame's header is tried first, since most damage is in
/// payloads.
pub(crate) fn next_valid(salt: Salt, bytes: &[u8], damaged: usize) -> Option<usize> {
    let is_valid = |offset: usize| matches!(decode(salt, bytes, offset), DecodedFrame::Valid(_));
    let by_header = end_by_header(salt, bytes, damaged);
    if let Some(next) = by_header.filter(|&next| next == bytes.len() || is_valid(next)) {
        return Some(next);
    }
    (damaged + 1..bytes.len().saturating_sub(HEADER_BYTES)).find(|&offset| is_valid(offset))
}

#[cfg(test)]
mod tests;
