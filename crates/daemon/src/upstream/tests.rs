//! Reuse of connections to a destination, with the time as an input.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use cranehill_core::Attempt;

use super::*;
use crate::clock::Clock;
use crate::connection::REST_AFTER_RESPONSE;

const REJECTION: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// A pool, and one destination to which its connections lead.
struct Fixture {
    pool: UpstreamPool,
    connections: ConnectionTable,
    listener: TcpListener,
    clock: Clock,
}

impl Fixture {
    fn new() -> Fixture {
        let clock = Clock::new();
        Fixture {
            pool: UpstreamPool {
                max_connections: 8,
                connect_timeout: Duration::from_secs(10),
                max_idle: Duration::from_secs(10),
                trusted_idle: Duration::MAX,
                unexpected_bytes: ThrottledLog::new(LOG_INTERVAL, clock.now()),
            },
            connections: ConnectionTable::new().expect("a poll"),
            listener: TcpListener::bind("127.0.0.1:0").expect("a listener"),
            clock,
        }
    }

    /// Starts a call with one message and writes it; returns its connection.
    fn call(&mut self, now: Time) -> usize {
        let attempt = Attempt {
            id: "m1".into(),
            number: 0,
            idempotency_key: None,
            body: Arc::from(&b"x"[..]),
            envelope: None,
            times_out_at: now + Duration::from_secs(10),
            write_by: None,
        };
        let address = self.listener.local_addr().expect("an address").to_string();
        let call = InFlightCall::new(vec![attempt], now);
        let target = (&EndpointId("a".into()), address.as_str());
        let started =
            self.pool
                .start_call(&mut self.connections, target, call, b"call".to_vec(), now);
        let id = started.ok().expect("a connection");
        while !self.is_written(id) {
            self.connections.transfer(id, &self.clock);
            thread::yield_now();
        }
        id
    }

    fn is_written(&self, id: usize) -> bool {
        let connection = self.connections.get(id).expect("an open connection");
        connection.established && connection.is_written()
    }

    /// Receives on a connection until the call in flight has ended, and returns the status of its attempt.
    fn finish(&mut self, id: usize, now: Time) -> Status {
        loop {
            self.connections.transfer(id, &self.clock);
            let event = self.pool.on_received(&mut self.connections, id, false, now);
            if let UpstreamEvent::CallFinished(finished) = event {
                return finished.into_outcomes(now)[0].status;
            }
            thread::yield_now();
        }
    }

    /// Makes a first call, which is rejected at `now`; returns its connection, and the destination's side of it.
    fn rejected_call(&mut self, now: Time) -> (usize, TcpStream) {
        let id = self.call(now);
        let (mut peer, _) = self.listener.accept().expect("an accepted connection");
        peer.write_all(REJECTION).expect("a written response");
        assert_eq!(self.finish(id, now), Status::Overloaded);
        (id, peer)
    }
}

/// Guards the time in which a second copy of a response may arrive: the next call is made on another connection.
#[test]
fn connection_rests_after_a_response() {
    let mut fixture = Fixture::new();
    let now = fixture.clock.now();
    let (first, _peer) = fixture.rejected_call(now);
    let just_before = now + (REST_AFTER_RESPONSE - Duration::from_nanos(1));
    assert_ne!(fixture.call(now), first);
    assert_ne!(fixture.call(just_before), first);
    assert_eq!(fixture.call(now + REST_AFTER_RESPONSE), first);
}

/// Guards a second copy of a response that has been read, or only received, when the next call is made.
#[test]
fn second_copy_on_a_resting_connection_ends_it() {
    for is_read in [true, false] {
        let mut fixture = Fixture::new();
        let now = fixture.clock.now();
        let (first, mut peer) = fixture.rejected_call(now);
        peer.write_all(REJECTION).expect("a written copy");
        while is_read && fixture.connections.get(first).is_some() {
            fixture.connections.transfer(first, &fixture.clock);
            fixture
                .pool
                .on_received(&mut fixture.connections, first, false, now);
        }
        assert_ne!(fixture.call(now + REST_AFTER_RESPONSE), first);
        assert!(fixture.connections.get(first).is_none(), "it is closed");
    }
}
