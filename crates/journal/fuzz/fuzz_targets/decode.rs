#![no_main]
//! Every decoder of the journal on any bytes.

libfuzzer_sys::fuzz_target!(|data: &[u8]| cranehill_journal::fuzzing::decode(data));
