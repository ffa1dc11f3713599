//! What simulated servers read and write: requests, answers and lists as the platform's pages have them. Pure.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cranehill_simulation::audit::Answer;
use cranehill_simulation::clients::{ClientAnswer, Submission};
use cranehill_simulation::destination::DeliveryOutcome;

/// Heads and bodies beyond this are nothing that a sender of ours says.
const HEAD_MOST: usize = 64 * 1024;
const BODY_MOST: usize = 4 * 1024 * 1024;

/// A request as it came whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

/// The first request in these bytes and how many they were; `None` if it is not whole, an error if it is none.
pub fn request(bytes: &[u8]) -> Result<Option<(Request, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(bytes).map_err(|e| e.to_string())? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if bytes.len() > HEAD_MOST => {
            return Err("a head without an end".into());
        }
        httparse::Status::Partial => return Ok(None),
    };
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let headers: Vec<(String, String)> = parsed
        .headers
        .iter()
        .map(|h| (h.name.to_owned(), text(h.value)))
        .collect();
    let length = headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length: usize = match length {
        Some((_, value)) => value
            .trim()
            .parse()
            .map_err(|_| format!("Content-Length: {value}"))?,
        None => 0,
    };
    if length > BODY_MOST {
        return Err(format!("a body of {length} bytes"));
    }
    let Some(body) = bytes.get(head..head + length) else {
        return Ok(None);
    };
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        headers,
        body: body.to_vec(),
    };
    Ok(Some((request, head + length)))
}

/// An answer with a body.
pub fn response(status: u16, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Stand-in",
    };
    let mut text = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// The messages of a call; an error if it is none that the platform's pages know.
pub fn call_ids(request: &Request) -> Result<(Vec<String>, bool), String> {
    match request.path.as_str() {
        "/hook" => {
            let id = request.header("X-Txn").ok_or("a call without X-Txn")?;
            Ok((vec![id.to_owned()], false))
        }
        "/hook/batch" => {
            let items: serde_json::Value =
                serde_json::from_slice(&request.body).map_err(|e| e.to_string())?;
            let items = items.as_array().ok_or("a batch is an array")?;
            let mut ids = Vec::with_capacity(items.len());
            for item in items {
                let id = item["id"].as_str().ok_or("an item without an id")?;
                let body = item["body"].as_str().ok_or("an item without a body")?;
                STANDARD
                    .decode(body)
                    .map_err(|e| format!("a body that is no Base64: {e}"))?;
                if ids.iter().any(|i| i == id) {
                    return Err(format!("{id} is in a batch twice"));
                }
                ids.push(id.to_owned());
            }
            if ids.is_empty() {
                return Err("an empty batch".into());
            }
            Ok((ids, true))
        }
        path => match path
            .strip_prefix("/p/")
            .and_then(|rest| rest.split_once('/'))
        {
            Some((_, id)) if !id.is_empty() && request.header("TTL").is_some() => {
                Ok((vec![id.to_owned()], false))
            }
            _ => Err(format!("no such path: {path}")),
        },
    }
}

/// The path under which posts for a destination are taken and passed on.
pub fn push_path(destination: u64) -> String {
    format!("/p/{destination}/")
}

/// A Web Push post. Its TTL is whole seconds, one at least.
pub fn post(submission: &Submission, ttl: Duration, topic: bool) -> Vec<u8> {
    let path = push_path(submission.destination);
    let topic = if topic {
        format!("Topic: {}\r\n", submission.id)
    } else {
        String::new()
    };
    let head = format!(
        "POST {path}{} HTTP/1.1\r\nHost: sender\r\nTTL: {}\r\n{topic}Content-Encoding: aes128gcm\r\nContent-Length: {}\r\n\r\n",
        submission.id,
        ttl.as_secs(),
        submission.body
    );
    let mut bytes = head.into_bytes();
    bytes.extend(submission.id.bytes().cycle().take(submission.body));
    bytes
}

/// A sender's one answer to a post, and how many bytes it was; `None` if it has not come whole.
pub fn posted(bytes: &[u8]) -> Option<(Answer, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut parsed = httparse::Response::new(&mut headers);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some((Answer::Error, bytes.len())),
    };
    let header = |name: &str| {
        let found = parsed
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value)
            .ok()?
            .trim()
            .parse::<u64>()
            .ok()
    };
    let whole = head + header("content-length").unwrap_or(0) as usize;
    let answer = match parsed.code {
        Some(201) => Answer::Delivered,
        Some(503) => Answer::Rejected {
            after: header("retry-after").map(Duration::from_secs),
        },
        Some(410 | 504) => Answer::Failed,
        _ => Answer::Error,
    };
    (bytes.len() >= whole).then_some((answer, whole))
}

