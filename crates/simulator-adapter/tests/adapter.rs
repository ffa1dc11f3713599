//! Runs the adapter on batches of requests and checks its replies.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// A settings object, including keys that are ignored.
const PROFILE: &str = r#"{"classes":[{"aim":800000000,"deadline":8000000000,"dedupScope":"all","effect":"safe","lateShare":0.1,"name":"status","streaming":false,"window":5000000000,"worth":1.0,"newThing":3}],"familyInfo":{"callsOut":4,"kindApart":[false],"losesWorth":"linear","perCall":[1]},"index":0,"membershipMode":"push","models":["any"],"nInstances":3,"policyLimits":{"attemptsCap":6,"connIdle":10000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":40,"probes":true,"retryAfter":true},"rules":{"cold":13000000000,"coldFrom":0.19,"fall":1500000000,"fallMultiple":2.0,"graceToAnswer":20000000},"tenants":[],"tick":5000000,"zone":0,"unknownSetting":{"a":1}}"#;

/// Runs the adapter on this input until it exits.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranehill-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    child
        .stdin
        .take()
        .expect("stdin")
        .write_all(input.as_bytes())
        .expect("write");
    child.wait_with_output().expect("adapter ends")
}

/// Endpoint list 0, with one ready endpoint.
const ENDPOINT_LIST: &str = r#"{"msg":"Inventory","rosterId":0,"rows":[{"belongsTo":1,"endpoint":"h:1","condition":1,"regionPart":0,"generationHw":0,"extra":true}]}"#;

/// The requests for sender `n` in a batch: 0 configures it, 1 has six messages, later ones also have the outcome of an attempt.
fn sender_requests(n: usize, batch: usize) -> String {
    let accepts: Vec<String> = (0..6)
        .map(|i| format!(r#"{{"msg":"Accept","sender":"sender/{n}","msgId":"t/{n}x{batch}x{i}","class":0,"timeLeft":8000000000,"calledNode":1}}"#))
        .collect();
    match batch {
        0 => format!(
            r#"{{"msg":"Configure","sender":"sender/{n}","rngSeed":{n},"profileData":{PROFILE}}},{ENDPOINT_LIST},{{"msg":"Sync","sender":"sender/{n}","seqNo":1,"mode":2,"rosterId":0}}"#
        ),
        1 => accepts.join(","),
        _ => format!(
            r#"{{"msg":"Returned","sender":"sender/{n}","msgId":"t/{n}x1x{}","status":"{}","seqNo":0,"endpoint":"h:1","costTime":20000000}},{}"#,
            batch % 2,
            if n == 1 {
                "turned_away"
            } else {
                "server_error"
            },
            accepts.join(",")
        ),
    }
}

/// Four batches with the requests for these senders.
fn batches(senders: &[usize]) -> String {
    (0..4)
        .map(|batch| {
            let requests: Vec<String> =
                senders.iter().map(|&n| sender_requests(n, batch)).collect();
            format!(
                "{{\"atTime\":{},\"msgs\":[{}]}}\n",
                1_000_000_000 + batch as u64 * 50_000_000,
                requests.join(",")
            )
        })
        .collect()
}

/// All actions in the replies to this input.
fn actions(input: &str) -> Vec<String> {
    let output = run(input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("utf-8");
    text.lines()
        .flat_map(|line| {
            let reply: serde_json::Value = serde_json::from_str(line).expect("a reply");
            reply["output"]
                .as_array()
                .expect("output")
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
        })
        .collect()
}

#[test]
fn actions_do_not_depend_on_other_senders_in_the_process() {
    let mut together = actions(&batches(&[0, 1, 2]));
    let mut separate: Vec<String> = (0..3).flat_map(|n| actions(&batches(&[n]))).collect();
    together.sort();
    separate.sort();
    assert!(together.iter().any(|action| action.contains("\"Send\"")));
    assert_eq!(together, separate);
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(actions(&batches(&[0, 1])), actions(&batches(&[0, 1])));
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_exits_with_success() {
    let output = run("{\"atTime\":1,\"msgs\":[]}\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"{\"output\":[]}\n");
    assert!(run("").status.success());
}

#[test]
fn a_list_replaces_one_with_the_same_number_in_the_same_batch() {
    let second = ENDPOINT_LIST.replace("h:1", "h:2");
    let input = format!(
        "{{\"atTime\":1,\"msgs\":[{},{second},{{\"msg\":\"Sync\",\"sender\":\"sender/0\",\"seqNo\":2,\"mode\":1,\"rosterId\":0}},{}]}}\n",
        sender_requests(0, 0),
        sender_requests(0, 1)
    );
    let sent: Vec<String> = actions(&input)
        .into_iter()
        .filter(|action| action.contains("\"Send\""))
        .collect();
    assert!(
        !sent.is_empty() && sent.iter().all(|action| action.contains("h:2")),
        "{sent:?}"
    );
}

#[test]
fn invalid_input_ends_the_adapter_with_one_line_on_standard_error() {
    for input in [
        "not json\n",
        "{\"msgs\":[]}\n",
        "{\"atTime\":\"x\",\"msgs\":[]}\n",
        "{\"atTime\":1,\"msgs\":[{\"msg\":\"Wake\",\"sender\":\"sender/9\",\"name\":\"a\"}]}\n",
        "{\"atTime\":1,\"msgs\":[{\"msg\":\"Nonsense\",\"sender\":\"sender/9\"}]}\n",
        "{\"atTime\":1,\"msgs\":[{\"msg\":\"Configure\",\"sender\":\"sender/9\",\"rngSeed\":1,\"profileData\":{}}]}\n",
    ] {
        let output = run(input);
        assert_eq!(output.status.code(), Some(1), "{input}");
        assert!(output.stdout.is_empty(), "{input}");
        let error = String::from_utf8(output.stderr).expect("utf-8");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(!error.contains("panicked"), "{error}");
    }
}

#[test]
fn a_restarted_sender_has_no_state_but_the_endpoint_list() {
    let input = format!(
        "{{\"atTime\":1,\"msgs\":[{},{}]}}\n{{\"atTime\":5000001,\"msgs\":[{{\"msg\":\"Destroy\",\"sender\":\"sender/0\"}},{},{}]}}\n",
        sender_requests(0, 0),
        sender_requests(0, 1),
        sender_requests(0, 0),
        sender_requests(0, 1).replace("x1x", "x7x")
    );
    let sent: Vec<String> = actions(&input)
        .into_iter()
        .filter(|action| action.contains("\"Send\""))
        .collect();
    let after_restart: Vec<&String> = sent
        .iter()
        .filter(|action| action.contains("x7x"))
        .collect();
    assert_eq!(
        (sent.len() - after_restart.len(), after_restart.len()),
        (2, 2),
        "half of four slots before and after the restart: {sent:?}"
    );
}
