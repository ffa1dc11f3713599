//! Checks a recorded run against the operators' rules.
//!
//! Start at [`Auditor`]: it reads [`AuditRecord`]s in the order of time and returns a [`Verdict`] for each [`Rule`]. It shares
//! no code with the sender, and sees only what passed on the wire. A time bound counts as violated only if it was exceeded
//! by more than the delay of the recording; a smaller excess is not judged.

mod auditor;
mod calls;
mod findings;
mod limits;
mod messages;
mod observation;
mod record;
mod rule;
mod rules;

pub use auditor::Auditor;
pub use findings::{Verdict, Violation};
pub use limits::{Class, RuleLimits};
pub use record::{Answer, AuditEvent, AuditRecord, DeliveryOutcome, FinalReport, Listed};
pub use rule::Rule;