/// A destination's answer to a call with these outcomes.
pub fn call_answer(
    ids: &[String],
    batch: bool,
    outcomes: &[DeliveryOutcome],
    wait: Option<Duration>,
    report: Option<(f64, f64)>,
    push: bool,
) -> Vec<u8> {
    let mut headers = Vec::new();
    if let Some((left, limit)) = report {
        headers.push(("X-Pressure", format!("x0={left:.4},x1={limit:.3}")));
    }
    if let Some(wait) = wait {
        headers.push(("Retry-After", format!("{:.6}", wait.as_secs_f64())));
    }
    let all = |outcome: DeliveryOutcome| outcomes.iter().all(|f| *f == outcome);
    if all(DeliveryOutcome::Busy) {
        return response(if wait.is_some() { 429 } else { 503 }, &headers, "");
    }
    if all(DeliveryOutcome::Failed) {
        return response(500, &headers, "");
    }
    if !batch {
        return response(if push { 201 } else { 200 }, &headers, "");
    }
    let rows: Vec<serde_json::Value> = ids
        .iter()
        .zip(outcomes)
        .map(|(id, f)| serde_json::json!({"id": id, "state": state_of(*f)}))
        .collect();
    response(200, &headers, &serde_json::Value::from(rows).to_string())
}

/// A outcome as a batch's answer has it.
pub fn state_of(outcome: DeliveryOutcome) -> &'static str {
    match outcome {
        DeliveryOutcome::Done => "done",
        DeliveryOutcome::Failed => "failed",
        DeliveryOutcome::Busy => "busy",
    }
}

/// The first argument of a request whose class keeps no order.
const NO_ORDERING_KEY: &str = "0000000000000000";

