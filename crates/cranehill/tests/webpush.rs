//! The Web Push front end, from the POST of an application server to its one answer, with a simulated push service.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use common::TIMEOUT;
use cranehill::push_script::push_setup;
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http::{self, Response, header};
use cranehill_daemon::reactor::{Reactor, ReactorOptions, StopHandle};
use cranehill_daemon::webpush::VapidFile;
use p256::ecdsa::signature::Verifier;
use p256::ecdsa::{Signature, SigningKey, VerifyingKey};

/// A running Web Push front end; dropping it stops it.
struct Front {
    address: SocketAddr,
    stop_handle: StopHandle,
}

impl Drop for Front {
    fn drop(&mut self) {
        self.stop_handle.stop();
    }
}

fn front(service: SocketAddr, vapid: Option<VapidFile>) -> Front {
    let mut reactor = Reactor::new(push_setup(service, vapid)).expect("the sender starts");
    let address = reactor.addresses().1.expect("a listening address");
    let stop_handle = reactor.stop_handle().expect("stop handle");
    thread::spawn(move || reactor.run(Vec::new));
    Front {
        address,
        stop_handle,
    }
}

/// Posts a push to subscription `name` and reads its one answer on the same connection.
fn post(front: &Front, name: &str, headers: &[(&str, &str)], body: &[u8]) -> Response {
    let headers: Vec<(&str, String)> = headers.iter().map(|(n, v)| (*n, (*v).to_owned())).collect();
    exchange(
        front,
        &http::write_request("POST", &format!("/push/{name}"), "front", &headers, body),
    )
}

/// Sends a request and returns its one answer.
fn exchange(front: &Front, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(front.address).expect("connect");
    stream
        .set_read_timeout(Some(Duration::from_secs(25)))
        .expect("read timeout set");
    stream.write_all(bytes).expect("write");
    let (mut input, mut chunk) = (Vec::new(), [0u8; 4096]);
    loop {
        if let Some((response, used)) = http::response(&input, false).expect("an answer") {
            assert_eq!(used, input.len(), "one answer and nothing more");
            return response;
        }
        let n = stream.read(&mut chunk).expect("an answer in time");
        assert!(n > 0, "the connection ended without an answer");
        input.extend_from_slice(&chunk[..n]);
    }
}

/// A server that gives every request this reply.
fn always(reply: Reply) -> SimulatedServer {
    SimulatedServer::new(move |_, _| reply.clone()).expect("push service")
}

#[test]
fn push_is_forwarded_unchanged_over_a_reused_connection() {
    let service = always(Reply::status(201));
    let front = front(service.address, None);
    let sealed: Vec<u8> = (0..=255).collect();
    for _ in 0..3 {
        let headers = [
            ("TTL", "60"),
            ("Urgency", "high"),
            ("Topic", "show_1"),
            ("Content-Encoding", "aes128gcm"),
        ];
        assert_eq!(post(&front, "abc", &headers, &sealed).status, 201);
        // A connection is not used again directly after a response.
        std::thread::sleep(Duration::from_millis(100));
    }
    let seen = service.seen();
    assert_eq!(seen.len(), 3);
    for s in &seen {
        let r = &s.request;
        assert_eq!(
            (r.method.as_str(), r.path.as_str()),
            ("POST", "/subscription/abc")
        );
        assert_eq!(r.body, sealed);
        let forwarded = |name| header(&r.headers, name);
        assert_eq!(forwarded("Urgency"), Some("high"));
        assert_eq!(forwarded("Topic"), Some("show_1"));
        assert_eq!(forwarded("Content-Encoding"), Some("aes128gcm"));
        let ttl: u64 = forwarded("TTL")
            .and_then(|t| t.parse().ok())
            .expect("a TTL");
        assert!(
            (30..=60).contains(&ttl),
            "the remaining time, at most the TTL of the post: {ttl}"
        );
        assert_eq!(s.connection, 0);
    }
}

