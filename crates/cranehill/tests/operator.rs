//! The operators' address: what each call does, and what it must not do.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};

use common::{Client, Running, SOON, list, platform, put, start_as};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;
use cranehill_daemon::reactor::State;

fn operated(known: &str, platform: &SimulatedServer, state: Option<&Path>) -> Running {
    start_as(known, platform, |setup| {
        setup.operator = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        setup.state = state.map(|dir| State {
            dir: dir.to_owned(),
            disk: 1_000_000,
            key: None,
        });
    })
}

fn ask(sender: &Running, bytes: &[u8]) -> String {
    let mut stream =
        TcpStream::connect(sender.operator.expect("an operators' address")).expect("connect");
    stream.set_read_timeout(Some(SOON)).expect("time-out");
    stream.write_all(bytes).expect("write");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("an answer, then the end");
    text
}

fn call(sender: &Running, method: &str, path: &str) -> u16 {
    let text = ask(
        sender,
        format!("{method} {path} HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n").as_bytes(),
    );
    text.split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or_else(|| panic!("{path}: {text}"))
}

/// Two endpoints of destination 7 that say who was called with what.
fn destination() -> (SimulatedServer, SimulatedServer, Receiver<(char, String)>) {
    let (printed, heard) = channel();
    let endpoint = |name: char| {
        let printed = printed.clone();
        SimulatedServer::new(move |request, _| {
            let id = http::header(&request.headers, "X-Txn").unwrap_or_default();
            let _ = printed.send((name, id.to_owned()));
            Reply::status(200)
        })
        .expect("endpoint")
    };
    (endpoint('a'), endpoint('b'), heard)
}

fn rows(a: &SimulatedServer, b: &SimulatedServer) -> String {
    list(
        1,
        &[
            ("a/1 %", a.address, 7, "station"),
            ("b", b.address, 7, "station"),
        ],
    )
}

const NAMES: &str = "c=episode-notice,t=onda-central,d=15000,dest=7";

#[test]
fn each_operator_request_is_accepted_and_rejected_as_specified() {
    let (a, b, _heard) = destination();
    let platform = platform();
    let sender = operated(&rows(&a, &b), &platform, None);
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
        // A second call on the same connection is not heard.
        "GET /_ready HTTP/1.1\r\n\r\nPUT /_lameduck/on HTTP/1.1\r\n\r\n",
        "GET /_ready HTTP/1.1\r\n\r\n",
    ] {
        transcript.push_str(&format!(
            "> {}\n{}\n",
            bytes.escape_debug(),
            ask(&sender, bytes.as_bytes())
        ));
    }
    insta::assert_snapshot!(transcript.replace('\r', ""));
}

/// Guards the operators' maintenance: nothing new goes to what is out, a whole list and a restart included, until the call
/// back; one call back is enough however many took it out.
#[test]
fn detached_endpoint_receives_nothing_until_reattached() {
    let (a, b, heard) = destination();
    let (known, platform) = (rows(&a, &b), platform());
    let folder = tempfile::tempdir().expect("a folder");
    let put = |sender: &Running, id: &str| Client::new(sender.clients).put(id, NAMES, b"body");
    {
        let sender = operated(&known, &platform, Some(folder.path()));
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
        assert!((0..6).all(|_| heard.recv_timeout(SOON).is_ok_and(|call| call.0 == 'a')));
    }
    // The next process has the whole list from its configuration, and what is out from the folder.
    let sender = operated(&known, &platform, Some(folder.path()));
    assert_eq!(call(&sender, "PUT", "/_endpoints/detach/a%2F1%20%25"), 200);
    // What the halt left open may go to `a` once more before that.
    let held = "00000000000000ff";
    assert_eq!(put(&sender, held), "+OK");
    let of_it = |call: &(char, String)| call.1 == held;
    let wait = std::time::Duration::from_millis(700);
    let early: Vec<_> = std::iter::from_fn(|| heard.recv_timeout(wait).ok())
        .filter(of_it)
        .collect();
    assert!(early.is_empty(), "both are out: it is held, {early:?}");
    assert_eq!(call(&sender, "PUT", "/_endpoints/attach/b"), 200);
    let first = std::iter::from_fn(|| heard.recv_timeout(SOON).ok()).find(of_it);
    assert_eq!(first.map(|call| call.0), Some('b'));
    assert_eq!(
        call(&sender, "PUT", "/_endpoints/attach/b"),
        200,
        "it is in, and held by the list"
    );
}

/// Guards the drain: who asks hears a no, connections end between requests, and what was written is answered.
#[test]
fn draining_sender_answers_pending_requests_and_closes_connections() {
    let (a, b, _heard) = destination();
    let platform = platform();
    let sender = operated(&rows(&a, &b), &platform, None);
    let (mut idle, mut busy) = (Client::new(sender.clients), Client::new(sender.clients));
    assert_eq!(idle.put("00000000000000a0", NAMES, b"x"), "+OK");
    assert_eq!(call(&sender, "PUT", "/_lameduck/on"), 200);
    let mut pings = Client::new(sender.clients);
    pings.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(
        (pings.line(), pings.line()),
        ("-ERR emptying, for operators".into(), "<end>".into())
    );
    // Half a request is waited for, and what follows a whole one goes nowhere unanswered: the connection ends after an answer.
    let request = put("00000000000000b0", NAMES, b"slow");
    busy.send(&request[..20]);
    assert_eq!(idle.line(), "<end>");
    // With a second one behind it in the same write: neither goes unanswered.
    busy.send(&[&request[20..], &put("00000000000000b1", NAMES, b"next")].concat());
    assert_eq!(
        (busy.line(), busy.line(), busy.line()),
        ("+OK".into(), "+OK".into(), "<end>".into())
    );
    // The front may still send somebody here.
    assert_eq!(
        Client::new(sender.clients).put("00000000000000c0", NAMES, b"late"),
        "+OK"
    );
    assert_eq!(call(&sender, "PUT", "/_lameduck/off"), 200);
    let mut again = Client::new(sender.clients);
    again.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(again.line(), "+PONG");
    assert_eq!(again.put("00000000000000d0", NAMES, b"x"), "+OK");
}

/// Guards the address against callers who open connections and ask nothing: they neither keep others out nor stay.
#[test]
fn silent_operator_connections_keep_nobody_out() {
    let (a, b, _heard) = destination();
    let platform = platform();
    let sender = operated(&rows(&a, &b), &platform, None);
    let at = sender.operator.expect("an address");
    let mut silent: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(at).expect("connect"))
        .collect();
    assert_eq!(call(&sender, "GET", "/_ready"), 200);
    for stream in &mut silent {
        stream.set_read_timeout(Some(SOON)).expect("time-out");
        assert!(
            matches!(stream.read(&mut [0]), Ok(0) | Err(_)),
            "it is ended"
        );
    }
    assert_eq!(call(&sender, "GET", "/_ready"), 200);
}
