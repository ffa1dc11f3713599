//! Bad clients that send many commands at once and again as soon as they are turned away: the sender's memory.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

/// The limits of the configuration. The page names 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u64 = 32;
/// Bad clients. Clients hold at most a third of the descriptors for requests: 341.
const BAD_CLIENTS: u64 = 330;
/// A body; the page allows 64 KiB.
const BODY_BYTES: usize = 60_000;
/// Commands that a bad client has out at once.
const AT_ONCE: u64 = 24;
const LASTS: Duration = Duration::from_millis(10_000);

/// A command of bad client `client`.
fn command(client: u64, n: u64, body: &[u8]) -> Vec<u8> {
    let (id, key) = (
        hex(client * 1_000_000 + n),
        hex(client * 1_000_000 + n + 500_000),
    );
    let names = format!("c=episode-notice,t=onda-central,d=8000,k={key},dest=7");
    let mut bytes = b"*5\r\n".to_vec();
    for part in [
        b"MSG.PUT".as_slice(),
        b"0000000000000000",
        id.as_bytes(),
        names.as_bytes(),
        body,
    ] {
        bytes.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn would_block(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

type Answers = Arc<Mutex<BTreeMap<String, u64>>>;

/// One connection of a bad client: it keeps commands out, reads every answer, and sends again at once.
fn misbehave(
    address: SocketAddr,
    client: u64,
    stop: &AtomicBool,
    answers: &Answers,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1000))?;
    stream.set_nonblocking(true)?;
    let body = vec![b'x'; BODY_BYTES];
    let (mut sent, mut answered, mut output, mut written) = (0, 0, Vec::new(), 0);
    let mut input = [0; 4096];
    while !stop.load(Ordering::SeqCst) {
        if written == output.len() && sent - answered < AT_ONCE {
            sent += 1;
            (output, written) = (command(client, sent, &body), 0);
        }
        let mut idle = true;
        match stream.write(&output[written..]) {
            Ok(n) => {
                written += n;
                idle &= n == 0;
            }
            Err(e) if would_block(&e) => {}
            Err(e) => return Err(e),
        }
        match stream.read(&mut input) {
            Ok(0) => return Ok(()),
            Ok(n) => {
                idle = false;
                let text = String::from_utf8_lossy(&input[..n]).into_owned();
                let mut answers = lock(answers);
                for line in text.lines().filter(|line| !line.is_empty()) {
                    answered += 1;
                    *answers
                        .entry(line.split(' ').next().unwrap_or_default().to_owned())
                        .or_default() += 1;
                }
            }
            Err(e) if would_block(&e) => {}
            Err(e) => return Err(e),
        }
        answered = answered.min(sent);
        if idle {
            thread::sleep(ms(2));
        }
    }
    Ok(())
}

/// Memory of the process that is its own, in bytes: what is mapped from files does not count.
fn own_memory(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    Some(kilobytes.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

pub fn play() {
    let partner = Server::start(|_, stream| {
        thread::sleep(ms(300));
        answer(stream, "200 OK", "", "")
    });
    let entries = vec![Entry::up("s-1", partner.address, "station", 7)];
    let platform = Platform::start("platform", 1, entries.clone());
    let listen = free_address();
    let class = Class {
        name: "episode-notice",
        effect: "keyed",
        in_order: false,
        aim_ms: 4000,
        deadline_ms: 12_000,
        window_ms: 12_000,
    };
    let text = config(
        &Site::SanjoseCentral,
        platform.server.address,
        &[class],
        1,
        &entries,
    );
    let path =
        write_config(&text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}")));
    let variables = variables(
        &path,
        listen,
        platform.server.address,
        &work_folder().join("state"),
    );
    let mut sender = Sender::start("sender-1", "", &variables);
    wait_ready(listen);
    let id = sender.id();
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Answers = Arc::default();
    if trouble() {
        note(format!("{BAD_CLIENTS} bad clients begin"));
        for client in 0..BAD_CLIENTS {
            let (stop, answers) = (stop.clone(), answers.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let _ = misbehave(listen, client + 1, &stop, &answers);
                    thread::sleep(ms(5));
                }
            });
        }
    }
    let begun = Instant::now();
    let (mut most, mut usual) = (0, 0);
    while begun.elapsed() < LASTS {
        usual += 1;
        // A usual client, 2.5 messages a second.
        let names = format!(
            "c=episode-notice,t=onda-central,d=12000,k={},dest=7",
            hex(usual + 70)
        );
        put(
            listen,
            "0000000000000000",
            &hex(usual),
            &names,
            "a usual body",
        );
        for _ in 0..8 {
            match own_memory(id) {
                Some(bytes) => most = most.max(bytes),
                None => give_up("the sender's memory can't be read"),
            }
            thread::sleep(ms(50));
        }
        note(format!(
            "memory {:.1} MB, limit {MEMORY_MB} MB",
            own_memory(id).unwrap_or_default() as f64 / 1e6
        ));
    }
    stop.store(true, Ordering::SeqCst);
    note(format!("answers to the bad clients: {:?}", lock(&answers)));
    let mut violations = Vec::new();
    if let Some(code) = sender.ended() {
        violations.push(format!("the sender ended with {code:?}"));
    }
    if most > MEMORY_MB * 1_000_000 {
        violations.push(format!(
            "the sender held {:.1} MB of its own; over {MEMORY_MB} MB it is killed",
            most as f64 / 1e6
        ));
    }
    finish(&violations)
}