/// A message as a tenant's program hands it in.
pub fn put(submission: &Submission, class: &str, tenant: &str) -> Vec<u8> {
    let mut names = format!(
        "c={class},t={tenant},d={},dest={}",
        submission.time_to_live.as_millis(),
        submission.destination
    );
    if let Some(key) = &submission.key {
        names.push_str(&format!(",k={key}"));
    }
    if submission.retry {
        names.push_str(",r=1");
    }
    if submission.again {
        names.push_str(",again=1");
    }
    // Text that packs about as well as a real message's.
    let body: Vec<u8> = submission
        .id
        .bytes()
        .cycle()
        .zip(b"episodio de la tarde; ".iter().cycle())
        .map(|(a, b)| if a % 3 == 0 { a } else { *b })
        .take(submission.body)
        .collect();
    let ordering_key = submission
        .ordering_key
        .as_deref()
        .unwrap_or(NO_ORDERING_KEY)
        .as_bytes();
    let mut bytes = b"*5\r\n".to_vec();
    for event in [
        b"MSG.PUT" as &[u8],
        ordering_key,
        submission.id.as_bytes(),
        names.as_bytes(),
        &body,
    ] {
        bytes.extend_from_slice(format!("${}\r\n", event.len()).as_bytes());
        bytes.extend_from_slice(event);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A sender's answer to a client, and how many bytes it was.
pub fn client_answer(bytes: &[u8]) -> Option<(ClientAnswer, usize)> {
    let end = bytes.windows(2).position(|w| w == b"\r\n")?;
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let client_answer = match line.strip_prefix("-BUSY") {
        Some(rest) => {
            let after = rest.trim().parse::<u64>().ok().map(Duration::from_millis);
            ClientAnswer::Rejected { after }
        }
        None if line.starts_with('+') => ClientAnswer::Accepted,
        None if line.starts_with('$') => {
            let size: usize = line[1..].parse().ok()?;
            return (bytes.len() >= end + 2 + size + 2)
                .then_some((ClientAnswer::Accepted, end + 2 + size + 2));
        }
        None => ClientAnswer::Error,
    };
    Some((client_answer, end + 2))
}

/// `id` and how it ended, of each line of a final report; an error if one can't be read.
pub fn reports(body: &[u8]) -> Result<Vec<(String, Option<Duration>, bool)>, String> {
    let mut all = Vec::new();
    for line in String::from_utf8_lossy(body)
        .lines()
        .filter(|l| !l.trim().is_empty())
    {
        let read: serde_json::Value = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let id = read["id"]
            .as_str()
            .ok_or("a report without an id")?
            .to_owned();
        let after = read["after_ms"].as_u64().map(Duration::from_millis);
        match read["state"].as_str() {
            Some("returned") => all.push((id, after, true)),
            Some("failed") => all.push((id, None, false)),
            other => return Err(format!("a report with the state {other:?}")),
        }
    }
    Ok(all)
}

/// `from` and `hold_ms` of a question to the directory.
pub fn watch(path: &str) -> Option<(u64, Duration)> {
    let query = path.split_once('?')?.1;
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    Some((
        value("from")?,
        Duration::from_millis(value("hold_ms").unwrap_or(0).min(60_000)),
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_read_whole_or_not_at_all() {
        let bytes = b"POST /hook HTTP/1.1\r\nX-Txn: aa\r\nContent-Length: 3\r\n\r\nabcGET";
        for cut in 0..bytes.len() - 3 {
            assert_eq!(request(&bytes[..cut]), Ok(None), "cut at {cut}");
        }
        let (read, used) = request(bytes).expect("good").expect("whole");
        assert_eq!((read.body.as_slice(), used), (&b"abc"[..], bytes.len() - 3));
        assert_eq!(call_ids(&read), Ok((vec!["aa".into()], false)));
        assert!(request(b"\0\0\r\n\r\n").is_err());
    }

    #[test]
    fn a_batch_answer_lists_each_outcome() {
        let ids = vec!["a".to_owned(), "b".to_owned()];
        let text = String::from_utf8(call_answer(
            &ids,
            true,
            &[DeliveryOutcome::Done, DeliveryOutcome::Busy],
            None,
            None,
            false,
        ))
        .expect("text");
        assert!(
            text.starts_with("HTTP/1.1 200 ") && text.contains(r#"{"id":"b","state":"busy"}"#),
            "{text}"
        );
        let wait = Some(Duration::from_millis(700));
        let text = String::from_utf8(call_answer(
            &ids,
            true,
            &[DeliveryOutcome::Busy; 2],
            wait,
            Some((0.4, 25.0)),
            false,
        ))
        .expect("text");
        assert!(
            text.starts_with("HTTP/1.1 429 ") && text.contains("Retry-After: 0.700000"),
            "{text}"
        );
        assert!(text.contains("X-Pressure: x0=0.4000,x1=25.000"));
        let batch = |body: &str| {
            let body = body.as_bytes().to_vec();
            call_ids(&Request {
                method: "POST".into(),
                path: "/hook/batch".into(),
                headers: vec![],
                body,
            })
        };
        assert_eq!(
            batch(r#"[{"id":"a","body":"eA=="},{"id":"b","body":""}]"#),
            Ok((ids, true))
        );
        for bad in [
            "[]",
            "{",
            r#"[{"id":"a"}]"#,
            r#"[{"id":"a","body":"?"}]"#,
            r#"[{"id":"a","body":""},{"id":"a","body":""}]"#,
        ] {
            assert!(batch(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn sender_log_lines_are_parsed() {
        assert_eq!(
            client_answer(b"+OK\r\n+"),
            Some((ClientAnswer::Accepted, 5))
        );
        assert_eq!(
            client_answer(b"$2\r\nOK\r\n"),
            Some((ClientAnswer::Accepted, 8))
        );
        assert_eq!(
            client_answer(b"-BUSY 250\r\n"),
            Some((
                ClientAnswer::Rejected {
                    after: Some(Duration::from_millis(250))
                },
                11
            ))
        );
        assert_eq!(
            client_answer(b"-BUSY\r\n"),
            Some((ClientAnswer::Rejected { after: None }, 7))
        );
        assert_eq!(
            client_answer(b"-ERR no\r\n"),
            Some((ClientAnswer::Error, 9))
        );
        assert_eq!(client_answer(b"+OK\r"), None);
        let lines =
            b"{\"id\":\"a\",\"state\":\"failed\"}\n{\"id\":\"b\",\"state\":\"returned\",\"after_ms\":5}\n";
        let read = reports(lines).expect("good");
        assert_eq!(read[1], ("b".into(), Some(Duration::from_millis(5)), true));
        assert!(reports(b"{\"id\":\"a\",\"state\":\"gone\"}").is_err());
        assert_eq!(
            watch("/v1/endpoints?from=41&hold_ms=20000"),
            Some((41, Duration::from_secs(20)))
        );
        assert_eq!(watch("/v1/endpoints"), None);
        let refused =
            b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 3\r\n\r\nno\n";
        let after = Some(Duration::from_secs(2));
        assert_eq!(
            posted(refused),
            Some((Answer::Rejected { after }, refused.len()))
        );
        assert_eq!(posted(&refused[..refused.len() - 1]), None);
        assert_eq!(posted(b"+OK\r\n"), Some((Answer::Error, 5)));
    }
}
