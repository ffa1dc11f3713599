//! Ids of messages, packed: most are lower-case hexadecimal text and take half of its bytes.

use std::fmt;

const HEX: u8 = 0;
const TEXT: u8 = 1;
/// Packed forms up to this long are held in place. Ids of the platform take nine bytes.
const SHORT: usize = 15;

/// Two digits for each byte, so that text is put together from pieces that are known to be text.
const DIGITS: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\
202122232425262728292a2b2c2d2e2f303132333435363738393a3b3c3d3e3f\
404142434445464748494a4b4c4d4e4f505152535455565758595a5b5c5d5e5f\
606162636465666768696a6b6c6d6e6f707172737475767778797a7b7c7d7e7f\
808182838485868788898a8b8c8d8e8f909192939495969798999a9b9c9d9e9f\
a0a1a2a3a4a5a6a7a8a9aaabacadaeafb0b1b2b3b4b5b6b7b8b9babbbcbdbebf\
c0c1c2c3c4c5c6c7c8c9cacbcccdcecfd0d1d2d3d4d5d6d7d8d9dadbdcdddedf\
e0e1e2e3e4e5e6e7e8e9eaebecedeeeff0f1f2f3f4f5f6f7f8f9fafbfcfdfeff";

/// A message's id. Equal texts have equal packed forms.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PackedId(Representation);

#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Representation {
    /// The bytes, then zeros; the last one says how many.
    Short([u8; SHORT + 1]),
    Long(Box<[u8]>),
}

impl PackedId {
    pub fn new(text: &str) -> PackedId {
        let bytes = text.as_bytes();
        if bytes.len() <= 2 * (SHORT - 1) && !bytes.is_empty() && bytes.len().is_multiple_of(2) {
            let mut short = [0; SHORT + 1];
            let mut all = true;
            for (to, pair) in short[1..].iter_mut().zip(bytes.chunks_exact(2)) {
                let (high, low) = (digit(pair[0]), digit(pair[1]));
                all &= high < 16 && low < 16;
                *to = high << 4 | low & 15;
            }
            if all {
                short[SHORT] = (bytes.len() / 2 + 1) as u8;
                return PackedId(Representation::Short(short));
            }
        }
        if !bytes.is_empty()
            && bytes.len().is_multiple_of(2)
            && bytes.iter().all(|&b| digit(b) < 16)
        {
            let pairs = bytes
                .chunks_exact(2)
                .map(|p| digit(p[0]) << 4 | digit(p[1]));
            return PackedId::of(&std::iter::once(HEX).chain(pairs).collect::<Vec<u8>>());
        }
        PackedId::of(&[&[TEXT], bytes].concat())
    }

    fn of(packed: &[u8]) -> PackedId {
        if packed.len() > SHORT {
            return PackedId(Representation::Long(packed.into()));
        }
        let mut short = [0; SHORT + 1];
        short[..packed.len()].copy_from_slice(packed);
        short[SHORT] = packed.len() as u8;
        PackedId(Representation::Short(short))
    }

    /// From the packed form; `None` if it is not one that [`PackedId::new`] makes.
    pub fn from_packed(packed: &[u8]) -> Option<PackedId> {
        is_packed(packed).then(|| PackedId::of(packed))
    }

    pub fn packed(&self) -> &[u8] {
        match &self.0 {
            Representation::Short(short) => &short[..usize::from(short[SHORT]).min(SHORT)],
            Representation::Long(long) => long,
        }
    }

    pub fn text(&self) -> String {
        match self.packed().split_first() {
            Some((&HEX, bytes)) => {
                let mut text = String::with_capacity(bytes.len() * 2);
                for &byte in bytes {
                    let at = usize::from(byte) * 2;
                    text.push_str(&DIGITS[at..at + 2]);
                }
                text
            }
            Some((_, bytes)) => String::from_utf8_lossy(bytes).into_owned(),
            None => String::new(),
        }
    }
}

/// Whether these bytes are the packed form of some id.
pub fn is_packed(packed: &[u8]) -> bool {
    match packed {
        [HEX, _, ..] => true,
        [TEXT, text @ ..] => std::str::from_utf8(text).is_ok(),
        _ => false,
    }
}

/// 16 and more for what is no digit.
fn digit(byte: u8) -> u8 {
    VALUES[usize::from(byte)]
}

static VALUES: [u8; 256] = {
    let mut values = [16; 256];
    let mut n = 0;
    while n < 16 {
        values[b"0123456789abcdef"[n] as usize] = n as u8;
        n += 1;
    }
    values
};

impl fmt::Display for PackedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text())
    }
}

impl fmt::Debug for PackedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Id({})", self.text())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONG_HEX: &str = "00112233445566778899aabbccddeeff";

    /// Two texts with one packed form would be one message.
    #[test]
    fn every_text_comes_back_and_only_hexadecimal_is_shortened() {
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
            assert_eq!((id.text().as_str(), id.packed().len()), (text, size));
            assert_eq!(PackedId::from_packed(id.packed()), Some(id));
        }
        for bad in [&b""[..], &[0], &[2, 3], &[1, 0xff]] {
            assert_eq!(PackedId::from_packed(bad), None);
        }
    }
}
