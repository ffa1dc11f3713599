use super::PackedId;

const LONG_HEX: &str = "00112233445566778899aabbccddeeff";

/// If two ids had the same packed form, their messages would be confused.
#[test]
fn every_text_round_trips_and_only_hexadecimal_is_shortened() {
    for (text, size) in [
        ("", 1),
        ("00", 2),
        ("9b1f03aa5c7e2d41", 9),
        ("9B1F", 5),
        ("9b1", 4),
        ("ñandú", 8),
        ("m1", 3),
    ]
    .into_iter()
    .chain([
        (LONG_HEX, 17),
        (&LONG_HEX[..28], 15),
        (&LONG_HEX[..30], 16),
        (&LONG_HEX[..31], 32),
    ]) {
        let id = PackedId::new(text);
        assert_eq!((id.text().as_str(), id.as_bytes().len()), (text, size));
        assert_eq!(PackedId::from_bytes(id.as_bytes()), Some(id));
    }
    for invalid in [&b""[..], &[0], &[2, 3], &[1, 0xff]] {
        assert_eq!(PackedId::from_bytes(invalid), None);
    }
}
