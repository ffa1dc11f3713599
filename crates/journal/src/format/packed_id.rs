//! Packed ids: lower-case hexadecimal text, as most ids are, takes half as many bytes.

use std::fmt;

/// First byte of a packed id whose other bytes encode two hexadecimal digits each.
const HEX_TAG: u8 = 0;
/// First byte of a packed id whose other bytes are the text in UTF-8.
const TEXT_TAG: u8 = 1;
/// Packed ids up to this long need no allocation. Ids of the platform take nine bytes.
const MAX_INLINE_BYTES: usize = 15;
/// Value in [`HEX_VALUES`] of a byte that is not a lower-case hexadecimal digit.
const NOT_HEX: u8 = 16;

/// The two digits of every byte value; slices of this string need no UTF-8 check.
const HEX_PAIRS: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\
202122232425262728292a2b2c2d2e2f303132333435363738393a3b3c3d3e3f\
404142434445464748494a4b4c4d4e4f505152535455565758595a5b5c5d5e5f\
606162636465666768696a6b6c6d6e6f707172737475767778797a7b7c7d7e7f\
808182838485868788898a8b8c8d8e8f909192939495969798999a9b9c9d9e9f\
a0a1a2a3a4a5a6a7a8a9aaabacadaeafb0b1b2b3b4b5b6b7b8b9babbbcbdbebf\
c0c1c2c3c4c5c6c7c8c9cacbcccdcecfd0d1d2d3d4d5d6d7d8d9dadbdcdddedf\
e0e1e2e3e4e5e6e7e8e9eaebecedeeeff0f1f2f3f4f5f6f7f8f9fafbfcfdfeff";

/// The value of each hexadecimal digit, indexed by its ASCII code.
static HEX_VALUES: [u8; 256] = {
    let mut values = [NOT_HEX; 256];
    let mut digit = 0;
    while digit < 16 {
        values[b"0123456789abcdef"[digit] as usize] = digit as u8;
        digit += 1;
    }
    values
};

/// A message id, idempotency key or ordering key in packed form. Equal texts have equal packed forms.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PackedId(Representation);

#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Representation {
    /// The packed bytes, padded with zeros; the last byte is their number.
    Inline([u8; MAX_INLINE_BYTES + 1]),
    Heap(Box<[u8]>),
}

impl PackedId {
    /// Packs an id.
    pub fn new(text: &str) -> PackedId {
        let bytes = text.as_bytes();
        if bytes.is_empty() || !bytes.len().is_multiple_of(2) {
            return PackedId::from_packed(&[&[TEXT_TAG], bytes].concat());
        }
        if bytes.len() <= 2 * (MAX_INLINE_BYTES - 1) {
            if let Some(inline) = inline_hex(bytes) {
                return PackedId(Representation::Inline(inline));
            }
        } else if bytes.iter().all(|&b| hex_value(b) < NOT_HEX) {
            let pairs = bytes
                .chunks_exact(2)
                .map(|pair| hex_value(pair[0]) << 4 | hex_value(pair[1]));
            return PackedId::from_packed(
                &std::iter::once(HEX_TAG).chain(pairs).collect::<Vec<u8>>(),
            );
        }
        PackedId::from_packed(&[&[TEXT_TAG], bytes].concat())
    }

    /// Wraps bytes that are already in packed form.
    fn from_packed(packed: &[u8]) -> PackedId {
        if packed.len() > MAX_INLINE_BYTES {
            return PackedId(Representation::Heap(packed.into()));
        }
        let mut inline = [0; MAX_INLINE_BYTES + 1];
        inline[..packed.len()].copy_from_slice(packed);
        inline[MAX_INLINE_BYTES] = packed.len() as u8;
        PackedId(Representation::Inline(inline))
    }

    /// Reads a packed form; `None` if the bytes are not the packed form of a text.
    pub fn from_bytes(packed: &[u8]) -> Option<PackedId> {
        is_valid(packed).then(|| PackedId::from_packed(packed))
    }

    /// The packed form.
    pub fn as_bytes(&self) -> &[u8] {
        match &self.0 {
            Representation::Inline(inline) => {
                &inline[..usize::from(inline[MAX_INLINE_BYTES]).min(MAX_INLINE_BYTES)]
            }
            Representation::Heap(bytes) => bytes,
        }
    }

    /// The id as text.
    pub fn text(&self) -> String {
        match self.as_bytes().split_first() {
            Some((&HEX_TAG, bytes)) => {
                let mut text = String::with_capacity(bytes.len() * 2);
                for &byte in bytes {
                    let at = usize::from(byte) * 2;
                    text.push_str(&HEX_PAIRS[at..at + 2]);
                }
                text
            }
            Some((_, bytes)) => String::from_utf8_lossy(bytes).into_owned(),
            None => String::new(),
        }
    }
}

/// The inline packed form of an even number of digits; `None` if one of them is not a lower-case hexadecimal digit.
fn inline_hex(digits: &[u8]) -> Option<[u8; MAX_INLINE_BYTES + 1]> {
    let mut inline = [0; MAX_INLINE_BYTES + 1];
    let mut all_hex = true;
    for (byte, pair) in inline[1..].iter_mut().zip(digits.chunks_exact(2)) {
        let (high, low) = (hex_value(pair[0]), hex_value(pair[1]));
        all_hex &= high < NOT_HEX && low < NOT_HEX;
        *byte = high << 4 | low & 15;
    }
    inline[MAX_INLINE_BYTES] = (digits.len() / 2 + 1) as u8;
    all_hex.then_some(inline)
}

/// Whether the bytes are the packed form of a text.
pub(crate) fn is_valid(packed: &[u8]) -> bool {
    match packed {
        [HEX_TAG, _, ..] => true,
        [TEXT_TAG, text @ ..] => std::str::from_utf8(text).is_ok(),
        _ => false,
    }
}

fn hex_value(byte: u8) -> u8 {
    HEX_VALUES[usize::from(byte)]
}

impl fmt::Display for PackedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text())
    }
}

impl fmt::Debug for PackedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PackedId({})", self.text())
    }
}

#[cfg(test)]
mod tests;