#[test]
fn invalid_push_is_answered_at_once_and_not_forwarded() {
    let service = always(Reply::status(201));
    let front = front(service.address, None);
    let status = |headers: &[(&str, &str)]| post(&front, "a", headers, b"x").status;
    assert_eq!(status(&[]), 400);
    assert_eq!(status(&[("TTL", "soon")]), 400);
    assert_eq!(status(&[("TTL", "-1")]), 400);
    assert_eq!(status(&[("TTL", "9"), ("Urgency", "extreme")]), 400);
    assert_eq!(status(&[("TTL", "9"), ("Topic", "not base64url!")]), 400);
    assert_eq!(
        exchange(
            &front,
            b"POST /elsewhere HTTP/1.1\r\nTTL: 9\r\nContent-Length: 0\r\n\r\n"
        )
        .status,
        404
    );
    assert_eq!(
        exchange(&front, b"GET /push/a HTTP/1.1\r\n\r\n").status,
        405
    );
    assert_eq!(
        exchange(
            &front,
            b"POST /push/a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"
        )
        .status,
        413
    );
    assert_eq!(
        exchange(
            &front,
            b"POST /push/a HTTP/1.1\r\nContent-Length: x\r\n\r\n"
        )
        .status,
        400
    );
    assert_eq!(
        exchange(&front, b"\x00\x01\x02 nonsense\r\n\r\n").status,
        400
    );
    assert!(service.seen().is_empty());
}

#[test]
fn nothing_is_sent_during_a_retry_after() {
    let service = SimulatedServer::new(|_, number| match number {
        0 => Reply::wait(429, "1.5"),
        _ => Reply::status(201),
    })
    .expect("push service");
    let front = front(service.address, None);
    let first = thread::scope(|s| {
        let forwarded = s.spawn(|| post(&front, "one", &[("TTL", "15")], b"x"));
        assert!(service.wait_for(1, TIMEOUT));
        // Another message for the same service, while the wait lasts.
        thread::sleep(Duration::from_millis(100));
        let other = s.spawn(|| post(&front, "two", &[("TTL", "15")], b"y"));
        assert_eq!(other.join().expect("push thread completed").status, 201);
        forwarded.join().expect("push thread completed")
    });
    assert_eq!(first.status, 201);
    let seen = service.seen();
    assert_eq!(seen.len(), 3);
    for later in &seen[1..] {
        let after = later.at - seen[0].at;
        assert!(
            after >= Duration::from_millis(1500),
            "sent {after:?} after the request that got the Retry-After"
        );
    }
}

#[test]
fn retry_after_date_is_respected() {
    let service = SimulatedServer::new(|_, number| match number {
        0 => {
            let at = std::time::SystemTime::now() + Duration::from_secs(3);
            Reply::wait(503, &httpdate::fmt_http_date(at))
        }
        _ => Reply::status(201),
    })
    .expect("push service");
    let front = front(service.address, None);
    assert_eq!(post(&front, "one", &[("TTL", "15")], b"x").status, 201);
    let seen = service.seen();
    // A date has whole seconds: three seconds from now may be written as little more than two.
    assert!(seen[1].at - seen[0].at >= Duration::from_millis(1900));
}

#[test]
fn retry_after_beyond_the_ttl_expires_the_message_in_time() {
    let service = always(Reply::wait(429, "60"));
    let front = front(service.address, None);
    let started = Instant::now();
    assert_eq!(post(&front, "one", &[("TTL", "2")], b"x").status, 504);
    assert!(started.elapsed() < Duration::from_secs(20));
    assert_eq!(service.seen().len(), 1);
}

#[test]
fn removed_subscription_is_not_retried_and_is_no_service_failure() {
    for status in [404, 410] {
        let service = SimulatedServer::new(move |request, _| match request.path.as_str() {
            "/subscription/left" => Reply::status(status),
            _ => Reply::status(201),
        })
        .expect("push service");
        let front = front(service.address, None);
        // More in a row than failures that would count as an outage.
        for _ in 0..8 {
            assert_eq!(
                post(&front, "left", &[("TTL", "9"), ("Topic", "t")], b"x").status,
                410
            );
        }
        assert_eq!(service.seen().len(), 8);
        assert_eq!(post(&front, "here", &[("TTL", "9")], b"x").status, 201);
    }
}

