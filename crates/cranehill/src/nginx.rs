//! Imports nginx `upstream` and `location` blocks into a Web Push file. What has no counterpart here is
//! listed with its line, never dropped unsaid.

use std::net::SocketAddr;

use cranehill_daemon::webpush::{File, Location, Server, Upstream};

/// What was imported, and what was not: line and text.
#[derive(Debug)]
pub struct Imported {
    pub file: File,
    pub left_out: Vec<(usize, String)>,
}

#[derive(Debug, PartialEq)]
enum Token {
    Text(String),
    Open,
    Close,
    End,
}

/// A directive with its arguments and, if it is a block, what stands inside.
#[derive(Debug)]
struct Directive {
    line: usize,
    arguments: Vec<String>,
    block: Option<Vec<Directive>>,
}

/// How deep blocks may stand in one another.
const DEEPEST: usize = 32;

fn tokens(text: &str) -> Result<Vec<(usize, Token)>, String> {
    let (mut tokens, mut line) = (Vec::new(), 1);
    let mut chars = text.chars().peekable();
    while let Some(c) = chars.next() {
        match c {
            '\n' => line += 1,
            c if c.is_whitespace() => {}
            '#' => while chars.next_if(|&c| c != '\n').is_some() {},
            '{' => tokens.push((line, Token::Open)),
            '}' => tokens.push((line, Token::Close)),
            ';' => tokens.push((line, Token::End)),
            '"' | '\'' => {
                let (begun, mut text_token) = (line, String::new());
                loop {
                    match chars.next() {
                        Some(e) if e == c => break,
                        Some('\\') => text_token.extend(chars.next()),
                        Some(other) => {
                            line += usize::from(other == '\n');
                            text_token.push(other);
                        }
                        None => return Err(format!("line {begun}: a quoted text does not end")),
                    }
                }
                tokens.push((begun, Token::Text(text_token)));
            }
            first => {
                let mut text_token = String::from(first);
                loop {
                    let plain = |c: &char| !c.is_whitespace() && !matches!(c, ';' | '{' | '}');
                    match chars.next_if(plain) {
                        // A variable in braces belongs to its word.
                        Some('$') if chars.peek() == Some(&'{') => {
                            text_token.push('$');
                            text_token.extend(std::iter::from_fn(|| {
                                chars.next_if(|&c| c != '}' && c != '\n')
                            }));
                            text_token.extend(chars.next_if_eq(&'}'));
                        }
                        Some('\\') => text_token.extend(chars.next_if(|&c| c != '\n')),
                        Some(other) => text_token.push(other),
                        None => break,
                    }
                }
                tokens.push((line, Token::Text(text_token)));
            }
        }
    }
    Ok(tokens)
}

fn directives(
    tokens: &mut std::iter::Peekable<std::vec::IntoIter<(usize, Token)>>,
    opened: Option<usize>,
    depth: usize,
) -> Result<Vec<Directive>, String> {
    let mut found = Vec::new();
    loop {
        let (line, first) = match (tokens.next(), opened) {
            (Some((line, Token::Text(text_token))), _) => (line, text_token),
            (Some((_, Token::Close)), Some(_)) | (None, None) => return Ok(found),
            (Some((line, Token::Close)), None) => {
                return Err(format!("line {line}: '}}' closes nothing"));
            }
            (Some((line, Token::Open)), _) => {
                return Err(format!("line {line}: '{{' without a directive"));
            }
            (Some((_, Token::End)), _) => continue,
            (None, Some(line)) => return Err(format!("line {line}: the block does not end")),
        };
        let mut arguments = vec![first];
        let block = loop {
            match tokens.next() {
                Some((_, Token::Text(text_token))) => arguments.push(text_token),
                Some((_, Token::End)) => break None,
                Some((line, Token::Open)) if depth >= DEEPEST => {
                    return Err(format!("line {line}: blocks stand too deep in one another"));
                }
                Some((line, Token::Open)) => {
                    break Some(directives(tokens, Some(line), depth + 1)?);
                }
                Some((_, Token::Close)) | None => {
                    return Err(format!("line {line}: '{}' has no ';'", arguments.join(" ")));
                }
            }
        };
        found.push(Directive {
            line,
            arguments,
            block,
        });
    }
}

/// Imports a configuration's text; an error names its line.
pub fn import(text: &str) -> Result<Imported, String> {
    let all = directives(&mut tokens(text)?.into_iter().peekable(), None, 0)?;
    let mut imported = Imported {
        file: File::default(),
        left_out: Vec::new(),
    };
    let mut seen: Vec<(usize, Location)> = Vec::new();
    walk(&all, &mut imported, &mut seen)?;
    for (line, location) in seen {
        let file = &mut imported.file;
        if file.location.iter().any(|l| l.path == location.path) {
            imported
                .left_out
                .push((line, format!("a second location for {}", location.path)));
        } else if file.upstream.iter().any(|u| u.name == location.upstream) {
            file.location.push(location);
        } else if location
            .upstream
            .parse::<SocketAddr>()
            .is_ok_and(|a| a.ip().is_loopback())
        {
            // proxy_pass straight to an address is an upstream of one server.
            let server = vec![Server {
                address: location.upstream.clone(),
                draining: false,
            }];
            file.upstream.push(Upstream {
                name: location.upstream.clone(),
                rate: None,
                server,
            });
            file.location.push(location);
        } else {
            let what = format!(
                "location {}: no upstream '{}' here",
                location.path, location.upstream
            );
            imported.left_out.push((line, what));
        }
    }
    imported.left_out.sort();
    imported.file.check().map_err(|e| e.to_string())?;
    Ok(imported)
}

