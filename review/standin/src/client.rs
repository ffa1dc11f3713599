//! A client: it hands in messages over RESP2 and waits 400 ms for each answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::record::Record;

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
    record: Record,
}

impl Client {
    pub fn new(address: SocketAddr, record: &Record) -> Client {
        Client {
            address,
            stream: None,
            record: record.clone(),
        }
    }

    /// Sends a command and returns the line of the answer; `None` without an answer in time.
    fn command(&mut self, arguments: &[&[u8]]) -> Option<String> {
        let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
        for argument in arguments {
            bytes.extend(format!("${}\r\n", argument.len()).bytes());
            bytes.extend_from_slice(argument);
            bytes.extend_from_slice(b"\r\n");
        }
        // A connection that the sender has closed between requests is replaced once.
        for _ in 0..2 {
            if self.stream.is_none() {
                let stream = TcpStream::connect_timeout(&self.address, ANSWER_TIMEOUT).ok()?;
                stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
                stream.set_nodelay(true).ok()?;
                self.stream = Some(stream);
            }
            let stream = self.stream.as_mut()?;
            let mut line = Vec::new();
            let mut byte = [0];
            let mut closed = stream.write_all(&bytes).is_err();
            while !closed && !line.ends_with(b"\r\n") {
                match stream.read(&mut byte) {
                    Ok(0) => closed = true,
                    Ok(_) => line.push(byte[0]),
                    Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                        self.stream = None;
                        return None;
                    }
                    Err(_) => closed = true,
                }
            }
            if !closed {
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.stream = None;
        }
        None
    }

    pub fn ping(&mut self) -> Option<String> {
        self.command(&[b"PING"])
    }

    /// Hands in a message; true if it is taken on.
    pub fn put(&mut self, key: &str, id: &str, names: &str) -> bool {
        let sent = self.record.now();
        let body = format!("body of {id}");
        let answer = self.command(&[b"MSG.PUT", key.as_bytes(), id.as_bytes(), names.as_bytes(), body.as_bytes()]);
        self.record.add_at(sent, "client", &format!("MSG.PUT {key} {id} {names}"));
        let shown = answer.as_deref().unwrap_or("no answer in 400 ms");
        self.record.add("client", &format!("{id}: {shown}"));
        shown.starts_with('+')
    }
}
