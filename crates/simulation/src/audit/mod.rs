//! Judges a recorded run against the operators' rules.
//!
//! Start at [`Auditor`]: it reads [`AuditRecord`]s in the order of time and gives a [`Verdict`] for each [`Rule`]. It shares no code
//! with the sender, and knows of it only what passed on the wire. A bound in time counts as broken only if it was
//! exceeded by more than the recording itself was delayed; a smaller excess is not judged.

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
pub use limits::{Class, Figures};
pub use record::{Answer, AuditEvent, AuditRecord, DeliveryOutcome, FinalReport, Listed};
pub use rule::Rule;