fn walk(
    directives: &[Directive],
    imported: &mut Imported,
    locations: &mut Vec<(usize, Location)>,
) -> Result<(), String> {
    for directive in directives {
        let arguments: Vec<&str> = directive.arguments.iter().map(String::as_str).collect();
        match (arguments.as_slice(), &directive.block) {
            (["http" | "server"], Some(inside)) => walk(inside, imported, locations)?,
            (["upstream", name], Some(inside)) => upstream(name, directive.line, inside, imported)?,
            (["upstream", ..], _) => {
                return Err(format!(
                    "line {}: upstream needs a name and a block",
                    directive.line
                ));
            }
            (["location", rest @ ..], Some(inside)) => {
                location(rest, directive.line, inside, imported, locations)?
            }
            (["location", ..], None) => {
                return Err(format!("line {}: location needs a block", directive.line));
            }
            _ => imported
                .left_out
                .push((directive.line, arguments.join(" "))),
        }
    }
    Ok(())
}

fn upstream(
    name: &str,
    line: usize,
    inside: &[Directive],
    imported: &mut Imported,
) -> Result<(), String> {
    if imported.file.upstream.iter().any(|u| u.name == name) {
        return Err(format!("line {line}: upstream '{name}' is named twice"));
    }
    let mut servers = Vec::new();
    for directive in inside {
        let arguments: Vec<&str> = directive.arguments.iter().map(String::as_str).collect();
        let mut leave = |what: String| imported.left_out.push((directive.line, what));
        let ["server", address, options @ ..] = arguments.as_slice() else {
            leave(arguments.join(" "));
            continue;
        };
        // nginx takes port 80 where none is given, and 'localhost' for this machine.
        let text = address.replace("localhost", "127.0.0.1");
        let text = if text.contains(':') {
            text
        } else {
            format!("{text}:80")
        };
        match text.parse::<SocketAddr>() {
            Ok(at) if at.ip().is_loopback() => {
                let mut server = Server {
                    address: at.to_string(),
                    draining: false,
                };
                for option in options {
                    match *option {
                        "down" => server.draining = true,
                        other => leave(format!("server {address}: {other}")),
                    }
                }
                servers.push(server);
            }
            _ => leave(format!("server {address}: not an address on this machine")),
        }
    }
    if servers.is_empty() {
        imported.left_out.push((
            line,
            format!("upstream {name}: no server that can be reached"),
        ));
    } else {
        imported.file.upstream.push(Upstream {
            name: name.to_owned(),
            rate: None,
            server: servers,
        });
    }
    Ok(())
}

fn location(
    arguments: &[&str],
    line: usize,
    inside: &[Directive],
    imported: &mut Imported,
    locations: &mut Vec<(usize, Location)>,
) -> Result<(), String> {
    let path = match arguments {
        [path] | ["^~", path] if path.starts_with('/') => *path,
        [] => return Err(format!("line {line}: location needs a path")),
        // Exact, named and regular-expression locations have no counterpart: a prefix would take more.
        _ => {
            imported
                .left_out
                .push((line, format!("location {}", arguments.join(" "))));
            return Ok(());
        }
    };
    let mut passes = None;
    for directive in inside {
        match directive
            .arguments
            .iter()
            .map(String::as_str)
            .collect::<Vec<_>>()
            .as_slice()
        {
            ["proxy_pass", target] => passes = Some((directive.line, (*target).to_owned())),
            ["proxy_pass", ..] => {
                return Err(format!(
                    "line {}: proxy_pass needs one address",
                    directive.line
                ));
            }
            other => imported.left_out.push((
                directive.line,
                format!("location {path}: {}", other.join(" ")),
            )),
        }
    }
    let Some((line, target)) = passes else {
        imported
            .left_out
            .push((line, format!("location {path}: no proxy_pass")));
        return Ok(());
    };
    let Some(rest) = target.strip_prefix("http://").filter(|t| !t.contains('$')) else {
        imported
            .left_out
            .push((line, format!("location {path}: proxy_pass {target}")));
        return Ok(());
    };
    // As in nginx: with a path in proxy_pass it takes the place of the location's, else the path stays.
    let (name, to) = match rest.find('/') {
        Some(slash) => (&rest[..slash], Some(rest[slash..].to_owned())),
        None => (rest, None),
    };
    let name = name.replace("localhost:", "127.0.0.1:");
    locations.push((
        line,
        Location {
            path: path.to_owned(),
            upstream: name,
            to,
        },
    ));
    Ok(())
}
