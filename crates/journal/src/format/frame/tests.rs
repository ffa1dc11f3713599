use super::{DecodedFrame, decode, encode, next_valid};
use crate::format::key::Salt;

const SALT: Salt = Salt {
    checksum_seed: 0x1234_5678,
    length_check: 0x5a,
};

fn three_frames() -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut starts) = (Vec::new(), Vec::new());
    for payload in [&b"first"[..], &[7; 300], b"last"] {
        starts.push(bytes.len());
        encode(SALT, &mut bytes, |b| b.extend_from_slice(payload));
    }
    (bytes, starts)
}

/// A reader that stops at the first damaged frame loses all frames after it.
#[test]
fn a_damaged_byte_loses_only_its_own_frame() {
    let (whole, starts) = three_frames();
    for at in 0..whole.len() {
        for mask in [0x01, 0x80, 0xff] {
            let mut bytes = whole.clone();
            bytes[at] ^= mask;
            let damaged = starts.iter().rposition(|&s| s <= at).expect("a frame");
            for (n, &start) in starts.iter().enumerate() {
                let decoded = decode(SALT, &bytes, start);
                assert_eq!(
                    matches!(decoded, DecodedFrame::Valid(_)),
                    n != damaged,
                    "byte {at}, frame {n}"
                );
            }
            assert_eq!(
                decode(SALT, &bytes, starts[damaged]),
                DecodedFrame::Damaged,
                "byte {at}: damage, not truncation"
            );
            // The end of the last frame is known only if its header is valid.
            let end = (at - starts[damaged] >= 4).then_some(bytes.len());
            assert_eq!(
                next_valid(SALT, &bytes, starts[damaged]),
                starts.get(damaged + 1).copied().or(end)
            );
        }
    }
}

#[test]
fn a_truncated_frame_is_distinguished_from_a_damaged_one() {
    let (whole, starts) = three_frames();
    for cut in 0..whole.len() {
        let last = starts.iter().rposition(|&s| s <= cut).expect("a frame");
        assert_eq!(
            decode(SALT, &whole[..cut], starts[last]),
            DecodedFrame::Truncated,
            "cut at {cut}"
        );
    }
}

/// Clients choose the bodies of messages: a frame inside a body must not be mistaken for one of the journal's.
#[test]
fn a_frame_with_another_salt_is_rejected() {
    let (other, _) = three_frames();
    let salt = Salt {
        checksum_seed: 1,
        length_check: 2,
    };
    let mut bytes = Vec::new();
    encode(salt, &mut bytes, |b| b.extend_from_slice(&other));
    bytes[6] ^= 1;
    assert_eq!(
        next_valid(salt, &bytes, 0),
        Some(bytes.len()),
        "the header is valid, so the payload is not searched"
    );
    bytes[0] ^= 1;
    assert_eq!(next_valid(salt, &bytes, 0), None);
}
