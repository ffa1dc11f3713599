//! Ids of notices, packed: most are lower-case hexadecimal text and take half of its bytes.

use std::fmt;

use smallvec::SmallVec;

const HEX: u8 = 0;
const TEXT: u8 = 1;

/// A notice's id. Equal texts have equal packed forms.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(SmallVec<[u8; 16]>);

impl Id {
    pub fn new(text: &str) -> Id {
        let bytes = text.as_bytes();
        let mut packed = SmallVec::new();
        let pairs = bytes.chunks_exact(2);
        if !bytes.is_empty() && pairs.remainder().is_empty() {
            packed.push(HEX);
            packed.extend(pairs.map_while(|p| Some(digit(p[0])? << 4 | digit(p[1])?)));
            if packed.len() == bytes.len() / 2 + 1 {
                return Id(packed);
            }
            packed.clear();
        }
        packed.push(TEXT);
        packed.extend_from_slice(bytes);
        Id(packed)
    }

    /// From the packed form; `None` if it is not one that [`Id::new`] makes.
    pub fn from_packed(packed: &[u8]) -> Option<Id> {
        match *packed.first()? {
            HEX if packed.len() > 1 => {}
            TEXT => {
                std::str::from_utf8(&packed[1..]).ok()?;
            }
            _ => return None,
        }
        Some(Id(SmallVec::from_slice(packed)))
    }

    pub fn packed(&self) -> &[u8] {
        &self.0
    }

    pub fn text(&self) -> String {
        match self.0.split_first() {
            Some((&HEX, bytes)) => {
                let mut text = String::with_capacity(bytes.len() * 2);
                for byte in bytes {
                    text.push(char::from(b"0123456789abcdef"[usize::from(byte >> 4)]));
                    text.push(char::from(b"0123456789abcdef"[usize::from(byte & 15)]));
                }
                text
            }
            Some((_, bytes)) => String::from_utf8_lossy(bytes).into_owned(),
            None => String::new(),
        }
    }
}

fn digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text())
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Id({})", self.text())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two texts with one packed form would be one notice.
    #[test]
    fn every_text_comes_back_and_only_hexadecimal_is_shortened() {
        for (text, size) in
            [("", 1), ("00", 2), ("9b1f03aa5c7e2d41", 9), ("9B1F", 5), ("9b1", 4), ("ñandú", 8), ("m1", 3)]
        {
            let id = Id::new(text);
            assert_eq!((id.text().as_str(), id.packed().len()), (text, size));
            assert_eq!(Id::from_packed(id.packed()), Some(id));
        }
        for bad in [&b""[..], &[0], &[2, 3], &[1, 0xff]] {
            assert_eq!(Id::from_packed(bad), None);
        }
    }
}
