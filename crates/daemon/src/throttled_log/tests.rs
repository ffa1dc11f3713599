//! The rate of throttled log lines, and the number of events that they report.

use std::time::Duration;

use cranehill_scheduler::Time;

use super::ThrottledLog;

#[test]
fn one_line_per_interval_reports_the_events_since_the_last_line() {
    let at = |ms| Time(0) + Duration::from_millis(ms);
    let mut log = ThrottledLog::new(Duration::from_millis(100), at(0));
    assert_eq!(log.record(at(0)), Some(1));
    assert_eq!(log.record(at(1)), None);
    assert_eq!(log.record(at(99)), None);
    assert_eq!(log.record(at(100)), Some(3));
    assert_eq!(log.record(at(500)), Some(1));
    assert_eq!(log.record(at(599)), None);
}
