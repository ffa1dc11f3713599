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

/// Reading used to stop at the first damaged frame and to leave out all that followed.
#[test]
fn whichever_byte_is_hit_only_its_own_frame_is_lost() {
    let (whole, starts) = three_frames();
    for at in 0..whole.len() {
        for mask in [0x01, 0x80, 0xff] {
            let mut bytes = whole.clone();
            bytes[at] ^= mask;
            let hit = starts.iter().rposition(|&s| s <= at).expect("a frame");
            for (n, &start) in starts.iter().enumerate() {
                let decoded = decode(SALT, &bytes, start);
                assert_eq!(
                    matches!(decoded, DecodedFrame::Valid(_)),
                    n != hit,
                    "byte {at}, frame {n}"
                );
            }
            assert_eq!(
                decode(SALT, &bytes, starts[hit]),
                DecodedFrame::Damaged,
                "byte {at} is no truncation"
            );
            // The end of the last one is known only by a valid header.
            let end = (at - starts[hit] >= 4).then_some(bytes.len());
            assert_eq!(
                next_valid(SALT, &bytes, starts[hit]),
                starts.get(hit + 1).copied().or(end)
            );
        }
    }
}

#[test]
fn a_torn_tail_is_distinguished_from_damage() {
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

/// A client chooses its message's body: a frame inside it must not pass for one of the journal's.
#[test]
fn a_frame_under_another_salt_is_not_one() {
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
        "its header is valid, its contents are not searched"
    );
    bytes[0] ^= 1;
    assert_eq!(next_valid(salt, &bytes, 0), None);
}