#[test]
fn permanent_error_ends_after_one_attempt() {
    for status in [400, 401, 403, 413] {
        let service = always(Reply::status(status));
        let front = front(service.address, None);
        assert_eq!(
            post(&front, "a", &[("TTL", "9"), ("Topic", "t")], b"x").status,
            504,
            "{status}"
        );
        assert_eq!(service.seen().len(), 1, "{status}");
    }
}

#[test]
fn error_is_retried_only_if_a_repeat_is_harmless() {
    for reply in [Reply::status(500), Reply::Close] {
        let first = reply.clone();
        let service = SimulatedServer::new(move |_, number| {
            if number == 0 {
                first.clone()
            } else {
                Reply::status(201)
            }
        })
        .expect("push service");
        let front = front(service.address, None);
        // Without a topic a repeat could show the message twice.
        assert_eq!(
            post(&front, "a", &[("TTL", "9")], b"x").status,
            504,
            "{reply:?}"
        );
        assert_eq!(service.seen().len(), 1);
        let service = SimulatedServer::new(move |_, number| {
            if number == 0 {
                reply.clone()
            } else {
                Reply::status(201)
            }
        })
        .expect("push service");
        let front = self::front(service.address, None);
        assert_eq!(
            post(&front, "a", &[("TTL", "9"), ("Topic", "t")], b"x").status,
            201
        );
        assert_eq!(service.seen().len(), 2);
    }
}

#[test]
fn message_rejected_by_every_attempt_returns_with_retry_after() {
    let service = always(Reply::wait(503, "0.05"));
    let front = front(service.address, None);
    let answer = post(&front, "a", &[("TTL", "0")], b"x");
    assert_eq!(answer.status, 503);
    let after: u64 = header(&answer.headers, "Retry-After")
        .and_then(|t| t.parse().ok())
        .expect("a number of seconds");
    assert!(after >= 1);
    assert_eq!(service.seen().len(), 1, "a TTL of zero is one attempt");
}

#[test]
fn silent_service_expires_the_message_before_the_ttl() {
    let service = always(Reply::Silent);
    let front = front(service.address, None);
    let started = Instant::now();
    assert_eq!(post(&front, "a", &[("TTL", "2")], b"x").status, 504);
    assert!(started.elapsed() < Duration::from_secs(20));
}

#[test]
fn unreachable_service_delivers_nothing() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a free port");
    let front = front(closed, None);
    let status = post(&front, "a", &[("TTL", "1")], b"x").status;
    assert!([503, 504].contains(&status), "{status}");
}

#[test]
fn closed_client_connection_cancels_the_message() {
    let service = SimulatedServer::new(|_, number| match number {
        0 => Reply::wait(429, "3"),
        _ => Reply::status(201),
    })
    .expect("push service");
    let front = front(service.address, None);
    let mut stream = TcpStream::connect(front.address).expect("connect");
    let bytes = http::write_request(
        "POST",
        "/push/left",
        "front",
        &[("TTL", "15".to_owned())],
        b"x",
    );
    stream.write_all(&bytes).expect("write");
    assert!(service.wait_for(1, TIMEOUT));
    drop(stream);
    assert_eq!(post(&front, "stays", &[("TTL", "15")], b"y").status, 201);
    let paths: Vec<String> = service.seen().into_iter().map(|s| s.request.path).collect();
    assert_eq!(paths, ["/subscription/left", "/subscription/stays"]);
}

/// Guards a post whose client leaves while further large posts of it are unread: these hid the close, and all were sent on.
#[test]
fn client_that_leaves_unread_posts_behind_cancels_them() {
    let service = SimulatedServer::new(|_, number| match number {
        0 => Reply::wait(429, "1"),
        _ => Reply::status(201),
    })
    .expect("push service");
    let front = front(service.address, None);
    let mut stream = TcpStream::connect(front.address).expect("connect");
    let ttl = [("TTL", "15".to_owned())];
    let first = http::write_request("POST", "/push/left", "front", &ttl, b"x");
    let behind = http::write_request("POST", "/push/behind", "front", &ttl, &[b'x'; 60_000]);
    stream.write_all(&first).expect("write");
    stream.write_all(&behind.repeat(2)).expect("write");
    assert!(service.wait_for(1, TIMEOUT));
    drop(stream);
    assert_eq!(post(&front, "stays", &[("TTL", "15")], b"y").status, 201);
    // A post of the closed connection would go no later than this one.
    assert_eq!(post(&front, "last", &[("TTL", "15")], b"z").status, 201);
    let paths: Vec<String> = service.seen().into_iter().map(|s| s.request.path).collect();
    let expected = ["left", "stays", "last"].map(|name| format!("/subscription/{name}"));
    assert_eq!(paths, expected);
}

