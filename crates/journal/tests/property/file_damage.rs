//! Damage to files at rest.

use cranehill_journal::Memory;
use proptest::prelude::{Strategy, any, prop_oneof};

/// Damage to files between two starts. Numbers select a file or an offset modulo how many there are.
#[derive(Clone, Debug)]
pub(crate) enum Damage {
    Flip { file: u8, at: u16, mask: u8 },
    Remove { file: u8 },
    Swap { a: u8, b: u8 },
    Duplicate { from: u8, to: u8 },
    Cut { file: u8, by: u16 },
    Noise { file: u8, at: u16 },
}

pub(crate) fn damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        6 => (any::<u8>(), any::<u16>(), 1..=255u8).prop_map(|(file, at, mask)| Damage::Flip { file, at, mask }),
        1 => any::<u8>().prop_map(|file| Damage::Remove { file }),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Damage::Swap { a, b }),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(from, to)| Damage::Duplicate { from, to }),
        1 => (any::<u8>(), 1..200u16).prop_map(|(file, by)| Damage::Cut { file, by }),
        1 => (any::<u8>(), any::<u16>()).prop_map(|(file, at)| Damage::Noise { file, at }),
    ]
}

fn pick(files: &Memory, n: u8) -> String {
    let names: Vec<&String> = files.files.keys().collect();
    names[usize::from(n) % names.len()].clone()
}

pub(crate) fn inflict(files: &mut Memory, damage: &Damage, head: &mut Option<String>) {
    match *damage {
        Damage::Flip { file, at, mask } => {
            let name = pick(files, file);
            if let Some(bytes) = files.files.get_mut(&name).filter(|b| !b.is_empty()) {
                let at = usize::from(at) % bytes.len();
                bytes[at] ^= mask;
            }
        }
        Damage::Remove { file } => {
            let name = pick(files, file);
            // Without its key file a folder can't be read; another test covers that error.
            if name != "key" {
                files.files.remove(&name);
            }
        }
        Damage::Swap { a, b } => {
            let (a, b) = (pick(files, a), pick(files, b));
            let segments = |n: &String| n.ends_with(".seg");
            if segments(&a) && segments(&b) && a != b {
                let (x, y) = (files.files[&a].clone(), files.files[&b].clone());
                *head = match head.take() {
                    Some(h) if h == a => Some(b.clone()),
                    Some(h) if h == b => Some(a.clone()),
                    other => other,
                };
                files.files.insert(a, y);
                files.files.insert(b, x);
            }
        }
        Damage::Duplicate { from, to } => {
            let (from, to) = (pick(files, from), pick(files, to));
            if from.ends_with(".seg") && to.ends_with(".seg") {
                let bytes = files.files[&from].clone();
                files.files.insert(to, bytes);
            }
        }
        Damage::Cut { file, by } => {
            let name = pick(files, file);
            // A truncated head is not detectable damage: a kill may cause it too.
            if let Some(bytes) = files
                .files
                .get_mut(&name)
                .filter(|_| name != "key" && Some(&name) != head.as_ref())
            {
                bytes.truncate(bytes.len().saturating_sub(usize::from(by)));
            }
        }
        Damage::Noise { file, at } => {
            let name = pick(files, file);
            if let Some(bytes) = files.files.get_mut(&name).filter(|_| name != "key") {
                let at = usize::from(at) % bytes.len().max(1);
                let end = (at + 60).min(bytes.len());
                bytes[at..end]
                    .iter_mut()
                    .enumerate()
                    .for_each(|(i, b)| *b ^= (i as u8).wrapping_mul(31) | 1);
            }
        }
    }
}
