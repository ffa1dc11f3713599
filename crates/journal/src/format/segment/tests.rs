use super::{DecodedHeader, HEADER_BYTES, Header, file_name, sequence_of};

const HEADER: Header = Header {
    sequence: 42,
    epoch: 7,
    base_lsn: 1000,
    created_ms: 1_764_590_000_000,
    previous_chain: [3; 16],
};

fn valid(key_index: usize) -> DecodedHeader {
    DecodedHeader::Valid {
        header: HEADER,
        key_index,
    }
}

#[test]
fn signature_detects_another_key_and_any_changed_byte() {
    let (ours, other) = ([1; 32], [2; 32]);
    let bytes = HEADER.encode(&ours);
    assert_eq!(bytes.len(), HEADER_BYTES);
    assert_eq!(Header::decode(&bytes, &[other, ours]), valid(1));
    assert_eq!(Header::decode(&bytes, &[other]), DecodedHeader::Foreign);
    for at in 0..HEADER_BYTES {
        let mut bytes = bytes.clone();
        bytes[at] ^= 0x40;
        let decoded = Header::decode(&bytes, &[ours]);
        // A damaged version number is corrected, and not mistaken for a later format.
        let corrected = at == 8 || at == 9;
        assert_eq!(decoded == valid(0), corrected, "byte {at}");
        assert!(
            !matches!(decoded, DecodedHeader::NewerVersion(_)),
            "byte {at}"
        );
        assert_eq!(
            Header::decode(&bytes[..at], &[ours]),
            DecodedHeader::Invalid
        );
    }
}

#[test]
fn a_later_format_version_is_recognized() {
    let key = [1; 32];
    let mut bytes = HEADER.encode(&key);
    bytes[8] = 2;
    bytes[60] ^= 1;
    assert_eq!(
        Header::decode(&bytes, &[key]),
        DecodedHeader::NewerVersion(2)
    );
}

#[test]
fn only_file_names_of_segments_have_a_sequence_number() {
    assert_eq!(
        (file_name(42).as_str(), sequence_of("0000002a.seg")),
        ("0000002a.seg", Some(42))
    );
    for other in [
        "2a.seg",
        "0000002A.seg",
        "0000002a.seg.bak",
        "+000002a.seg",
        "manifest",
    ] {
        assert_eq!(sequence_of(other), None, "{other}");
    }
}
