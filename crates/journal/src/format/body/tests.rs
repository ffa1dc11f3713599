use super::{compress, decompress};

#[test]
fn bodies_are_compressed_only_where_it_pays_and_a_false_size_is_rejected() {
    let text = b"<episode><title>El programa de la tarde</title></episode>".repeat(8);
    let stored = compress(&text);
    let (len, bytes) = (stored.uncompressed_len, stored.bytes);
    assert!(len == Some(text.len() as u32) && bytes.len() < text.len() / 2);
    assert_eq!(decompress(len, &bytes).as_deref(), Some(&text[..]));
    assert_eq!(decompress(Some(text.len() as u32 + 1), &bytes), None);
    assert_eq!(
        decompress(Some(u32::MAX), &bytes),
        None,
        "no memory is taken for a size that is only claimed"
    );
    let mut noise = [0; 400];
    blake3::Hasher::new().finalize_xof().fill(&mut noise);
    assert_eq!(compress(&noise).uncompressed_len, None);
}
