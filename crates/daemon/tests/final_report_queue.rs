//! The queue of final reports: reports in flight, lost calls and retries.

use std::time::Duration;

use cranehill_core::FinalReport;
use cranehill_daemon::final_report_queue::{FinalReportQueue, RESPONSE_TIMEOUT, RETRY_DELAY};

fn ids(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let body = text.split_once("\r\n\r\n").expect("a body").1;
    let id = |line: &str| {
        serde_json::from_str::<serde_json::Value>(line).expect("JSON")["id"].to_string()
    };
    body.lines().map(id).collect()
}

/// Guards against late reports after a lost call: they must be sent again in order, before newer ones, and within the 300 ms after
/// a message's deadline in which its end must be reported. The retry once came after 1.1 s.
#[test]
fn reports_of_a_lost_call_are_resent_first_and_within_300_ms() {
    assert!(RESPONSE_TIMEOUT + RETRY_DELAY < Duration::from_millis(300));
    let mut reports = FinalReportQueue::default();
    reports.add("a".into(), FinalReport::Failed);
    reports.add("b".into(), FinalReport::Returned { after_ms: 500 });
    let first = reports.next_call("h").expect("a call with two reports");
    assert_eq!(ids(&first), [r#""a""#, r#""b""#]);
    reports.add("c".into(), FinalReport::Failed);
    assert!(reports.next_call("h").is_none(), "one call at a time");
    reports.on_lost();
    assert_eq!(
        ids(&reports.next_call("h").expect("again")),
        [r#""a""#, r#""b""#, r#""c""#]
    );
    assert!(reports.on_response(500).is_empty());
    assert!(!reports.is_idle() && reports.is_ready());
    reports.next_call("h").expect("again");
    assert_eq!(reports.on_response(204), ["a", "b", "c"]);
    assert!(reports.is_idle());
}
