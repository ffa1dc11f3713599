//! The effect of each network fault on packets and connections through the relay. Waits are lower bounds, so that a busy machine
//! does not cause a failure.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use cranehill_fleet_harness::Relay;
use cranehill_scenario_runner::Network;
use cranehill_simulation::fleet::{NetworkFault, PathFault, Side};

/// Longer than any test.
const LONG: Duration = Duration::from_secs(3600);
/// Long enough for bytes in flight to arrive.
const SHORT: Duration = Duration::from_millis(200);

/// A fault from the start of the clock, on the paths from one sender.
fn fault(
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

/// Starts a destination that echoes each byte, and connects sender 0 to it through the relay.
fn echo_connection(relay: &mut Relay, zone: usize) -> TcpStream {
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
    let at = relay
        .destination_address(0, zone, real)
        .expect("a relay address");
    let stream = TcpStream::connect(at).expect("the relay accepts connections");
    stream.set_read_timeout(Some(LONG)).expect("timeout is set");
    stream
}

/// Sends one byte and reads its echo.
fn echo(stream: &mut TcpStream) -> std::io::Result<u8> {
    let mut byte = [7];
    stream.write_all(&byte)?;
    stream.read_exact(&mut byte)?;
    Ok(byte[0])
}

/// Whether the connection stays open and returns no echo.
fn gets_no_echo(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(SHORT))
        .expect("timeout is set");
    matches!(echo(stream), Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn a_cut_blocks_connections_to_its_zone_only() {
    let cut = fault(0, Side::Destinations(Some(1)), false, PathFault::Cut, LONG);
    let mut relay = Relay::start(1, vec![cut], 1).expect("the relay starts");
    let (mut open, mut cut_off) = (
        echo_connection(&mut relay, 0),
        echo_connection(&mut relay, 1),
    );
    assert_eq!(
        (
            echo(&mut open).expect("an echo"),
            echo(&mut cut_off).expect("an echo")
        ),
        (7, 7)
    );
    relay.begin(Instant::now());
    // The relay's thread starts the clock of the faults only when it reads the command.
    thread::sleep(SHORT);
    assert!(gets_no_echo(&mut cut_off));
    assert_eq!(echo(&mut open).expect("an echo"), 7);
}

#[test]
fn delays_and_stalls_deliver_all_bytes_late() {
    let until = Duration::from_millis(600);
    for path_fault in [PathFault::Delay { by: until }, PathFault::Stall] {
        let delay = fault(0, Side::Destinations(None), false, path_fault, until);
        let mut relay = Relay::start(1, vec![delay], 1).expect("the relay starts");
        let mut stream = echo_connection(&mut relay, 0);
        let began = Instant::now();
        relay.begin(began);
        thread::sleep(Duration::from_millis(100));
        assert_eq!(echo(&mut stream).expect("an echo"), 7, "{path_fault:?}");
        assert!(
            began.elapsed() >= until,
            "{path_fault:?}: {:?}",
            began.elapsed()
        );
    }
}

#[test]
fn connections_are_reset_when_a_reset_begins_and_when_a_cut_ends() {
    for (path_fault, until) in [
        (PathFault::Reset, Duration::from_millis(1)),
        (PathFault::Cut, Duration::from_millis(300)),
    ] {
        let reset = fault(0, Side::Destinations(None), false, path_fault, until);
        let mut relay = Relay::start(1, vec![reset], 1).expect("the relay starts");
        let mut stream = echo_connection(&mut relay, 0);
        assert_eq!(echo(&mut stream).expect("an echo"), 7);
        relay.begin(Instant::now());
        let ended = match stream.read(&mut [0]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        };
        assert!(ended, "{path_fault:?}");
    }
}

/// A one-way cut drops packets in its direction only. The opposite direction and the paths of a third sender are not affected.
#[test]
fn a_one_way_cut_drops_packets_in_its_direction_only() {
    let cut = fault(
        0,
        Side::Senders(BTreeSet::from([1])),
        true,
        PathFault::Cut,
        LONG,
    );
    let mut relay = Relay::start(3, vec![cut], 1).expect("the relay starts");
    let sockets: Vec<UdpSocket> = (0..3)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket"))
        .collect();
    let relayed: Vec<SocketAddr> = sockets
        .iter()
        .enumerate()
        .map(|(number, socket)| {
            relay
                .sender_address(number, socket.local_addr().expect("its address"))
                .expect("a relay address")
        })
        .collect();
    relay.begin(Instant::now());
    thread::sleep(SHORT);
    let send = |from: usize, to: usize| {
        sockets[from]
            .send_to(&[from as u8], relayed[to])
            .expect("the packet is sent")
    };
    let receive = |member: usize, timeout: Duration| {
        sockets[member]
            .set_read_timeout(Some(timeout))
            .expect("timeout is set");
        let mut bytes = [0; 8];
        sockets[member].recv_from(&mut bytes).map(|_| bytes[0]).ok()
    };
    send(0, 1);
    send(1, 0);
    send(2, 1);
    assert_eq!(receive(0, LONG), Some(1));
    assert_eq!(
        receive(1, LONG),
        Some(2),
        "the packet from member 0 is dropped"
    );
    assert_eq!(receive(1, SHORT), None);
    let traffic = relay.traffic();
    assert_eq!((traffic.packets, traffic.lost), (vec![1, 1, 1], 1));
}
