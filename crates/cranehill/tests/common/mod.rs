//! What the socket tests share: settings, a simulated server platform, clients.
#![allow(dead_code)]

pub(crate) mod process;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::config::{self, Config};
use cranehill_daemon::http;
use cranehill_daemon::reactor::{Reactor, ReactorOptions, StopHandle};
use socket2::{Domain, Socket, Type};

/// Longer than anything here takes: only a failure waits so long.
pub(crate) const SOON: Duration = Duration::from_secs(10);

pub(crate) const SETTINGS: &str = r#"{"classes":[{"aim":4000000000,"deadline":20000000000,"dedupScope":"all","effect":"keyed","lateShare":0.4,"name":"episode-notice","window":20000000000,"worth":1.0}],
"familyInfo":{"callsOut":8,"kindApart":[false,false],"losesWorth":"halving","perCall":[5,1]},"membershipMode":"push","models":["bulk-directory","station"],"nInstances":1,
"policyLimits":{"attemptsCap":6,"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":64,"probes":true,"retryAfter":true},
"rules":{"cold":9100000000,"coldFrom":0.23,"fall":3000000000,"fallMultiple":1.5,"graceToAnswer":20000000},
"tenants":[{"name":"onda-central","quotaRps":10.0}],"tick":5000000,"weightKind":"rough","zone":0,"zones":["sanjose-1"]}"#;

