//! Clients that do what no client should.

mod common;

use std::thread;

use common::*;
use cranehill::rehearsal::{Reply, StandIn};

#[test]
fn a_stream_of_pipelined_requests_neither_overflows_the_stack_nor_starves_the_rest() {
    let partner = StandIn::new(|_, _| Reply::Silent).expect("partner");
    let platform = platform();
    let sender = start(&list(1, &[("a", partner.address, 7, "station")]), &platform);
    // The same notice again is answered at once, so each answer lets the next request in.
    const MANY: usize = 20_000;
    let request = put("m1", "c=episode-notice,d=20000,k=aa,dest=7", b"x");
    let address = sender.clients;
    let stream = thread::spawn(move || {
        let mut client = Client::new(address);
        let mut writer = client.writer();
        let writing = thread::spawn(move || {
            let bytes = request.repeat(100);
            (0..MANY / 100).for_each(|_| std::io::Write::write_all(&mut writer, &bytes).expect("written"));
        });
        let answered = (0..MANY).filter(|_| client.line() == "+OK").count();
        writing.join().expect("written");
        answered
    });
    let mut other = Client::new(address);
    for _ in 0..50 {
        other.send(b"*1\r\n$4\r\nPING\r\n");
        assert_eq!(other.line(), "+PONG");
    }
    assert_eq!(stream.join().expect("answered"), MANY);
    assert!(partner.wait_for(1, SOON));
    assert_eq!(partner.seen().len(), 1, "one notice, one attempt");
}

#[test]
fn a_client_that_reads_nothing_is_not_read_from_without_end() {
    let platform = platform();
    let sender = start(&list(1, &[]), &platform);
    let client = Client::new(sender.clients);
    let mut writer = client.writer();
    writer.set_write_timeout(Some(std::time::Duration::from_millis(300))).expect("time-out");
    let pings = b"*1\r\n$4\r\nPING\r\n".repeat(1000);
    // It stops taking more once its answers find no room; before that it may take what buffers hold.
    let taken = (0..5_000).take_while(|_| std::io::Write::write_all(&mut writer, &pings).is_ok()).count();
    assert!(taken < 5_000, "70 MB of requests were taken with no answer read");
    let mut other = Client::new(sender.clients);
    other.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(other.line(), "+PONG");
}
