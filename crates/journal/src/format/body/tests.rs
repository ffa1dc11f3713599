use super::{compress, decompress};

#[test]
fn compresses_only_where_it_saves_space_and_rejects_a_wrong_size() {
    let text = b"<episode><title>El programa de la tarde</title></episode>".repeat(8);
    let stored = compress(&text);
    let (len, bytes) = (stored.uncompressed_len, stored.bytes);
    assert!(len == Some(text.len() as u32) && bytes.len() < text.len() / 2);
    assert_eq!(decompress(len, &bytes).as_deref(), Some(&text[..]));
    assert_eq!(decompress(Some(text.len() as u32 + 1), &bytes), None);
    assert_eq!(
        decompress(Some(u32::MAX), &bytes),
        None,
        "no memory is allocated by a stored size"
    );
    let mut noise = [0; 400];
    blake3::Hasher::new().finalize_xof().fill(&mut noise);
    assert_eq!(compress(&noise).uncompressed_len, None);
}
