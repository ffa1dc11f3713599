//! The parsers, with complete, partial and invalid input.

mod common;

use std::time::Duration;

use cranehill::{nginx, push_script};
use cranehill_daemon::client_protocol::{self, Request};
use cranehill_daemon::destination_protocol::{self, Verdict};
use cranehill_daemon::http::{self, Response};
use cranehill_daemon::{config, discovery_protocol, webpush};
use cranehill_scheduler::api::{Condition, Status};

#[test]
fn request_parses_the_same_however_it_is_split() {
    let bytes = [
        common::put("m1", "c=episode-notice,dest=7", b"any\r\nbytes\0"),
        b"*1\r\n$4\r\nping\r\n".to_vec(),
    ];
    let (first, used) = client_protocol::parse(&bytes.concat())
        .expect("valid request")
        .expect("a complete message");
    assert_eq!(used, bytes[0].len());
    assert!(
        matches!(&first, Request::Put { id, body, .. } if id == "m1" && body == b"any\r\nbytes\0")
    );
    assert_eq!(
        client_protocol::parse(&bytes[1]),
        Ok(Some((Request::Ping, bytes[1].len())))
    );
    for cut in 0..bytes[0].len() {
        assert_eq!(
            client_protocol::parse(&bytes[0][..cut]),
            Ok(None),
            "cut at {cut}"
        );
    }
}

#[test]
fn invalid_request_is_an_error_without_waiting_for_more_input() {
    for bad in [
        "PING\r\n",
        "*x\r\n",
        "*-1\r\n",
        "*99\r\n",
        "*1\n",
        "*1\r\n+OK\r\n",
        "*1\r\n$99999\r\n",
        "*1\r\n$4\r\nPINGxx",
        "*00000000000000000000000000000000001",
        "*1\r\n$-1\r\n",
    ] {
        assert!(client_protocol::parse(bad.as_bytes()).is_err(), "{bad:?}");
    }
    // A body of 64 KiB is accepted, one byte more is not.
    let request_with_body =
        |len: usize| common::put("m", "c=episode-notice,dest=7", &vec![b'x'; len]);
    assert!(matches!(
        client_protocol::parse(&request_with_body(65536)),
        Ok(Some(_))
    ));
    assert!(client_protocol::parse(&request_with_body(65537)).is_err());
}

#[test]
fn message_metadata_is_validated() {
    let platform_settings = common::config(
        &common::list(1, &[]),
        "127.0.0.1:1".parse().expect("an address"),
    )
    .platform_settings;
    let parse_metadata = |metadata: &str| {
        client_protocol::message(
            &platform_settings,
            1,
            b"0000",
            "m".into(),
            metadata,
            Vec::new(),
        )
    };
    let message =
        parse_metadata("c=episode-notice,t=onda-central,d=8000,k=5c0f,dest=7,r=1,new=thing")
            .expect("valid metadata");
    assert_eq!(
        (
            message.destination,
            message.time_left,
            message.idempotency_key.as_deref()
        ),
        (7, Duration::from_secs(8), Some("5c0f"))
    );
    for invalid in [
        "",
        "c=episode-notice",
        "dest=7",
        "c=x,dest=7",
        "c=episode-notice,dest=x",
        "c=episode-notice,dest=7,t=x",
        "c=episode-notice,dest=7,d=-1",
        "c=episode-notice,dest=7,k=a\r\nX: y",
        "c=episode-notice,dest",
    ] {
        assert!(parse_metadata(invalid).is_err(), "{invalid:?}");
    }
}

fn response(text: &str) -> Response {
    http::response(text.as_bytes(), true)
        .expect("valid response")
        .expect("a complete message")
        .0
}

#[test]
fn responses_are_read_by_length_by_chunks_and_to_the_end() {
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    for cut in 0..chunked.len() {
        assert_eq!(
            http::response(&chunked.as_bytes()[..cut], false),
            Ok(None),
            "cut at {cut}"
        );
    }
    assert_eq!(response(chunked).body, b"abcde");
    let open = "HTTP/1.1 200 OK\r\n\r\nabc";
    assert_eq!(http::response(open.as_bytes(), false), Ok(None));
    assert_eq!(
        (response(open).body.as_slice(), response(open).close),
        (&b"abc"[..], true)
    );
    assert_eq!(
        response("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n").status,
        204
    );
    for bad in [
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
        "hello\r\n\r\n",
    ] {
        assert!(http::response(bad.as_bytes(), false).is_err(), "{bad:?}");
    }
    assert!(http::response(&vec![b'a'; 20_000], false).is_err());
}

