//! The effect of each network fault on packets and connections through the relay. Waits are lower bounds, so a busy machine does
//! not fail a test.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use cranehill_fleet_harness::Relay;
use cranehill_scenario_runner::Network;
use cranehill_simulation::fleet::{NetworkFault, PathFault, Side};

const LONG: Duration = Duration::from_secs(3600);
/// Long enough for bytes in flight to arrive.
const SHORT: Duration = Duration::from_millis(200);

fn broken(
    from: usize,
    to: Side,
    one_way: bool,
    path_fault: PathFault,
    until: Duration,
) -> NetworkFault {
    NetworkFault {
        at: Duration::ZERO,
        until,
        from: BTreeSet::from([from]),
        to,
        one_way,
        path_fault,
    }
}

/// A destination that answers each byte with the same, and a sender's connection to it through the relay.
fn echoed(relay: &mut Relay, zone: usize) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let real = listener.local_addr().expect("its address");
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            thread::spawn(move || {
                let mut byte = [0];
                while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
            });
        }
    });
    let at = relay.destination_address(0, zone, real).expect("a way");
    let stream = TcpStream::connect(at).expect("it listens");
    stream.set_read_timeout(Some(LONG)).expect("set");
    stream
}

fn through(stream: &mut TcpStream) -> std::io::Result<u8> {
    let mut byte = [7];
    stream.write_all(&byte)?;
    stream.read_exact(&mut byte)?;
    Ok(byte[0])
}

fn silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SHORT)).expect("set");
    matches!(through(stream), Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn a_cut_silences_one_zone_only() {
    let cut = broken(0, Side::Destinations(Some(1)), false, PathFault::Cut, LONG);
    let mut relay = Relay::start(1, vec![cut], 1).expect("it starts");
    let (mut near, mut far) = (echoed(&mut relay, 0), echoed(&mut relay, 1));
    assert_eq!(
        (
            through(&mut near).expect("through"),
            through(&mut far).expect("through")
        ),
        (7, 7)
    );
    relay.begin(Instant::now());
    // The relay's thread receives the start as a command.
    thread::sleep(SHORT);
    assert!(silent(&mut far));
    assert_eq!(through(&mut near).expect("through"), 7);
}

#[test]
fn delays_and_stalls_delay_bytes_and_lose_none() {
    let until = Duration::from_millis(600);
    for path_fault in [PathFault::Delay { by: until }, PathFault::Stall] {
        let held = broken(0, Side::Destinations(None), false, path_fault, until);
        let mut relay = Relay::start(1, vec![held], 1).expect("it starts");
        let mut stream = echoed(&mut relay, 0);
        let begun = Instant::now();
        relay.begin(begun);
        thread::sleep(Duration::from_millis(100));
        assert_eq!(through(&mut stream).expect("through"), 7, "{path_fault:?}");
        assert!(
            begun.elapsed() >= until,
            "{path_fault:?}: {:?}",
            begun.elapsed()
        );
    }
}

#[test]
fn connections_are_reset_as_a_reset_begins_and_as_a_cut_ends() {
    for (path_fault, until) in [
        (PathFault::Reset, Duration::from_millis(1)),
        (PathFault::Cut, Duration::from_millis(300)),
    ] {
        let reset = broken(0, Side::Destinations(None), false, path_fault, until);
        let mut relay = Relay::start(1, vec![reset], 1).expect("it starts");
        let mut stream = echoed(&mut relay, 0);
        assert_eq!(through(&mut stream).expect("through"), 7);
        relay.begin(Instant::now());
        let ended = match stream.read(&mut [0]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        };
        assert!(ended, "{path_fault:?}");
    }
}

/// Only one direction is cut; the other, and the paths of a third sender, are not.
#[test]
fn packets_are_lost_on_the_cut_path_only() {
    let cut = broken(
        0,
        Side::Senders(BTreeSet::from([1])),
        true,
        PathFault::Cut,
        LONG,
    );
    let mut relay = Relay::start(3, vec![cut], 1).expect("it starts");
    let sockets: Vec<UdpSocket> = (0..3)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket"))
        .collect();
    let to: Vec<SocketAddr> = sockets
        .iter()
        .enumerate()
        .map(|(n, s)| {
            relay
                .sender_address(n, s.local_addr().expect("its address"))
                .expect("a way")
        })
        .collect();
    relay.begin(Instant::now());
    thread::sleep(SHORT);
    let sent = |from: usize, other: usize| {
        sockets[from]
            .send_to(&[from as u8], to[other])
            .expect("sent")
    };
    let heard = |by: usize, patience: Duration| {
        sockets[by].set_read_timeout(Some(patience)).expect("set");
        let mut bytes = [0; 8];
        sockets[by].recv_from(&mut bytes).map(|_| bytes[0]).ok()
    };
    sent(0, 1);
    sent(1, 0);
    sent(2, 1);
    assert_eq!(heard(0, LONG), Some(1));
    assert_eq!(heard(1, LONG), Some(2), "what the first sent to it is lost");
    assert_eq!(heard(1, SHORT), None);
    let passed = relay.passed();
    assert_eq!((passed.packets, passed.lost), (vec![1, 1, 1], 1));
}
