//! The operators' address: effect and limits of each request.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};

use common::{Client, RunningSender, TIMEOUT, list, platform, put, start_with};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;
use cranehill_daemon::reactor::State;

/// Starts a sender with an operators' address and, if given, the state folder `state`.
fn start_with_operator(
    known: &str,
    platform: &SimulatedServer,
    state: Option<&Path>,
) -> RunningSender {
    start_with(known, platform, |options| {
        options.operator = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        options.state = state.map(|dir| State {
            dir: dir.to_owned(),
            disk: 1_000_000,
            key: None,
        });
    })
}

/// Sends these bytes to the operators' address and returns the whole response.
fn send_request(sender: &RunningSender, bytes: &[u8]) -> String {
    let mut stream =
        TcpStream::connect(sender.operator.expect("an operators' address")).expect("connect");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("read timeout set");
    stream.write_all(bytes).expect("write");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("an answer, then end of stream");
    text
}

/// Sends an operator request and returns the status of its response.
fn call(sender: &RunningSender, method: &str, path: &str) -> u16 {
    let text = send_request(
        sender,
        format!("{method} {path} HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n").as_bytes(),
    );
    text.split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or_else(|| panic!("{path}: {text}"))
}

/// Two endpoints of destination 7, and a channel with the endpoint and message id of each call.
fn destination() -> (SimulatedServer, SimulatedServer, Receiver<(char, String)>) {
    let (call_log, calls) = channel();
    let endpoint = |name: char| {
        let call_log = call_log.clone();
        SimulatedServer::new(move |request, _| {
            let id = http::header(&request.headers, "X-Txn").unwrap_or_default();
            let _ = call_log.send((name, id.to_owned()));
            Reply::status(200)
        })
        .expect("endpoint")
    };
    (endpoint('a'), endpoint('b'), calls)
}

/// The endpoint list of both endpoints; the id of the first has characters that must be escaped in a path.
fn known_list(a: &SimulatedServer, b: &SimulatedServer) -> String {
    list(
        1,
        &[
            ("a/1 %", a.address, 7, "station"),
            ("b", b.address, 7, "station"),
        ],
    )
}

/// Metadata argument of `MSG.PUT`: class, tenant, remaining time in milliseconds and destination.
const METADATA: &str = "c=episode-notice,t=onda-central,d=15000,dest=7";

#[test]
fn each_operator_request_is_accepted_and_rejected_as_specified() {
    let (a, b, _calls) = destination();
    let platform = platform();
    let sender = start_with_operator(&known_list(&a, &b), &platform, None);
    let mut transcript = String::new();
    for bytes in [
        "GET /_ready HTTP/1.1\r\n\r\n",
        "PUT /_ready HTTP/1.1\r\n\r\n",
        "GET /_status HTTP/1.1\r\n\r\n",
        "PUT /_endpoints/detach/b HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "PUT /_endpoints/attach/b HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "PUT /_endpoints/attach/b HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "PUT /_endpoints/detach/nobody HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "PUT /_endpoints/detach/a/1%20%25 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "PUT /_endpoints/attach/a%2F1%20%25 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "PUT /_endpoints/detach/%ff HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "GET /_endpoints/detach/b HTTP/1.1\r\n\r\n",
        "PUT /_lameduck/off HTTP/1.1\r\n\r\n",
        "PUT /_lameduck/on HTTP/1.1\r\n\r\n",
        "PUT /_lameduck/on HTTP/1.1\r\n\r\n",
        "GET /_ready HTTP/1.1\r\n\r\n",
        "PUT /_lameduck/off HTTP/1.1\r\n\r\n",
        "GET /_ready HTTP/1.1\r\n\r\n",
        "GET /elsewhere HTTP/1.1\r\n\r\n",
        "\u{1}\u{2} no HTTP\r\n\r\n",
        "PUT /_lameduck/on HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        // A second request on the same connection is ignored.
        "GET /_ready HTTP/1.1\r\n\r\nPUT /_lameduck/on HTTP/1.1\r\n\r\n",
        "GET /_ready HTTP/1.1\r\n\r\n",
    ] {
        transcript.push_str(&format!(
            "> {}\n{}\n",
            bytes.escape_debug(),
            send_request(&sender, bytes.as_bytes())
        ));
    }
    insta::assert_snapshot!(transcript.replace('\r', ""));
}

