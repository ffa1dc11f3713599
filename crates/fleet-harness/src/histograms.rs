//! Histograms of durations.

use std::time::Duration;

use hdrhistogram::Histogram;

/// One hour. Longer durations are recorded as this value.
const MAX_MILLISECONDS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// An empty histogram of milliseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    // These constant bounds are valid, so the library returns no error.
    Histogram::new_with_bounds(1, MAX_MILLISECONDS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("fixed bounds"))
}

/// Records a duration in whole milliseconds.
pub(crate) fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_millis() as u64);
}
