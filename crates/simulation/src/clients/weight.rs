//! The weight of delivered messages by their latency.

use super::load::Class;
use super::submission::Origin;

/// What a message counts, 0 to 1: in full if delivered within its latency objective, half with each further such span,
/// nothing if undelivered or delivered after its time to live.
pub(super) fn delivered_weight(class: &Class, origin: &Origin) -> f64 {
    let Some(delivered) = origin.delivered else {
        return 0.0;
    };
    let latency = delivered.saturating_sub(origin.at);
    if latency > class.time_to_live {
        return 0.0;
    }
    let objective = class.latency_objective.as_secs_f64().max(1e-9);
    let spans_late = latency
        .saturating_sub(class.latency_objective)
        .as_secs_f64()
        / objective;
    if spans_late <= 0.0 {
        return 1.0;
    }
    0.5f64.powf(spans_late).max(class.late_share)
}
