//! A planned restart while a push service is silent: what the application servers are told of posts that are out.

use std::fs;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

/// The push service is silent for so long: the operators' page names 5.4 to 15 s.
const SILENT: Duration = Duration::from_millis(9000);
/// Push services, and the one that falls silent: partners that get up to 27% of the traffic do, here 3 of 22 posts, and 6 of 25 with
/// those that come again.
const SERVICES: usize = 4;
const SILENT_SERVICE: usize = 0;
/// The usual time of a call.
const USUAL: Duration = Duration::from_millis(300);
/// From SIGTERM to SIGKILL, and from there to the next start.
const KILL_AFTER: Duration = Duration::from_millis(3700);
const START_AFTER: Duration = Duration::from_millis(600);

/// A push that ran at the push service.
#[derive(Clone)]
struct Run {
    at: Instant,
    body: String,
}

/// What an application server was told of its post.
struct Told {
    body: String,
    at: Instant,
    /// `None` if the connection ended without an answer.
    status: Option<u16>,
    retry_after: Option<u64>,
}

fn post(web_push: std::net::SocketAddr, service: usize, body: &str) -> Told {
    note(format!(
        "application server: POST {body} for service {service}"
    ));
    let answer = http_call(
        web_push,
        "POST",
        &format!("/push/{service}/subscription-1"),
        "TTL: 60\r\n",
        body,
        ms(25_000),
    );
    let status = answer.as_ref().map(|a| a.status);
    let retry_after = answer
        .as_ref()
        .and_then(|a| a.header("Retry-After")?.parse().ok());
    note(format!(
        "application server: {body} answered {status:?}, Retry-After {retry_after:?}"
    ));
    Told {
        body: body.to_owned(),
        at: Instant::now(),
        status,
        retry_after,
    }
}

pub fn play() {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let silent_until: Arc<Mutex<Option<Instant>>> = Arc::default();
    // A push service shows a push when it has come whole. While it is silent, its answers wait for the end of the silence.
    let start_service = |service: usize| {
        let (seen, silence) = (runs.clone(), silent_until.clone());
        Server::start(move |request, stream| {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            note(format!(
                "push service {service}: runs {body} ({} {})",
                request.method, request.path
            ));
            lock(&seen).push(Run {
                at: Instant::now(),
                body: body.clone(),
            });
            let until = lock(&silence)
                .filter(|until| service == SILENT_SERVICE && *until > Instant::now())
                .unwrap_or_else(|| Instant::now() + USUAL);
            thread::sleep(until.saturating_duration_since(Instant::now()));
            note(format!("push service {service}: answers 201 to {body}"));
            answer(stream, "201 Created", "Location: /message/1\r\n", "")
        })
    };
    let services: Vec<Server> = (0..SERVICES).map(start_service).collect();
    let platform = Platform::start("platform", 1, Vec::new());
    let (listen, web_push) = (free_address(), free_address());
    let class = Class {
        name: "episode-notice",
        effect: "keyed",
        in_order: false,
        aim_ms: 4000,
        deadline_ms: 20_000,
        window_ms: 20_000,
    };
    let config = write_config(&config(
        &Site::SanjoseCentral,
        platform.server.address,
        &[class],
        1,
        &[],
    ));
    let file = work_folder().join("webpush.toml");
    let mut text = format!("listen = \"{web_push}\"\n");
    for (service, server) in services.iter().enumerate() {
        text.push_str(&format!(
            "[[upstream]]\nname = \"app-{service}\"\n[[upstream.server]]\naddress = \"{}\"\n[[location]]\npath = \"/push/{service}/\"\nupstream = \"app-{service}\"\nto = \"/wpush/v2/\"\n",
            server.address
        ));
    }
    if fs::write(&file, text).is_err() {
        give_up("webpush.toml can't be written");
    }
    let variables = variables(
        &config,
        listen,
        platform.server.address,
        &work_folder().join("state"),
    );
    let arguments = format!("--webpush {}", file.display());
    let mut sender = Sender::start("sender-1", &arguments, &variables);
    wait_ready(listen);
    let first = post(web_push, 1, "push-a");
    if first.status != Some(201) {
        give_up("a push on a calm day was not answered 201");
    }
    if trouble() {
        *lock(&silent_until) = Some(Instant::now() + SILENT);
        note("push service: silent from now on");
    }
    let posts: Vec<_> = ["push-b", "push-c", "push-d"]
        .into_iter()
        .map(|body| thread::spawn(move || post(web_push, SILENT_SERVICE, body)))
        .collect();
    wait_for("the calls of three pushes", ms(5000), || {
        (lock(&runs).len() >= 4).then_some(())
    });
    // The other services get most of the traffic, and serve it as usual.
    let others: Vec<_> = (0..6 * (SERVICES - 1))
        .map(|n| {
            thread::spawn(move || post(web_push, 1 + n % (SERVICES - 1), &format!("push-{n}")))
        })
        .collect();
    let mut told: Vec<Told> = others
        .into_iter()
        .filter_map(|post| post.join().ok())
        .collect();
    if trouble() {
        sender.signal("TERM");
        let term_at = Instant::now();
        while term_at.elapsed() < KILL_AFTER {
            if let Some(code) = sender.ended() {
                note(format!(
                    "sender-1: ended with {code:?}, {} ms after SIGTERM",
                    term_at.elapsed().as_millis()
                ));
                break;
            }
            thread::sleep(ms(5));
        }
        thread::sleep(KILL_AFTER.saturating_sub(term_at.elapsed()));
        sender.kill();
        thread::sleep(START_AFTER);
        sender = Sender::start("sender-2", &arguments, &variables);
        wait_ready(listen);
    }
    told.extend(posts.into_iter().filter_map(|post| post.join().ok()));
    // 503 says: not taken, come again. An application server does, once the time that it was told has passed. Any other answer,
    // or none, is left as it is.
    let mut again = Vec::new();
    for answer in &told {
        if let (Some(503), Some(seconds)) = (answer.status, answer.retry_after) {
            let due = answer.at + Duration::from_secs(seconds);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            again.push(post(web_push, SILENT_SERVICE, &answer.body));
        }
    }
    thread::sleep(ms(500));
    let runs = lock(&runs).clone();
    let mut violations = Vec::new();
    for answer in told.iter().filter(|answer| answer.status == Some(503)) {
        let times: Vec<&Run> = runs.iter().filter(|run| run.body == answer.body).collect();
        if times.len() > 1 && times[0].at < answer.at {
            violations.push(format!(
                "{} had run when its application server was told 503 with Retry-After {:?}; handed in again as told, it ran {} times",
                answer.body,
                answer.retry_after,
                times.len()
            ));
        }
    }
    let _ = sender.ended();
    finish(&violations)
}
