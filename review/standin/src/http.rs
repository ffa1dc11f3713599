//! Just enough of HTTP/1.1 for the stand-ins: requests with a Content-Length, and responses.

use std::io::{self, Read, Write};
use std::net::TcpStream;

pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    /// The value of a parameter in the query.
    pub fn parameter(&self, name: &str) -> Option<u64> {
        let query = self.path.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name)?.1.parse().ok()
    }
}

/// Reads the next request; `None` once the peer has closed the connection or it was reset.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(head) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
            let mut lines = text.split("\r\n");
            let mut words = lines.next()?.split(' ').map(str::to_owned);
            let (method, path) = (words.next()?, words.next()?);
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            let length = headers.iter().find(|(n, _)| n == "content-length");
            let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            let end = head + 4 + length;
            if buffer.len() >= end {
                let body = buffer[head + 4..end].to_vec();
                buffer.drain(..end);
                return Some(Request {
                    method,
                    path,
                    headers,
                    body,
                });
            }
        }
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Writes a response with these further header lines, each ended by CR LF.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}
