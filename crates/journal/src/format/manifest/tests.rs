use super::{DecodedManifest, Manifest, ManifestEntry, Seal};

fn manifest() -> Manifest {
    let seal = Seal {
        len: 5000,
        frames: 40,
        accepted: 12,
        chain: [7; 16],
    };
    Manifest {
        epoch: 3,
        next_sequence: 6,
        next_lsn: 900,
        segments: vec![
            ManifestEntry {
                sequence: 4,
                base_lsn: 100,
                previous_chain: [1; 16],
                seal: Some(seal),
            },
            ManifestEntry {
                sequence: 5,
                base_lsn: 800,
                previous_chain: [7; 16],
                seal: None,
            },
        ],
    }
}

#[test]
fn round_trips_and_detects_any_truncation_or_changed_byte() {
    let key = [9; 32];
    let manifest = manifest();
    let bytes = manifest.encode(&key);
    assert_eq!(
        Manifest::decode(&bytes, &[[1; 32], key]),
        DecodedManifest::Valid(manifest.clone())
    );
    assert_eq!(
        Manifest::decode(&bytes, &[[1; 32]]),
        DecodedManifest::Invalid
    );
    for at in 0..bytes.len() {
        assert_eq!(
            Manifest::decode(&bytes[..at], &[key]),
            DecodedManifest::Invalid,
            "cut at {at}"
        );
        let mut bytes = bytes.clone();
        bytes[at] ^= 0x80;
        let expected = if at == 8 || at == 9 {
            DecodedManifest::Valid(manifest.clone())
        } else {
            DecodedManifest::Invalid
        };
        assert_eq!(Manifest::decode(&bytes, &[key]), expected, "byte {at}");
    }
    let mut newer = bytes;
    newer[8] = 2;
    newer[20] ^= 1;
    assert_eq!(
        Manifest::decode(&newer, &[key]),
        DecodedManifest::NewerVersion(2)
    );
}