/// Guards maintenance of endpoints: a detached one gets no new calls until it is attached, also after a full list and a
/// restart. One attach undoes any number of detaches.
#[test]
fn detached_endpoint_receives_nothing_until_reattached() {
    let (a, b, calls) = destination();
    let (known, platform) = (known_list(&a, &b), platform());
    let folder = tempfile::tempdir().expect("temporary folder created");
    let put =
        |sender: &RunningSender, id: &str| Client::new(sender.clients).put(id, METADATA, b"body");
    {
        let sender = start_with_operator(&known, &platform, Some(folder.path()));
        for path in [
            "detach/a%2F1%20%25",
            "detach/b",
            "detach/b",
            "attach/a%2F1%20%25",
        ] {
            assert_eq!(call(&sender, "PUT", &format!("/_endpoints/{path}")), 200);
        }
        for n in 0..6 {
            assert_eq!(put(&sender, &format!("{n:016x}")), "+OK");
        }
        assert!((0..6).all(|_| calls.recv_timeout(TIMEOUT).is_ok_and(|call| call.0 == 'a')));
    }
    // The next process reads the full list from its configuration and the detached endpoints from the state folder.
    let sender = start_with_operator(&known, &platform, Some(folder.path()));
    assert_eq!(call(&sender, "PUT", "/_endpoints/detach/a%2F1%20%25"), 200);
    // Messages pending at the restart may be sent to `a` again before it is detached.
    let pending_id = "00000000000000ff";
    assert_eq!(put(&sender, pending_id), "+OK");
    let is_pending_message = |call: &(char, String)| call.1 == pending_id;
    let wait = std::time::Duration::from_millis(700);
    let calls_while_detached: Vec<_> = std::iter::from_fn(|| calls.recv_timeout(wait).ok())
        .filter(is_pending_message)
        .collect();
    assert!(
        calls_while_detached.is_empty(),
        "both endpoints are detached, but called with {calls_while_detached:?}"
    );
    assert_eq!(call(&sender, "PUT", "/_endpoints/attach/b"), 200);
    let first = std::iter::from_fn(|| calls.recv_timeout(TIMEOUT).ok()).find(is_pending_message);
    assert_eq!(first.map(|call| call.0), Some('b'));
    assert_eq!(
        call(&sender, "PUT", "/_endpoints/attach/b"),
        200,
        "attaching an attached endpoint succeeds"
    );
}

/// Guards draining: `PING` gets an error, connections close between requests, and every request received is answered.
#[test]
fn draining_sender_answers_pending_requests_and_closes_connections() {
    let (a, b, _calls) = destination();
    let platform = platform();
    let sender = start_with_operator(&known_list(&a, &b), &platform, None);
    let (mut idle, mut busy) = (Client::new(sender.clients), Client::new(sender.clients));
    assert_eq!(idle.put("00000000000000a0", METADATA, b"x"), "+OK");
    assert_eq!(call(&sender, "PUT", "/_lameduck/on"), 200);
    let mut pings = Client::new(sender.clients);
    pings.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(
        (pings.line(), pings.line()),
        ("-ERR emptying, for operators".into(), "<end>".into())
    );
    // The sender waits for the rest of an incomplete request, and closes its connection after the last answer.
    let request = put("00000000000000b0", METADATA, b"slow");
    busy.send(&request[..20]);
    assert_eq!(idle.line(), "<end>");
    // A second request in the same write is answered too.
    busy.send(&[&request[20..], &put("00000000000000b1", METADATA, b"next")].concat());
    assert_eq!(
        (busy.line(), busy.line(), busy.line()),
        ("+OK".into(), "+OK".into(), "<end>".into())
    );
    // A load balancer may still route new connections here.
    assert_eq!(
        Client::new(sender.clients).put("00000000000000c0", METADATA, b"late"),
        "+OK"
    );
    assert_eq!(call(&sender, "PUT", "/_lameduck/off"), 200);
    let mut again = Client::new(sender.clients);
    again.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(again.line(), "+PONG");
    assert_eq!(again.put("00000000000000d0", METADATA, b"x"), "+OK");
}

/// Guards the address against connections without a request: they do not block others, and are closed.
#[test]
fn silent_operator_connections_do_not_block_others() {
    let (a, b, _calls) = destination();
    let platform = platform();
    let sender = start_with_operator(&known_list(&a, &b), &platform, None);
    let address = sender.operator.expect("an address");
    let mut silent: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(address).expect("connect"))
        .collect();
    assert_eq!(call(&sender, "GET", "/_ready"), 200);
    for stream in &mut silent {
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("read timeout set");
        assert!(
            matches!(stream.read(&mut [0]), Ok(0) | Err(_)),
            "the silent connection is closed"
        );
    }
    assert_eq!(call(&sender, "GET", "/_ready"), 200);
}
