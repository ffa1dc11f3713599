//! Frames: one fact each, with a checked head and a checksum, found again behind damage.

use crate::key::Salt;

pub const HEADER_BYTES: usize = 8;
/// Longer than any fact. A body is 64 KiB at most.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// Appends a frame whose payload `write` appends.
pub fn write(salt: Salt, into: &mut Vec<u8>, write: impl FnOnce(&mut Vec<u8>)) {
    let at = into.len();
    into.extend_from_slice(&[0; HEADER_BYTES]);
    write(into);
    let payload = &into[at + HEADER_BYTES..];
    debug_assert!(
        payload.len() <= MAX_PAYLOAD_BYTES,
        "a fact of {} bytes",
        payload.len()
    );
    let length = (payload.len() as u32).to_le_bytes();
    let sum = checksum(salt, payload).to_le_bytes();
    into[at..at + 3].copy_from_slice(&length[..3]);
    into[at + 3] = check(salt, [length[0], length[1], length[2]]);
    into[at + 4..at + HEADER_BYTES].copy_from_slice(&sum);
}

/// Any one changed byte of the length changes this.
fn check(salt: Salt, length: [u8; 3]) -> u8 {
    length[0].rotate_left(1) ^ length[1].rotate_left(3) ^ length[2].rotate_left(5) ^ salt.check
}

fn checksum(salt: Salt, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(salt.sum);
    hasher.update(payload);
    hasher.finalize()
}

/// What there is at one place of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodedFrame<'a> {
    Frame(&'a [u8]),
    /// A good head with too little behind it, or too little for a head: cut off there.
    Cut,
    Bad,
}

pub fn read(salt: Salt, bytes: &[u8], at: usize) -> DecodedFrame<'_> {
    let rest = bytes.get(at..).unwrap_or_default();
    let Some(head) = rest.get(..HEADER_BYTES) else {
        // Three bytes and their check can still tell damage from a cut.
        return match rest {
            [a, b, c, d, ..] if !plausible(salt, [*a, *b, *c], *d) => DecodedFrame::Bad,
            _ => DecodedFrame::Cut,
        };
    };
    let length = [head[0], head[1], head[2]];
    if !plausible(salt, length, head[3]) {
        return DecodedFrame::Bad;
    }
    let size = size(length);
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + size) else {
        return DecodedFrame::Cut;
    };
    if checksum(salt, payload).to_le_bytes() != head[4..] {
        return DecodedFrame::Bad;
    }
    DecodedFrame::Frame(payload)
}

fn size(length: [u8; 3]) -> usize {
    u32::from_le_bytes([length[0], length[1], length[2], 0]) as usize
}

fn plausible(salt: Salt, length: [u8; 3], checked: u8) -> bool {
    check(salt, length) == checked && (1..=MAX_PAYLOAD_BYTES).contains(&size(length))
}

/// Where the frame at `at` ends, if its head is good and it does not reach beyond the bytes.
pub fn spans(salt: Salt, bytes: &[u8], at: usize) -> Option<usize> {
    let head = bytes.get(at..at + HEADER_BYTES)?;
    let length = [head[0], head[1], head[2]];
    let end = at + HEADER_BYTES + size(length);
    (plausible(salt, length, head[3]) && end <= bytes.len()).then_some(end)
}

/// Where the next good frame behind a bad place begins, or the bytes end if that place's frame was the last.
/// `None` if there is no good one. The frame's own head is tried first: it
/// mostly is the payload that was hit.
pub fn next_good(salt: Salt, bytes: &[u8], bad: usize) -> Option<usize> {
    let good = |at: usize| matches!(read(salt, bytes, at), DecodedFrame::Frame(_));
    if let Some(next) = spans(salt, bytes, bad).filter(|&next| next == bytes.len() || good(next)) {
        return Some(next);
    }
    (bad + 1..bytes.len().saturating_sub(HEADER_BYTES)).find(|&at| good(at))
}

#[cfg(test)]
mod tests {
    use super::*;

    const SALT: Salt = Salt {
        sum: 0x1234_5678,
        check: 0x5a,
    };

    fn three() -> (Vec<u8>, Vec<usize>) {
        let (mut bytes, mut starts) = (Vec::new(), Vec::new());
        for payload in [&b"first"[..], &[7; 300], b"last"] {
            starts.push(bytes.len());
            write(SALT, &mut bytes, |b| b.extend_from_slice(payload));
        }
        (bytes, starts)
    }

    /// Reading used to stop at the first bad frame and forget all that followed.
    #[test]
    fn whichever_byte_is_hit_only_its_own_frame_is_lost() {
        let (whole, starts) = three();
        for at in 0..whole.len() {
            for mask in [0x01, 0x80, 0xff] {
                let mut bytes = whole.clone();
                bytes[at] ^= mask;
                let hit = starts.iter().rposition(|&s| s <= at).expect("a frame");
                for (n, &start) in starts.iter().enumerate() {
                    let found = read(SALT, &bytes, start);
                    assert_eq!(
                        matches!(found, DecodedFrame::Frame(_)),
                        n != hit,
                        "byte {at}, frame {n}"
                    );
                }
                assert_eq!(
                    read(SALT, &bytes, starts[hit]),
                    DecodedFrame::Bad,
                    "byte {at} is no cut"
                );
                // Of the last one only a good head tells where it ended.
                let end = (at - starts[hit] >= 4).then_some(bytes.len());
                assert_eq!(
                    next_good(SALT, &bytes, starts[hit]),
                    starts.get(hit + 1).copied().or(end)
                );
            }
        }
    }

    #[test]
    fn a_torn_tail_is_distinguished_from_damage() {
        let (whole, starts) = three();
        for cut in 0..whole.len() {
            let last = starts.iter().rposition(|&s| s <= cut).expect("a frame");
            assert_eq!(
                read(SALT, &whole[..cut], starts[last]),
                DecodedFrame::Cut,
                "cut at {cut}"
            );
        }
    }

    /// A client chooses its message's body: a frame inside it must not be taken for one of ours.
    #[test]
    fn a_frame_under_another_salt_is_not_one() {
        let (other, _) = three();
        let salt = Salt { sum: 1, check: 2 };
        let mut bytes = Vec::new();
        write(salt, &mut bytes, |b| b.extend_from_slice(&other));
        bytes[6] ^= 1;
        assert_eq!(
            next_good(salt, &bytes, 0),
            Some(bytes.len()),
            "its head is good, its contents are not looked at"
        );
        bytes[0] ^= 1;
        assert_eq!(next_good(salt, &bytes, 0), None);
    }
}
