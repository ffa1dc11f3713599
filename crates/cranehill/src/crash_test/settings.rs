//! The sender's configuration in a crash test: three classes, and destinations with and without batches.

use std::net::SocketAddr;
use std::time::Duration;

use super::delivery_log::CLASSES;

/// Time from submission until a message expires. Short, so that the last process need not run long.
pub(super) const MESSAGE_LIFETIME: Duration = Duration::from_millis(3000);
/// Maximum number of attempts of a message, retries included.
pub(super) const MAX_ATTEMPTS: usize = 6;
/// The tenant of all messages.
pub(super) const TENANT: &str = "onda-central";

/// The text of the configuration file.
pub(super) fn configuration(
    platform: SocketAddr,
    destinations: &[SocketAddr],
    disk_mb: f64,
) -> String {
    let classes: Vec<String> = CLASSES.iter().map(|name| class(name)).collect();
    let classes = classes.join(",");
    let servers: Vec<String> = destinations
        .iter()
        .enumerate()
        .map(|(number, address)| server(number, *address))
        .collect();
    let servers = servers.join(",");
    format!(
        r#"{{"name":"n0","seed":"1f","listen":"127.0.0.1:0","discovery":"{platform}",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256,"disk_mb":{disk_mb}}},
"known":{{"version":1,"full":true,"servers":[{servers}]}},
"settings":{{"classes":[{classes}],
"familyInfo":{{"callsOut":16,"kindApart":[false,false],"losesWorth":"halving","perCall":[5,1]}},"membershipMode":"push",
"models":["bulk-directory","station"],"nInstances":1,
"policyLimits":{{"attemptsCap":{MAX_ATTEMPTS},"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":128,"probes":false,"retryAfter":true}},
"rules":{{"cold":9100000000,"coldFrom":0.23,"fall":3000000000,"fallMultiple":1.5,"graceToAnswer":20000000}},
"tenants":[{{"name":"{TENANT}","quotaRps":1000.0}}],"tick":5000000,"weightKind":"rough","zone":0,"zones":["z"]}}}}"#
    )
}

fn class(name: &str) -> String {
    let nanos = MESSAGE_LIFETIME.as_nanos();
    format!(
        r#"{{"aim":1000000000,"deadline":{nanos},"dedupScope":"all","effect":"{name}","lateShare":0.4,"name":"{name}","window":{nanos},"worth":1.0}}"#
    )
}

/// A destination in the endpoint list. The first one accepts batches, the others single messages.
fn server(number: usize, address: SocketAddr) -> String {
    let kind = if number == 0 {
        "bulk-directory"
    } else {
        "station"
    };
    format!(
        r#"{{"id":"s-{number:04x}","addr":"{address}","zone":"z","kind":"{kind}","cell":{number},"state":"up","weight":0.0,"started_ms":0}}"#
    )
}
