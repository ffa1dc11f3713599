//! Malformed responses: the attempt has failed and is possibly executed, and its connection is not used again.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::{Client, TIMEOUT, list, platform, prepare, put, start, start_with, wait_until};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;

/// Metadata argument of `MSG.PUT`: class, remaining time in milliseconds, idempotency key and destination.
const METADATA: &str = "c=episode-notice,d=20000,k=aa,dest=7";

/// Submits `messages` to a destination that gives `answers` to its first requests and 200 to the rest, and waits for `requests`
/// requests. Returns the connection of each request and its time after the first.
fn requests_for_answers(
    answers: &'static [&'static str],
    messages: usize,
    requests: usize,
) -> Vec<(usize, Duration)> {
    let destination = SimulatedServer::new(|_, number| match answers.get(number) {
        Some(text) => Reply::Bytes(text.as_bytes().to_vec()),
        None => Reply::status(200),
    })
    .expect("destination server");
    let platform = platform();
    // The call timeout is at least a quarter of the latency objective: 5 s, so that a sooner end is no timeout.
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let sender = start_with(&known, &platform, |options| {
        options.platform_settings.settings.classes[0].latency_objective = Duration::from_secs(20);
    });
    let mut client = Client::new(sender.clients);
    for n in 0..messages {
        assert_eq!(client.put(&format!("m{n}"), METADATA, b"x"), "+OK");
        assert!(destination.wait_for((n + 1).min(requests), TIMEOUT));
        // A connection is not used again directly after a response.
        std::thread::sleep(Duration::from_millis(400));
    }
    assert!(
        destination.wait_for(requests, TIMEOUT),
        "{} of {requests} requests",
        destination.seen().len()
    );
    // Time for requests beyond the expected ones.
    std::thread::sleep(Duration::from_millis(700));
    let seen = destination.seen();
    let first: Instant = seen[0].at;
    seen.iter().map(|s| (s.connection, s.at - first)).collect()
}

#[test]
fn malformed_response_is_retried_soon_at_another_endpoint() {
    let seen = requests_for_answers(
        &[
            "\u{1}\u{2}noise\r\n\r\n",
            "HTTP/1.1 500 Oops\r\nContent-Length: 3000000000\r\n\r\nxxxx",
            "HTTP/1.1 500 Oops\r\nX-A: a head without an end",
            "HTTP/1.1 500 Oops\r\nContent-Length: 50\r\n\r\nshort",
        ],
        1,
        5,
    );
    let connections: Vec<usize> = seen.iter().map(|s| s.0).collect();
    assert_eq!(
        connections,
        [0, 1, 2, 3, 4],
        "no connection is reused after a malformed response"
    );
    assert!(
        seen[4].1 < Duration::from_secs(4),
        "retried only after the call timeout: {seen:?}"
    );
}

#[test]
fn status_200_delivers_even_with_a_malformed_body() {
    let seen = requests_for_answers(
        &[
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx",
            "HTTP/1.1 200 OK\r\n\u{1}: \r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-Pressure: \u{1}x0=\u{0},,=\r\nContent-Length: 0\r\n\r\n",
        ],
        6,
        6,
    );
    let connections: Vec<usize> = seen.iter().map(|s| s.0).collect();
    assert_eq!(
        connections,
        [0, 1, 2, 3, 3, 3],
        "one request per message; complete responses keep the connection"
    );
}

#[test]
fn closed_idle_connection_is_no_destination_failure() {
    let destination = SimulatedServer::new(|_, number| {
        if number == 1 {
            Reply::Close
        } else {
            Reply::status(200)
        }
    })
    .expect("destination server");
    let platform = platform();
    let sender = start(
        &list(1, &[("a", destination.address, 7, "station")]),
        &platform,
    );
    let mut client = Client::new(sender.clients);
    for (n, requests) in [1, 3, 4].into_iter().enumerate() {
        assert_eq!(client.put(&format!("m{n}"), METADATA, b"x"), "+OK");
        assert!(destination.wait_for(requests, TIMEOUT));
        std::thread::sleep(Duration::from_millis(400));
    }
    let connections: Vec<usize> = destination.seen().iter().map(|s| s.connection).collect();
    assert_eq!(connections, [0, 0, 1, 2]);
}

/// A server on the thread of the test, which decides the order of everything that it sends.
struct ScriptedServer {
    listener: TcpListener,
    connections: Vec<TcpStream>,
}

impl ScriptedServer {
    fn new() -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
        listener.set_nonblocking(true).expect("socket option set");
        ScriptedServer {
            listener,
            connections: Vec::new(),
        }
    }

    /// Waits for the next POST, `what`, and returns the number of its connection. Other requests get no response. A request is small and
    /// arrives in one piece.
    fn next_call(&mut self, what: &str) -> usize {
        let mut calling = None;
        wait_until(what, || {
            if let Ok((connection, _)) = self.listener.accept() {
                connection.set_nonblocking(true).expect("socket option set");
                self.connections.push(connection);
            }
            calling = self.connections.iter_mut().position(has_call);
            calling.is_some()
        });
        calling.expect("a call")
    }

    fn respond(&mut self, connection: usize, status: u16) {
        let response = http::write_response(status, "Reason", &[], "");
        // The sender may have closed the connection.
        let _ = self.connections[connection].write_all(&response);
    }
}

