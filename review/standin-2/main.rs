//! The stand-ins of review 2: `standin CASE FOLDER` plays one case; it is started by the `run.sh` of the case.

mod cut_answer;
mod deep_folder;
mod discovery_moved;
mod kit;
mod memory;
mod push_restart;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (
        arguments.next().unwrap_or_default(),
        arguments.next().unwrap_or_default(),
    );
    kit::begin(&PathBuf::from(folder));
    kit::note(if kit::trouble() {
        "with the disruption"
    } else {
        "TROUBLE=0: without the disruption"
    });
    match case.as_str() {
        "push-restart" => push_restart::play(),
        "discovery-moved" => discovery_moved::play(),
        "cut-answer" => cut_answer::play(),
        "deep-folder" => deep_folder::play(),
        "memory" => memory::play(),
        other => kit::give_up(&format!("no case '{other}'")),
    }
}
