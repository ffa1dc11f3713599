#![no_main]
//! Opens a folder built from arbitrary bytes, uses it, and opens it again.

libfuzzer_sys::fuzz_target!(|data: &[u8]| cranehill_journal::fuzzing::recover(data));