#[test]
fn interim_responses_are_limited_and_use_no_stack() {
    let run = "HTTP/1.1 100 C\r\n\r\n".repeat(200_000);
    assert!(http::response(run.as_bytes(), false).is_err());
    assert_eq!(http::early_status(run.as_bytes()), None);
    let some = format!(
        "{}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 E\r\nA: b\r\n\r\n".repeat(3)
    );
    assert_eq!(
        (response(&some).status, http::early_status(some.as_bytes())),
        (200, Some(200))
    );
    for (line, status) in [
        ("HTTP/1.1 200 O\u{1}\r\n\u{2}", Some(200)),
        ("HTTP/1.1 2000 OK\r\n", None),
        ("HTTP/1.1 20", None),
        ("noise HTTP/1.1 200 OK\r\n", None),
    ] {
        assert_eq!(http::early_status(line.as_bytes()), status, "{line:?}");
    }
}

#[test]
fn unreadable_load_report_is_dropped_alone() {
    let text = |report: &str| {
        format!(
            "HTTP/1.1 429 F\r\nx-pressure:{report}\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
        )
    };
    for bad in [
        "",
        " \u{0}\u{7}",
        " x0=,x1=",
        " x0=nan,x1=5",
        " x0=0.5",
        " x0=-3,x1=5",
        " x0=0.5,x1=1e300",
    ] {
        let outcome =
            destination_protocol::read_response(&response(&text(bad)), &["a"], Duration::ZERO);
        assert_eq!(
            (outcome.verdicts[0].status, outcome.retry_after),
            (Status::Overloaded, Some(Duration::from_secs(2))),
            "{bad:?}"
        );
        assert!(outcome.report.is_none(), "{bad:?}");
    }
    assert!(
        destination_protocol::read_response(
            &response(&text(" x0=0.5,x1=5")),
            &["a"],
            Duration::ZERO
        )
        .report
        .is_some()
    );
    let batch = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[{";
    let outcome =
        destination_protocol::read_response(&response(batch), &["a", "b"], Duration::ZERO);
    assert_eq!(
        outcome.verdicts,
        [Verdict::of(Status::Malformed); 2],
        "after a malformed batch response each message is possibly executed"
    );
}

fn destination_answer(text: &str, ids: &[&str]) -> destination_protocol::DestinationResponse {
    destination_protocol::read_response(&response(text), ids, Duration::ZERO)
}

#[test]
fn a_response_to_one_message_carries_its_outcome() {
    let one = |text: &str| destination_answer(text, &["a"]).verdicts[0];
    assert_eq!(
        one("HTTP/1.1 200 OK\r\n\r\n"),
        Verdict {
            status: Status::Served,
            completed: true
        }
    );
    assert_eq!(one("HTTP/1.1 500 E\r\n\r\n").status, Status::Error);
    assert_eq!(one("HTTP/1.1 503 F\r\n\r\n").status, Status::Overloaded);
    assert_eq!(
        one("HTTP/1.1 503 F\r\nX-No-Slot: 1\r\n\r\n").status,
        Status::NotSent
    );
    assert_eq!(
        one("HTTP/1.1 504 U\r\n\r\n"),
        Verdict {
            status: Status::NotSent,
            completed: false
        }
    );
    assert_eq!(
        one("HTTP/1.1 410 G\r\n\r\n"),
        Verdict {
            status: Status::NotSent,
            completed: true
        }
    );
}

#[test]
fn a_rejected_batch_carries_retry_after_and_load_report() {
    let full = destination_answer(
        "HTTP/1.1 429 F\r\nRetry-After: 0.75\r\nX-Pressure: x0=0.4,x1=25\r\n\r\n",
        &["a", "b"],
    );
    assert_eq!(
        full.verdicts,
        [Verdict {
            status: Status::Overloaded,
            completed: false
        }; 2]
    );
    assert_eq!(full.retry_after, Some(Duration::from_millis(750)));
    let limit = full.report.expect("a load report");
    assert_eq!((limit.remaining_share, limit.limit), (0.4, 25.0));
}

#[test]
fn a_batch_response_carries_an_outcome_for_each_message() {
    let states = r#"[{"id":"b","state":"busy"},{"id":"a","state":"done"},{"id":"c","state":"failed"},{"id":"d","state":"void"},{"id":"e","state":"used_up"}]"#;
    let mixed = destination_answer(
        &format!("HTTP/1.1 200 OK\r\nRetry-After: 1\r\n\r\n{states}"),
        &["a", "b", "c", "d", "e", "f"],
    );
    let statuses: Vec<(Status, bool)> = mixed
        .verdicts
        .iter()
        .map(|v| (v.status, v.completed))
        .collect();
    assert_eq!(
        statuses,
        [
            (Status::Served, true),
            (Status::Overloaded, false),
            (Status::Error, false),
            (Status::NotSent, true),
            (Status::NotSent, false),
            // Missing in the response: possibly executed.
            (Status::Error, false),
        ]
    );
    assert_eq!(mixed.retry_after, Some(Duration::from_secs(1)));
}

#[test]
fn an_unreadable_retry_after_is_ignored() {
    for nonsense in ["", "-1", "inf", "nan", "soon"] {
        let text = format!("HTTP/1.1 429 F\r\nRetry-After: {nonsense}\r\n\r\n");
        assert_eq!(destination_answer(&text, &["a"]).retry_after, None);
    }
}

#[test]
fn endpoint_list_uses_the_names_of_the_settings() {
    let known = r#"{"version":3,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"station","cell":7,"state":"draining","weight":2.5,"started_ms":0},{"id":"b","addr":"127.0.0.1:2","kind":"new","cell":8,"state":"up"}]}"#;
    let config = common::config(known, "127.0.0.1:1".parse().expect("an address"));
    let [a, b] = &config.known[..] else {
        panic!("{:?}", config.known)
    };
    assert_eq!(
        (a.entry.kind, a.entry.condition, a.entry.rate),
        (1, Condition::Draining, 2.5)
    );
    assert_eq!(
        (b.entry.condition, b.address.as_str()),
        (Condition::Ready, "127.0.0.1:2")
    );
    let bad = known.replace("draining", "asleep");
    assert!(config::parse(&common::config_text(&bad), |_| Some("127.0.0.1:1".into())).is_err());
    assert!(
        discovery_protocol::read_response(
            &response("HTTP/1.1 503 No\r\n\r\n"),
            &config.platform_settings
        )
        .is_err()
    );
    assert!(
        discovery_protocol::read_response(
            &response("HTTP/1.1 200 OK\r\n\r\n{}"),
            &config.platform_settings
        )
        .is_err()
    );
}

const NGINX: &str = r#"
# a comment with { and ;
http {
    upstream "app" {
        server 127.0.0.1:9100;
        server localhost:9101 down;
        server 10.0.0.1:80;
        keepalive 8;
    }
    server {
        location /push/app/ { proxy_pass http://app/wpush/v2/; }
        location ^~ /raw/ { proxy_pass http://127.0.0.1:9300; proxy_set_header Host $host; }
        location ~ \.php$ { deny all; }
        location /none/ { proxy_pass http://elsewhere; }
        location /tls/ { proxy_pass https://app; }
    }
}
"#;

#[test]
fn nginx_import_round_trips_and_lists_the_rest_by_line() {
    let imported = nginx::import(NGINX).expect("valid nginx configuration");
    let text = toml::to_string(&imported.file).expect("Web Push file serialized");
    assert_eq!(
        webpush::parse_file(&text).expect("the written file parses"),
        imported.file
    );
    insta::assert_snapshot!(format!("{text}\n{:#?}", imported.left_out));
}

#[test]
fn malformed_nginx_error_names_its_line() {
    for (bad, line) in [
        ("upstream a {\n server 127.0.0.1:1;\n", 1),
        ("\n}", 2),
        ("upstream a {\n server 127.0.0.1:1\n}", 2),
        ("\n\nupstream {\n}", 3),
        ("location {\n}", 1),
        ("x \"abc\n", 1),
        ("{", 1),
        (
            "upstream a { server 127.0.0.1:1; }\nupstream a { server 127.0.0.1:1; }",
            2,
        ),
    ] {
        let error = nginx::import(bad).expect_err(bad).to_string();
        assert!(
            error.starts_with(&format!("line {line}:")),
            "{bad:?}: {error}"
        );
    }
    assert!(nginx::import(&"a { ".repeat(10_000)).is_err());
}

#[test]
fn invalid_web_push_file_is_rejected() {
    let good = "listen = \"127.0.0.1:1\"\n[[upstream]]\nname = \"a\"\n[[upstream.server]]\naddress = \"127.0.0.1:2\"\n[[location]]\npath = \"/p/\"\nupstream = \"a\"\n";
    assert!(webpush::parse_file(good).is_ok());
    for (from, to) in [
        ("127.0.0.1:1", "10.0.0.1:1"),
        ("127.0.0.1:2", "192.0.2.1:2"),
        ("127.0.0.1:2", "there"),
        ("upstream = \"a\"", "upstream = \"b\""),
        ("\"/p/\"", "\"p\""),
        ("listen", "lisen"),
        (
            "listen = ",
            "vapid = { key = \"AAAA\", subject = \"mailto:a@b\" }\nlisten = ",
        ),
    ] {
        assert!(
            webpush::parse_file(&good.replace(from, to)).is_err(),
            "{from} -> {to}"
        );
    }
}

#[test]
fn push_script_error_names_its_line() {
    for (bad, line) in [
        ("push a\nexpect b delivered", 2),
        ("push a\npush a", 2),
        ("expect a delivered", 1),
        ("push a\n\nexpect a lost", 3),
        ("service answers x", 1),
        ("service answers 99", 1),
        ("wait soon", 1),
        ("jump", 1),
        ("push a colour=red", 1),
        // Caused an index out of bounds: the first `ttl` argument had already removed the default.
        ("push a ttl=none ttl=5 ttl", 1),
    ] {
        let error = push_script::parse(bad).expect_err(bad).to_string();
        assert!(
            error.starts_with(&format!("line {line}:")),
            "{bad:?}: {error}"
        );
    }
}

#[test]
fn push_script_report_counts_missed_expectations() {
    let run_script = |text: &str| {
        push_script::play(&push_script::parse(text).expect("valid push script"))
            .expect("push script run completed")
    };
    let good = run_script(
        "service answers 410 to=left\npush left\npush here\nexpect left gone\nexpect here delivered attempts 1",
    );
    assert_eq!((good.missed, good.lines.len()), (0, 2), "{good:?}");
    let bad = run_script("push a\nexpect a gone\nexpect a delivered attempts 2");
    assert_eq!(bad.missed, 2, "{bad:?}");
    assert!(bad.lines.iter().all(|l| l.contains("MISSED")));
}

#[test]
fn parsers_neither_panic_nor_read_past_their_input() {
    // Valid inputs with a few bytes changed, inserted, removed or cut off; the fixed seed makes each run the same.
    let mut state = 0x5eed_u64;
    let mut next = move |below: usize| {
        state = state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (state >> 33) as usize % below.max(1)
    };
    let valid: Vec<Vec<u8>> = vec![
        common::put("m1", "c=episode-notice,d=8000,dest=7", b"body"),
        b"POST /push/a HTTP/1.1\r\nTTL: 9\r\nContent-Length: 4\r\n\r\nbody".to_vec(),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".to_vec(),
        NGINX.as_bytes().to_vec(),
        b"service answers 429 retry-after=1\npush a ttl=3\nexpect a delivered within 2\n".to_vec(),
    ];
    for round in 0..20_000 {
        let mut bytes = valid[round % valid.len()].clone();
        for _ in 0..=next(3) {
            let at = next(bytes.len());
            match next(4) {
                0 => bytes[at] = next(256) as u8,
                1 => bytes.truncate(at + 1),
                2 => bytes.insert(at, b"*$\r\n{};=0:"[next(10)]),
                _ => drop(bytes.remove(at)),
            }
            if bytes.is_empty() {
                bytes.push(b'x');
            }
        }
        let within = |used: usize| assert!(used > 0 && used <= bytes.len());
        client_protocol::parse(&bytes)
            .ok()
            .flatten()
            .into_iter()
            .for_each(|r| within(r.1));
        http::request(&bytes)
            .ok()
            .flatten()
            .into_iter()
            .for_each(|r| within(r.1));
        http::response(&bytes, true)
            .ok()
            .flatten()
            .into_iter()
            .for_each(|r| within(r.1));
        let text = String::from_utf8_lossy(&bytes);
        let _ = (
            nginx::import(&text),
            webpush::parse_file(&text),
            push_script::parse(&text),
        );
    }
}
