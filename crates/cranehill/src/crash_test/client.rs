//! A client that submits messages without a pause until the sender is killed.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::delivery_log::{CLASSES, DeliveryLog, KEYED_CLASS, SharedDeliveryLog};
use super::settings::{MESSAGE_LIFETIME, TENANT};
use crate::sync::lock;

/// A sender that has not been killed answers within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 400;
/// Probability of a pause after a message.
const PAUSE_PROBABILITY: f64 = 0.3;
const MAX_PAUSE_MICROS: u64 = 4000;

/// A client that submits messages over one connection.
pub(super) struct Client {
    pub(super) sender: SocketAddr,
    pub(super) delivery_log: SharedDeliveryLog,
    /// Set when the sender is killed; the client submits nothing after it.
    pub(super) stop: Arc<AtomicBool>,
    /// Seed of its random choices.
    pub(super) seed: u64,
    /// Number of destinations, from which it draws one for each message.
    pub(super) destinations: usize,
    /// Prefix of its message ids, unique to this client.
    pub(super) name: String,
}

impl Client {
    /// Submits messages until `stop` is set or the connection ends.
    pub(super) fn run(&self) {
        // An error is expected: the connection ends when the sender is killed.
        let _ = self.submit_all();
    }

    fn submit_all(&self) -> io::Result<()> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut stream = TcpStream::connect(self.sender)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        for number in 0u32.. {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            self.submit(number, &mut rng, &mut stream)?;
            if rng.random_bool(PAUSE_PROBABILITY) {
                let pause = rng.random_range(0..MAX_PAUSE_MICROS);
                thread::sleep(Duration::from_micros(pause));
            }
        }
        Ok(())
    }

    fn submit(&self, number: u32, rng: &mut ChaCha8Rng, stream: &mut TcpStream) -> io::Result<()> {
        let class = rng.random_range(0..CLASSES.len());
        let id = format!("{}{number:06x}{class:02x}", self.name);
        let request = self.request(&id, class, number, rng);
        // Recorded before it is sent, as a destination may receive the message before the client has its answer.
        lock(&self.delivery_log).record(&id).class = class;
        stream.write_all(&request)?;
        let answer = read_line(stream)?;
        record_answer(&self.delivery_log, &id, &answer);
        Ok(())
    }

    /// A `MSG.PUT` request to a random destination, with a body of random length.
    fn request(&self, id: &str, class: usize, number: u32, rng: &mut ChaCha8Rng) -> Vec<u8> {
        let destination = rng.random_range(0..self.destinations);
        let key = if class == KEYED_CLASS {
            format!(",k={id}")
        } else {
            String::new()
        };
        let names = format!(
            "c={},t={TENANT},d={},dest={destination}{key}",
            CLASSES[class],
            MESSAGE_LIFETIME.as_millis()
        );
        let body = vec![b'a' + (number % 26) as u8; rng.random_range(0..MAX_BODY_BYTES)];
        let head = format!(
            "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n${}\r\n{id}\r\n${}\r\n{names}\r\n${}\r\n",
            id.len(),
            names.len(),
            body.len()
        );
        [head.as_bytes(), &body, b"\r\n"].concat()
    }
}

fn record_answer(delivery_log: &Mutex<DeliveryLog>, id: &str, answer: &str) {
    let mut delivery_log = lock(delivery_log);
    if answer == "+OK" {
        delivery_log.record(id).accepted = true;
    } else {
        delivery_log.rejected += 1;
    }
}

fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let (mut line, mut byte) = (Vec::new(), [0u8; 1]);
    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}
