//! Final reports: what is out, lost and sent again.

use std::time::Duration;

use cranehill_core::FinalReport;
use cranehill_daemon::final_report_queue::{FinalReportQueue, RESPONSE_TIMEOUT, RETRY_DELAY};

fn ids(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let body = text.split_once("\r\n\r\n").expect("a body").1;
    let line =
        |l: &str| serde_json::from_str::<serde_json::Value>(l).expect("JSON")["id"].to_string();
    body.lines().map(line).collect()
}

/// Guards reports whose answer never comes: sent again in their order before newer ones, and early enough that the second
/// try is inside the 300 ms after a message's time in which its end must be told. It took 1.1 s.
#[test]
fn a_lost_report_is_sent_again_first_and_within_300_ms() {
    assert!(RESPONSE_TIMEOUT + RETRY_DELAY < Duration::from_millis(300));
    let mut reports = FinalReportQueue::default();
    reports.add("a".into(), FinalReport::Failed);
    reports.add("b".into(), FinalReport::Returned { after_ms: 500 });
    let first = reports.next_call("h").expect("two reports");
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
