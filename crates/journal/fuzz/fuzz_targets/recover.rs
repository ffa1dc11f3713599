#![no_main]
//! A folder put together from any bytes is opened, used, and opened again.

libfuzzer_sys::fuzz_target!(|data: &[u8]| cranehill_journal::fuzzing::recover(data));
