//! Parsers and encoders against example requests and answers.

use std::time::Duration;

use cranehill_simulation::audit::{Answer, FinalReport};
use cranehill_simulation::clients::ClientAnswer;
use cranehill_simulation::destination::DeliveryOutcome;

use super::{
    CallReply, DestinationCall, Framed, Request, WatchRequest, parse_client_answer,
    parse_final_reports, parse_post_answer, parse_request,
};

#[test]
fn incomplete_requests_are_not_parsed() {
    let bytes = b"POST /hook HTTP/1.1\r\nX-Txn: aa\r\nContent-Length: 3\r\n\r\nabcGET";
    for length in 0..bytes.len() - 3 {
        let parsed = parse_request(&bytes[..length]).expect("an incomplete request is no error");
        assert_eq!(parsed, None, "first {length} bytes");
    }
    let parsed = parse_request(bytes)
        .expect("a valid request")
        .expect("a complete request");
    assert_eq!(
        (parsed.value.body.as_slice(), parsed.length),
        (&b"abc"[..], bytes.len() - 3)
    );
    let call = DestinationCall::parse(&parsed.value).expect("a valid call");
    assert_eq!((call.ids, call.batch), (vec!["aa".to_owned()], false));
    assert!(parse_request(b"\0\0\r\n\r\n").is_err());
}

#[test]
fn a_batch_reply_lists_each_outcome() {
    let ids = vec!["a".to_owned(), "b".to_owned()];
    let reply = CallReply {
        ids: &ids,
        batch: true,
        outcomes: &[DeliveryOutcome::Done, DeliveryOutcome::Busy],
        retry_after: None,
        load_report: None,
        push: false,
    };
    let text = String::from_utf8(reply.encode()).expect("UTF-8");
    assert!(
        text.starts_with("HTTP/1.1 200 ") && text.contains(r#"{"id":"b","state":"busy"}"#),
        "{text}"
    );
    let busy = CallReply {
        outcomes: &[DeliveryOutcome::Busy; 2],
        retry_after: Some(Duration::from_millis(700)),
        load_report: Some((0.4, 25.0)),
        ..reply
    };
    let text = String::from_utf8(busy.encode()).expect("UTF-8");
    assert!(
        text.starts_with("HTTP/1.1 429 ") && text.contains("Retry-After: 0.700000"),
        "{text}"
    );
    assert!(text.contains("X-Pressure: x0=0.4000,x1=25.000"));
}

#[test]
fn batches_need_distinct_ids_and_base64_bodies() {
    let parse = |body: &str| {
        DestinationCall::parse(&Request {
            method: "POST".into(),
            path: "/hook/batch".into(),
            headers: vec![],
            body: body.as_bytes().to_vec(),
        })
    };
    let call = parse(r#"[{"id":"a","body":"eA=="},{"id":"b","body":""}]"#).expect("a valid batch");
    let ids = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(call, DestinationCall { ids, batch: true });
    for invalid in [
        "[]",
        "{",
        r#"[{"id":"a"}]"#,
        r#"[{"id":"a","body":"?"}]"#,
        r#"[{"id":"a","body":""},{"id":"a","body":""}]"#,
    ] {
        assert!(parse(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn answers_to_clients_are_parsed() {
    let answer = |value, length| Some(Framed { value, length });
    assert_eq!(
        parse_client_answer(b"+OK\r\n+"),
        answer(ClientAnswer::Accepted, 5)
    );
    assert_eq!(
        parse_client_answer(b"$2\r\nOK\r\n"),
        answer(ClientAnswer::Accepted, 8)
    );
    let after = Some(Duration::from_millis(250));
    assert_eq!(
        parse_client_answer(b"-BUSY 250\r\n"),
        answer(ClientAnswer::Rejected { after }, 11)
    );
    assert_eq!(
        parse_client_answer(b"-BUSY\r\n"),
        answer(ClientAnswer::Rejected { after: None }, 7)
    );
    assert_eq!(
        parse_client_answer(b"-ERR no\r\n"),
        answer(ClientAnswer::Error, 9)
    );
    assert_eq!(parse_client_answer(b"+OK\r"), None);
}

#[test]
fn final_reports_are_parsed_line_by_line() {
    let lines =
        b"{\"id\":\"a\",\"state\":\"failed\"}\n{\"id\":\"b\",\"state\":\"returned\",\"after_ms\":5}\n";
    let reports = parse_final_reports(lines).expect("valid reports");
    let after = Some(Duration::from_millis(5));
    assert_eq!(reports[1].id, "b");
    assert_eq!(reports[1].report, FinalReport::Returned { after });
    assert!(parse_final_reports(b"{\"id\":\"a\",\"state\":\"gone\"}").is_err());
}

#[test]
fn watch_requests_are_parsed() {
    assert_eq!(
        WatchRequest::parse("/v1/endpoints?from=41&hold_ms=20000"),
        Some(WatchRequest {
            known_version: 41,
            max_hold: Duration::from_secs(20)
        })
    );
    assert_eq!(WatchRequest::parse("/v1/endpoints"), None);
}

#[test]
fn answers_to_web_push_posts_are_parsed() {
    let rejected =
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 3\r\n\r\nno\n";
    let after = Some(Duration::from_secs(2));
    assert_eq!(
        parse_post_answer(rejected),
        Some(Framed {
            value: Answer::Rejected { after },
            length: rejected.len()
        })
    );
    assert_eq!(parse_post_answer(&rejected[..rejected.len() - 1]), None);
    assert_eq!(
        parse_post_answer(b"+OK\r\n"),
        Some(Framed {
            value: Answer::Error,
            length: 5
        })
    );
}
