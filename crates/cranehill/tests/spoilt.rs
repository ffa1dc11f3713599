//! Malformed responses: the attempt has failed and is possibly executed, and its connection is not used again.

mod common;

use std::time::{Duration, Instant};

use common::{Client, TIMEOUT, list, platform, start, start_with};
use cranehill::simulated_server::{Reply, SimulatedServer};

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
