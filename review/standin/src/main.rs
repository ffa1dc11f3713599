//! Plays one case of the review against the project's sender: `standin NUMBER FOLDER`, where `FOLDER` is the case's.
//!
//! Exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod agent;
mod case1;
mod case2;
mod case3;
mod client;
mod endpoint;
mod http;
mod record;
mod sender;
mod settings;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// A case that takes longer could not run. Its script stops it then, and the senders end with it.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [number, folder] = arguments.as_slice() else {
        eprintln!("usage: standin NUMBER FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let Some(root) = folder.ancestors().nth(2) else {
        eprintln!("{}: not a case's folder", folder.display());
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let (root, playing) = (root.to_owned(), record.clone());
    let play = match number.as_str() {
        "1" => case1::play,
        "2" => case2::play,
        "3" => case3::play,
        _ => {
            eprintln!("no case {number}");
            return ExitCode::from(2);
        }
    };
    let (result_sender, result) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        // A panic drops the sending side as well as the senders, which ends them.
        let _ = result_sender.send(play(&root, trouble, &playing));
    });
    let (code, verdict) = match result.recv_timeout(TIME_LIMIT) {
        Ok(Ok(true)) => (1, "the rule was broken".to_owned()),
        Ok(Ok(false)) => (0, "the rule held".to_owned()),
        Ok(Err(why)) => (2, format!("the case couldn't run: {why}")),
        Err(e) => {
            sender::kill_all();
            (2, format!("the case couldn't run: {e}"))
        }
    };
    let name = if trouble { "with the disruption" } else { "without the disruption" };
    record.add("judge", &format!("{name}: {verdict}"));
    record.write(&folder.join("record.txt"));
    println!("case {number} {name}: {verdict}");
    ExitCode::from(code)
}
