//! Histograms of durations.

use std::time::Duration;

use hdrhistogram::Histogram;

/// An hour: longer durations count as this.
const MAX_MILLISECONDS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of milliseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    // The library accepts these constants.
    Histogram::new_with_bounds(1, MAX_MILLISECONDS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("fixed bounds"))
}

/// Adds a duration in milliseconds.
pub(crate) fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_millis() as u64);
}
