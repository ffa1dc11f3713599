//! The auditors of the rules, one module for each rule.

mod answers;
mod attempts;
mod drains;
mod idle_connections;
mod in_time;
mod one_end;
mod ordering;
mod repeats;
mod retry_after;
mod second_copy;
mod slow_start;

use super::limits::Class;
use super::observation::RuleAuditor;

/// Creates an auditor for each rule.
pub(super) fn all(classes: Vec<Class>) -> Vec<Box<dyn RuleAuditor>> {
    vec![
        Box::new(one_end::OneEnd),
        Box::new(in_time::InTime),
        Box::new(second_copy::SecondCopy::default()),
        Box::new(repeats::Repeats::new(classes)),
        Box::new(attempts::Attempts::default()),
        Box::new(drains::Drains::default()),
        Box::new(retry_after::RetryAfter::default()),
        Box::new(slow_start::SlowStart::default()),
        Box::new(idle_connections::IdleConnections::default()),
        Box::new(answers::Answers),
        Box::new(ordering::Ordering::default()),
    ]
}
