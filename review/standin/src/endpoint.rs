//! Endpoints: a listener on loopback with one thread for each connection.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use crate::http::{self, Request};

/// Starts an endpoint at a free port. `serve` answers each call.
pub fn start(serve: impl Fn(&Request, &mut TcpStream) + Send + Sync + 'static) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("endpoint: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            std::thread::spawn(move || serve_connection(stream, &*serve));
        }
    });
    Ok(address)
}

fn serve_connection(mut stream: TcpStream, serve: &dyn Fn(&Request, &mut TcpStream)) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = http::read_request(&mut stream, &mut buffer) {
        serve(&request, &mut stream);
    }
}