fn has_call(connection: &mut TcpStream) -> bool {
    let mut buffer = [0; 4096];
    match connection.read(&mut buffer) {
        Ok(length) => {
            let parsed = http::request(&buffer[..length]);
            matches!(parsed, Ok(Some((request, _))) if request.method == "POST")
        }
        Err(e) => {
            assert_eq!(e.kind(), ErrorKind::WouldBlock);
            false
        }
    }
}

/// A connection may be used again so long after a response.
const REST: Duration = Duration::from_millis(50);
/// A test that a held-up machine has spoilt is played again, at most so many times.
const MAX_PLAYS: usize = 20;

/// Plays two calls, with a second copy of the first response while the second call is under way. The second call is rejected, and
/// must be retried. Returns false if the second call was so late that the connection of the first one could be used again: that
/// proves nothing.
fn second_call_is_retried_despite_copy() -> bool {
    let mut destination = ScriptedServer::new();
    let address = destination.listener.local_addr().expect("an address");
    let platform = platform();
    let sender = start(&list(1, &[("a", address, 7, "station")]), &platform);
    let mut client = Client::new(sender.clients);
    assert_eq!(client.put("m1", METADATA, b"x"), "+OK");
    let first = destination.next_call("the first call");
    let answered = Instant::now();
    destination.respond(first, 200);
    assert_eq!(client.put("m2", METADATA, b"x"), "+OK");
    let second = destination.next_call("the second call");
    if second == first && answered.elapsed() >= REST {
        return false;
    }
    destination.respond(first, 200);
    // The sender has processed the copy before the second call gets its own response.
    assert_eq!(client.put("m1", METADATA, b"x"), "+OK");
    destination.respond(second, 503);
    destination.next_call("a retry of the rejected message");
    true
}

/// Guards a second copy of a response that arrives when the next call is already sent: it once answered that call, so that a
/// message that the destination then rejected counted as delivered.
#[test]
fn second_copy_of_a_response_does_not_answer_the_next_call() {
    assert!((0..MAX_PLAYS).any(|_| second_call_is_retried_despite_copy()));
}

/// Guards a response to a batch that can't be its own: the connection, on which that one may still arrive, is not used again.
#[test]
fn batch_response_of_another_call_ends_the_connection() {
    for foreign in [
        "ok",
        r#"[{"id":"m8","state":"done"},{"id":"m9","state":"done"}]"#,
    ] {
        let destination = SimulatedServer::new(move |_, number| match number {
            0 => Reply::Bytes(http::write_response(200, "OK", &[], foreign)),
            _ => Reply::status(503),
        })
        .expect("destination server");
        let platform = platform();
        let known = list(1, &[("a", destination.address, 7, "bulk-directory")]);
        let prepared = prepare(&known, &platform, |_| {});
        // Both requests are there before the sender runs, so that the messages share a call.
        let mut clients = [Client::new(prepared.clients), Client::new(prepared.clients)];
        for (client, id) in clients.iter_mut().zip(["m1", "m2"]) {
            client.send(&put(id, METADATA, b"x"));
        }
        let _sender = prepared.run();
        assert!(destination.wait_for(2, TIMEOUT), "the messages are retried");
        let seen = destination.seen();
        assert_eq!(seen[0].request.path, "/hook/batch");
        assert_ne!(seen[1].connection, seen[0].connection, "{foreign}");
    }
}

/// Plays two final reports, with a second copy of the response to the first while the second is under way. The second is rejected, and
/// must be sent again. Returns false if it was so late that the connection of the first could be used again: that proves nothing.
fn second_report_is_resent_despite_copy() -> bool {
    let destination = SimulatedServer::new(|_, _| Reply::status(400)).expect("destination server");
    let mut reports = ScriptedServer::new();
    let address = reports.listener.local_addr().expect("an address");
    let platform = platform();
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let sender = start_with(&known, &platform, |options| {
        options.discovery = Some(address);
    });
    let mut client = Client::new(sender.clients);
    assert_eq!(client.put("m1", METADATA, b"x"), "+OK");
    let first = reports.next_call("the first report");
    let answered = Instant::now();
    reports.respond(first, 204);
    assert_eq!(client.put("m2", METADATA, b"x"), "+OK");
    let second = reports.next_call("the second report");
    if second == first && answered.elapsed() >= REST {
        return false;
    }
    reports.respond(first, 204);
    // The sender has processed the copy before the second report gets its own response.
    assert_eq!(client.put("m1", METADATA, b"x"), "+OK");
    reports.respond(second, 500);
    reports.next_call("the rejected report once more");
    true
}

/// Guards a second copy of the response to a final report: it once acknowledged the next report, which the platform had not taken.
#[test]
fn second_copy_of_a_response_does_not_acknowledge_the_next_report() {
    assert!((0..MAX_PLAYS).any(|_| second_report_is_resent_despite_copy()));
}
