//! Converts nginx `upstream` and `location` blocks to a Web Push file. Directives without a counterpart there are
//! listed with their lines.

mod error;
mod parser;

use std::net::SocketAddr;

use cranehill_daemon::webpush::{File, Location, Server, Upstream};

pub use error::NginxError;
use parser::Directive;

/// The result of an import.
#[derive(Debug)]
pub struct Imported {
    /// The Web Push file.
    pub file: File,
    /// Directives without a counterpart in the file: line, from 1, and description; sorted by line.
    pub left_out: Vec<(usize, String)>,
}

/// Converts the text of an nginx configuration.
///
/// # Errors
/// If the text is not a valid configuration, with the line, or the resulting file is invalid.
pub fn import(text: &str) -> Result<Imported, NginxError> {
    let directives = parser::parse(text)?;
    let mut importer = Importer::default();
    importer.blocks(&directives)?;
    importer.finish()
}

#[derive(Default)]
struct Importer {
    file: File,
    left_out: Vec<(usize, String)>,
    /// Locations with their lines. They are added at the end, as an upstream may be defined after its locations.
    locations: Vec<(usize, Location)>,
}

impl Importer {
    fn leave_out(&mut self, line: usize, text: String) {
        self.left_out.push((line, text));
    }

    fn blocks(&mut self, directives: &[Directive]) -> Result<(), NginxError> {
        for directive in directives {
            let line = directive.line;
            let arguments = directive.arguments();
            match (arguments.as_slice(), &directive.block) {
                (["http" | "server"], Some(inside)) => self.blocks(inside)?,
                (["upstream", name], Some(inside)) => self.upstream(name, line, inside)?,
                (["upstream", ..], _) => return Err(NginxError::IncompleteUpstream { line }),
                (["location", rest @ ..], Some(inside)) => self.location(rest, line, inside)?,
                (["location", ..], None) => return Err(NginxError::LocationWithoutBlock { line }),
                _ => self.leave_out(line, arguments.join(" ")),
            }
        }
        Ok(())
    }

    fn upstream(
        &mut self,
        name: &str,
        line: usize,
        inside: &[Directive],
    ) -> Result<(), NginxError> {
        if self.file.upstream.iter().any(|u| u.name == name) {
            let name = name.to_owned();
            return Err(NginxError::DuplicateUpstream { line, name });
        }
        let mut servers = Vec::new();
        for directive in inside {
            let arguments = directive.arguments();
            if let ["server", address, options @ ..] = arguments.as_slice() {
                servers.extend(self.server(directive.line, address, options));
            } else {
                self.leave_out(directive.line, arguments.join(" "));
            }
        }
        if servers.is_empty() {
            self.leave_out(
                line,
                format!("upstream {name}: no server with an address on this machine"),
            );
            return Ok(());
        }
        self.file.upstream.push(Upstream {
            name: name.to_owned(),
            rate: None,
            server: servers,
        });
        Ok(())
    }

    fn server(&mut self, line: usize, address: &str, options: &[&str]) -> Option<Server> {
        let Some(resolved) = loopback_address(address) else {
            self.leave_out(
                line,
                format!("server {address}: not an address on this machine"),
            );
            return None;
        };
        let mut server = Server {
            address: resolved.to_string(),
            draining: false,
        };
        for option in options {
            match *option {
                "down" => server.draining = true,
                other => self.leave_out(line, format!("server {address}: {other}")),
            }
        }
        Some(server)
    }

    fn location(
        &mut self,
        arguments: &[&str],
        line: usize,
        inside: &[Directive],
    ) -> Result<(), NginxError> {
        let path = match arguments {
            [path] | ["^~", path] if path.starts_with('/') => *path,
            [] => return Err(NginxError::LocationWithoutPath { line }),
            // Exact, named and regular-expression locations have no counterpart: a prefix would match more.
            _ => {
                self.leave_out(line, format!("location {}", arguments.join(" ")));
                return Ok(());
            }
        };
        let Some((line, target)) = self.proxy_pass(path, inside)? else {
            self.leave_out(line, format!("location {path}: no proxy_pass"));
            return Ok(());
        };
        let Some((upstream, to)) = split_target(&target) else {
            self.leave_out(line, format!("location {path}: proxy_pass {target}"));
            return Ok(());
        };
        let path = path.to_owned();
        self.locations.push((line, Location { path, upstream, to }));
        Ok(())
    }

    /// The line and the target of the last `proxy_pass` of the location with this path.
    fn proxy_pass(
        &mut self,
        path: &str,
        inside: &[Directive],
    ) -> Result<Option<(usize, String)>, NginxError> {
        let mut target = None;
        for directive in inside {
            let line = directive.line;
            match directive.arguments().as_slice() {
                ["proxy_pass", address] => target = Some((line, (*address).to_owned())),
                ["proxy_pass", ..] => return Err(NginxError::ProxyPass { line }),
                other => self.leave_out(line, format!("location {path}: {}", other.join(" "))),
            }
        }
        Ok(target)
    }

    /// Adds the locations, whose upstreams are all known by now, and checks the file.
    fn finish(mut self) -> Result<Imported, NginxError> {
        for (line, location) in std::mem::take(&mut self.locations) {
            self.add_location(line, location);
        }
        self.left_out.sort();
        self.file
            .check()
            .map_err(|e| NginxError::Unusable(e.into()))?;
        Ok(Imported {
            file: self.file,
            left_out: self.left_out,
        })
    }

    fn add_location(&mut self, line: usize, location: Location) {
        let file = &mut self.file;
        if file.location.iter().any(|l| l.path == location.path) {
            self.leave_out(line, format!("duplicate location {}", location.path));
            return;
        }
        let name = &location.upstream;
        if !file.upstream.iter().any(|u| u.name == *name) {
            if !is_loopback_address(name) {
                let text = format!("location {}: no upstream '{name}' here", location.path);
                self.leave_out(line, text);
                return;
            }
            file.upstream.push(upstream_of_address(name));
        }
        file.location.push(location);
    }
}

/// The upstream for a `proxy_pass` to an address: it has this one server.
fn upstream_of_address(address: &str) -> Upstream {
    Upstream {
        name: address.to_owned(),
        rate: None,
        server: vec![Server {
            address: address.to_owned(),
            draining: false,
        }],
    }
}

fn is_loopback_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| address.ip().is_loopback())
}

/// Parses a server's address, where port 80 is nginx's default. `None` if it is not on this machine.
fn loopback_address(text: &str) -> Option<SocketAddr> {
    let text = text.replace("localhost", "127.0.0.1");
    let text = if text.contains(':') {
        text
    } else {
        format!("{text}:80")
    };
    let address: SocketAddr = text.parse().ok()?;
    address.ip().is_loopback().then_some(address)
}

/// Splits a `proxy_pass` target into the upstream's name and the path. `None` if it is not plain HTTP or contains a variable.
fn split_target(target: &str) -> Option<(String, Option<String>)> {
    let rest = target
        .strip_prefix("http://")
        .filter(|rest| !rest.contains('$'))?;
    // As in nginx, a path in proxy_pass replaces the location's path; without one the request's path is kept.
    let (name, path) = match rest.find('/') {
        Some(slash) => (&rest[..slash], Some(rest[slash..].to_owned())),
        None => (rest, None),
    };
    Some((name.replace("localhost:", "127.0.0.1:"), path))
}
