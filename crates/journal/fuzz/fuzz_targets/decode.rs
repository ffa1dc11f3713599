#![no_main]
//! Runs every decoder of the journal on arbitrary bytes.

libfuzzer_sys::fuzz_target!(|data: &[u8]| cranehill_journal::fuzzing::decode(data));
