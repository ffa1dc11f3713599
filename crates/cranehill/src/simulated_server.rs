//! A simulated HTTP server on a loopback socket, with a thread for each connection.
//!
//! Push scripts, crash tests and integration tests run a sender against it.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cranehill_daemon::http::{self, Request};

use crate::sync::lock;

/// Reason phrase of all responses. It must not change, as recorded exchanges may contain it.
const REASON: &str = "Stand-in";
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const READ_BUFFER_BYTES: usize = 4096;

/// How the server replies to one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// These bytes, which need not be a valid response.
    Bytes(Vec<u8>),
    /// The connection is closed without a response.
    Close,
    /// No response; the connection stays open until the peer closes it.
    Silent,
}

impl Reply {
    /// A response with this status and an empty body.
    pub fn status(status: u16) -> Reply {
        Reply::Bytes(http::write_response(status, REASON, &[], ""))
    }

    /// A response with this status, this `Retry-After` value and an empty body.
    pub fn wait(status: u16, retry_after: &str) -> Reply {
        let headers = [("Retry-After", retry_after.to_owned())];
        Reply::Bytes(http::write_response(status, REASON, &headers, ""))
    }
}

/// A request that a simulated server has received.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its last byte was received.
    pub at: Instant,
    /// Number of its connection, in the order of accepting, from 0.
    pub connection: usize,
    /// The parsed request.
    pub request: Request,
}

/// A loopback HTTP server that computes each reply with a function and records all requests. Clones share the record.
#[derive(Clone)]
pub struct SimulatedServer {
    /// The address that it listens on.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl SimulatedServer {
    /// Listens on a free port; `answer` is called with each request and its number, from 0 over all connections.
    ///
    /// # Errors
    /// If no socket can be bound.
    pub fn new(
        answer: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static,
    ) -> io::Result<SimulatedServer> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let server = SimulatedServer {
            address: listener.local_addr()?,
            seen: Arc::default(),
        };
        let (seen, answer) = (server.seen.clone(), Arc::new(answer));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                let (seen, answer) = (seen.clone(), answer.clone());
                thread::spawn(move || serve(stream, connection, &seen, &*answer));
            }
        });
        Ok(server)
    }

    /// The requests received so far, in order of arrival.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.seen).clone()
    }

    /// Waits until `count` requests have arrived in total; false if `timeout` passes first.
    pub fn wait_for(&self, count: usize, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while lock(&self.seen).len() < count {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    seen: &Mutex<Vec<Seen>>,
    answer: &(dyn Fn(&Request, usize) -> Reply + Send + Sync),
) {
    let mut input = Vec::new();
    let mut buffer = [0u8; READ_BUFFER_BYTES];
    loop {
        match http::request(&input) {
            Ok(Some((request, used))) => {
                input.drain(..used);
                let number = record(seen, connection, &request);
                match answer(&request, number) {
                    Reply::Bytes(bytes) if stream.write_all(&bytes).is_ok() => {}
                    Reply::Bytes(_) | Reply::Close => return,
                    Reply::Silent => {
                        while matches!(stream.read(&mut buffer), Ok(n) if n > 0) {}
                        return;
                    }
                }
            }
            Ok(None) => match stream.read(&mut buffer) {
                Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                _ => return,
            },
            Err(_) => return,
        }
    }
}

/// Records a request and returns its number.
fn record(seen: &Mutex<Vec<Seen>>, connection: usize, request: &Request) -> usize {
    let mut seen = lock(seen);
    seen.push(Seen {
        at: Instant::now(),
        connection,
        request: request.clone(),
    });
    seen.len() - 1
}