/// A list of endpoints: id, address, destination, kind.
pub(crate) fn list(version: u64, endpoints: &[(&str, SocketAddr, u64, &str)]) -> String {
    let rows: Vec<String> = endpoints
        .iter()
        .map(|(id, addr, cell, kind)| {
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"sanjose-1","kind":"{kind}","cell":{cell},"state":"up","weight":0.0,"started_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"full":true,"servers":[{}]}}"#,
        rows.join(",")
    )
}

/// The configuration file's text.
pub(crate) fn config_text(known: &str) -> String {
    format!(
        r#"{{"name":"n0","seed":"1f","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

pub(crate) fn config(known: &str, platform: SocketAddr) -> Config {
    let var = |name: &str| match name {
        "NODE_LISTEN" => Some("127.0.0.1:0".to_owned()),
        "NODE_DISCOVERY" => Some(platform.to_string()),
        "NODE_STATE" => Some("unused".to_owned()),
        _ => None,
    };
    config::parse(&config_text(known), var).expect("configuration")
}

/// The platform: its watches are held, its final reports are taken.
pub(crate) fn platform() -> SimulatedServer {
    SimulatedServer::new(|request, _| match request.method.as_str() {
        "GET" => Reply::Silent,
        _ => Reply::status(204),
    })
    .expect("platform")
}

/// A sender in this process.
pub(crate) struct Running {
    pub(crate) clients: SocketAddr,
    pub(crate) operator: Option<SocketAddr>,
    stop_handle: StopHandle,
    thread: Option<std::thread::JoinHandle<std::io::Result<()>>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop_handle.stop();
        // Its folder is another's from now on.
        drop(self.thread.take().map(std::thread::JoinHandle::join));
    }
}

pub(crate) fn start(known: &str, platform: &SimulatedServer) -> Running {
    start_with(known, platform, 1024)
}

/// With so many descriptors.
pub(crate) fn start_with(known: &str, platform: &SimulatedServer, sockets: usize) -> Running {
    start_as(known, platform, |setup| setup.sockets = sockets)
}

/// A sender that listens and does not run yet: what peers do before it runs, it finds all at once.
pub(crate) struct Prepared {
    pub(crate) clients: SocketAddr,
    reactor: Reactor,
}

/// With whatever is to be otherwise.
pub(crate) fn prepare(
    known: &str,
    platform: &SimulatedServer,
    change: impl FnOnce(&mut ReactorOptions),
) -> Prepared {
    let config = config(known, platform.address);
    let mut setup = ReactorOptions {
        platform_settings: config.platform_settings,
        seed: config.seed,
        state: None,
        listen: Some(config.listen),
        discovery: Some(config.discovery),
        known_version: config.known_version,
        known: config.known,
        fleet: None,
        operator: None,
        push: None,
        sockets: 1024,
        memory: 192_000_000,
        read_config: None,
    };
    change(&mut setup);
    let reactor = Reactor::new(setup).expect("the sender starts");
    Prepared {
        clients: reactor.addresses().0.expect("it listens"),
        reactor,
    }
}

impl Prepared {
    pub(crate) fn run(self) -> Running {
        let Prepared {
            clients,
            mut reactor,
        } = self;
        let operator = reactor.operator_address();
        let stop_handle = reactor.stop_handle().expect("halter");
        let thread = Some(std::thread::spawn(move || reactor.run(Vec::new)));
        Running {
            clients,
            operator,
            stop_handle,
            thread,
        }
    }
}

pub(crate) fn start_as(
    known: &str,
    platform: &SimulatedServer,
    change: impl FnOnce(&mut ReactorOptions),
) -> Running {
    prepare(known, platform, change).run()
}

/// A program of a tenant that hands messages in.
pub(crate) struct Client(TcpStream);

impl Client {
    pub(crate) fn new(to: SocketAddr) -> Client {
        let stream = TcpStream::connect(to).expect("connect");
        stream.set_read_timeout(Some(SOON)).expect("time-out");
        Client(stream)
    }

    /// For another thread to write with.
    pub(crate) fn writer(&self) -> TcpStream {
        self.0.try_clone().expect("a second handle")
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("write");
    }

    /// One line of an answer, or what came before the end.
    pub(crate) fn line(&mut self) -> String {
        let (mut line, mut byte) = (Vec::new(), [0u8; 1]);
        while !line.ends_with(b"\r\n") {
            match self.0.read(&mut byte) {
                Ok(1) => line.push(byte[0]),
                Ok(_) => return format!("{}<end>", String::from_utf8_lossy(&line)),
                Err(e) => return format!("{}<{:?}>", String::from_utf8_lossy(&line), e.kind()),
            }
        }
        String::from_utf8_lossy(&line).trim_end().to_owned()
    }

    pub(crate) fn put(&mut self, id: &str, names: &str, body: &[u8]) -> String {
        self.send(&put(id, names, body));
        self.line()
    }
}

pub(crate) fn put(id: &str, names: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = b"*5\r\n".to_vec();
    for text_token in [
        b"MSG.PUT" as &[u8],
        b"0000000000000000",
        id.as_bytes(),
        names.as_bytes(),
        body,
    ] {
        bytes.extend_from_slice(format!("${}\r\n", text_token.len()).as_bytes());
        bytes.extend_from_slice(text_token);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A request as the transcript shows it: what differs from run to run is left out.
pub(crate) fn shown(request: &http::Request) -> String {
    let mut text = format!("{} {}\n", request.method, request.path);
    for (name, value) in &request.headers {
        let value = String::from_utf8_lossy(value);
        let value = match name.as_str() {
            "Host" => "#".into(),
            "X-Remaining" => format!(
                "#{}",
                value.trim_start_matches(|c: char| c.is_ascii_digit())
            ),
            _ => value.into_owned(),
        };
        text.push_str(&format!("{name}: {value}\n"));
    }
    format!("{text}\n{}\n", String::from_utf8_lossy(&request.body))
}

/// A listener whose queue is full: further connections don't come up until it accepts.
pub(crate) fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let short = Duration::from_millis(100);
    let fill = std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok())
        .take(64)
        .collect();
    (listener, fill)
}

/// What the platform has been told of messages that ended.
pub(crate) fn reports(platform: &SimulatedServer) -> Vec<String> {
    let posts = platform
        .seen()
        .into_iter()
        .filter(|s| s.request.method == "POST");
    posts
        .map(|s| String::from_utf8_lossy(&s.request.body).into_owned())
        .collect()
}

/// Waits until it holds.
pub(crate) fn soon(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + SOON;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until it is set.
pub(crate) fn wait_for(flag: &AtomicBool) {
    while !flag.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A platform whose list changes to this one when it is told so.
pub(crate) fn changing(to: String) -> (SimulatedServer, Arc<AtomicBool>) {
    let notified = Arc::new(AtomicBool::new(false));
    let notify = notified.clone();
    let platform = SimulatedServer::new(move |request, _| match request.path.as_str() {
        "/v1/notices" => Reply::status(204),
        path if path.contains("from=1&") => {
            wait_for(&notified);
            Reply::Bytes(cranehill_daemon::http::write_response(200, "OK", &[], &to))
        }
        _ => Reply::Silent,
    });
    (platform.expect("platform"), notify)
}