#[test]
fn pushes_are_signed_for_their_service() {
    let secret = [7u8; 32];
    let vapid = VapidFile {
        key: URL_SAFE_NO_PAD.encode(secret),
        subject: "mailto:oncall@example.org".into(),
    };
    let service = always(Reply::status(201));
    let front = front(service.address, Some(vapid));
    assert_eq!(post(&front, "a", &[("TTL", "9")], b"x").status, 201);
    let request = &service.seen()[0].request;
    let text = header(&request.headers, "Authorization").expect("an Authorization header");
    let (token, key) = text
        .strip_prefix("vapid t=")
        .and_then(|t| t.split_once(", k="))
        .expect("t and k");
    let key = URL_SAFE_NO_PAD.decode(key).expect("base64url");
    let signing_key = SigningKey::from_slice(&secret).expect("a key");
    assert_eq!(
        key,
        signing_key.verifying_key().to_sec1_point(false).as_bytes()
    );
    let (signed, signature) = token.rsplit_once('.').expect("three parts");
    let signature = Signature::from_slice(&URL_SAFE_NO_PAD.decode(signature).expect("base64url"))
        .expect("64 bytes");
    VerifyingKey::from_sec1_bytes(&key)
        .expect("valid public key")
        .verify(signed.as_bytes(), &signature)
        .expect("valid signature");
    let claims = signed
        .split_once('.')
        .map(|p| URL_SAFE_NO_PAD.decode(p.1).expect("base64url"))
        .expect("claims");
    let claims: serde_json::Value = serde_json::from_slice(&claims).expect("JSON");
    assert_eq!(claims["aud"], format!("http://{}", service.address));
    assert_eq!(claims["sub"], "mailto:oncall@example.org");
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("system time after 1970")
        .as_secs();
    let expires = claims["exp"].as_u64().expect("a number of seconds");
    assert!(expires > now && expires <= now + 24 * 3600);
}

#[test]
fn full_endpoint_list_keeps_push_services() {
    let destination = always(Reply::status(200));
    let service = always(Reply::status(201));
    let whole = common::list(9, &[("a", destination.address, 7, "station")]);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}",
        whole.len()
    )
    .into_bytes();
    let platform = SimulatedServer::new(move |request, _| match request.path.contains("from=9&") {
        true => Reply::Silent,
        false => Reply::Bytes(answer.clone()),
    })
    .expect("platform");
    let config = common::config(&common::list(1, &[]), platform.address);
    let mut reactor = Reactor::new(ReactorOptions {
        platform_settings: config.platform_settings,
        listen: Some(config.listen),
        discovery: Some(config.discovery),
        known_version: config.known_version,
        initial_endpoints: config.known,
        ..push_setup(service.address, None)
    })
    .expect("the sender starts");
    let (clients, pushes) = reactor.addresses();
    let stop_handle = reactor.stop_handle().expect("stop handle");
    thread::spawn(move || reactor.run(Vec::new));
    let front = Front {
        address: pushes.expect("a listening address"),
        stop_handle,
    };
    // The second watch shows that the new list has been applied.
    assert!(platform.wait_for(2, TIMEOUT));
    let mut client = common::Client::new(clients.expect("a listening address"));
    assert_eq!(
        client.put("m1", "c=episode-notice,d=8000,k=aa,dest=7", b"x"),
        "+OK"
    );
    assert!(destination.wait_for(1, TIMEOUT));
    assert_eq!(post(&front, "a", &[("TTL", "9")], b"y").status, 201);
    assert_eq!((destination.seen().len(), service.seen().len()), (1, 1));
}
