use super::{COPY_BYTES, Key, decode_file, encode_file};

/// No segment can be read without the key: damage to one copy must not make all of them unreadable.
#[test]
fn one_valid_copy_of_the_key_is_enough() {
    let key: Key = std::array::from_fn(|i| i as u8 * 7);
    let whole = encode_file(&key);
    assert_eq!(decode_file(&whole), Some(key));
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        assert_eq!(decode_file(&bytes), Some(key), "byte {at}");
    }
    assert_eq!(decode_file(&whole[..COPY_BYTES]), Some(key));
    assert_eq!(decode_file(&whole[..COPY_BYTES - 1]), None);
}
