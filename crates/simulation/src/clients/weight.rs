//! The weight of delivered messages by their latency.

use super::load::Class;
use super::submission::Origin;

/// The weight of a message, 0 to 1. It is 1 if the message was delivered within its latency objective, halves with each
/// further such time down to [`Class::late_share`], and is 0 if the message was undelivered or later than its time to live.
pub(super) fn delivered_weight(class: &Class, origin: &Origin) -> f64 {
    let Some(delivered) = origin.delivered else {
        return 0.0;
    };
    let latency = delivered.saturating_sub(origin.at);
    if latency > class.time_to_live {
        return 0.0;
    }
    let objective = class.latency_objective.as_secs_f64().max(1e-9);
    let objectives_late = latency
        .saturating_sub(class.latency_objective)
        .as_secs_f64()
        / objective;
    if objectives_late <= 0.0 {
        return 1.0;
    }
    0.5f64.powf(objectives_late).max(class.late_share)
}
