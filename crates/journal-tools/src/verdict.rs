//! Verification of a folder.

use cranehill_journal::{DamageCause, DamagedRange, LostMessage, TornWrite};

use crate::error::ToolError;
use crate::snapshot::Snapshot;

/// Above this number of messages, the bound on those in a damaged range is printed as unknown.
const MAX_ESTIMATED_MESSAGES: u32 = 1_000_000;

/// The damage to a folder, and the messages that a start of the sender would recover.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Ranges that can't be read or are missing.
    pub damage: Vec<DamagedRange>,
    /// Messages whose record of acceptance is lost.
    pub lost: Vec<LostMessage>,
    /// Number of pending messages that count as possibly executed because of damage.
    pub possibly_executed: usize,
    /// A torn write at the end of the head.
    pub torn: Option<TornWrite>,
    /// Names of files that are not segments of this folder, for example signed under another key.
    pub foreign: Vec<String>,
    /// Number of pending messages.
    pub open: u64,
    /// Number of messages whose final report is due.
    pub final_report: u64,
    /// Number of completed messages whose ids are retained.
    pub completed: u64,
    /// Number of segments.
    pub segments: usize,
    /// Number of readable frames in all segments.
    pub frames: u64,
}

impl Verdict {
    /// Whether the folder has no damage and no lost message. A torn write at the end of the head is not damage, since
    /// none of its records had been acknowledged.
    pub fn sound(&self) -> bool {
        self.damage.is_empty() && self.lost.is_empty()
    }

    /// The verdict as lines of text: one for each finding, then a summary.
    pub fn lines(&self) -> Vec<String> {
        let mut lines: Vec<String> = self.damage.iter().map(damage_line).collect();
        lines.extend(self.lost.iter().map(|lost| {
            format!(
                "{} at {}: an attempt of {}, whose own record is gone",
                lost.file, lost.offset, lost.id
            )
        }));
        lines.extend(self.torn.iter().map(|TornWrite { file, bytes }| {
            format!("{file}: {bytes} bytes of a write that was cut off; nothing in it was promised")
        }));
        lines.extend(
            self.foreign
                .iter()
                .map(|file| format!("{file}: not of this folder; left alone")),
        );
        lines.push(format!(
            "{} segments, {} frames; {} notices open ({} in doubt), {} reports due, {} ended ids remembered",
            self.segments,
            self.frames,
            self.open,
            self.possibly_executed,
            self.final_report,
            self.completed
        ));
        lines
    }
}

/// The line of text for a damaged range.
fn damage_line(range: &DamagedRange) -> String {
    let cause = match range.cause {
        DamageCause::Damaged => "no frame can be read",
        DamageCause::Short => "the file ends too early",
        DamageCause::Altered => "not what was sealed: an older or altered copy",
        DamageCause::Missing => "the file is missing",
        DamageCause::Unlisted => "the manifest can't be read: nobody knows what is missing",
    };
    let messages = if range.max_messages > MAX_ESTIMATED_MESSAGES {
        "any number of".into()
    } else {
        format!("up to {}", range.max_messages)
    };
    format!(
        "{} at {}, {} bytes: {cause}; {messages} notices taken on there",
        range.file, range.offset, range.len
    )
}

/// Reads the whole folder and reports its damage.
///
/// # Errors
/// If the folder can't be read as a journal.
pub fn verify(snapshot: &Snapshot) -> Result<Verdict, ToolError> {
    let contents = snapshot.contents()?;
    let segments = &contents.scan.segments;
    let recovered = contents.recovered;
    let counts = recovered.counts;
    Ok(Verdict {
        damage: recovered.damage,
        lost: recovered.lost_messages,
        possibly_executed: recovered.possibly_executed,
        torn: recovered.torn_write,
        foreign: recovered.foreign_files,
        open: counts.open,
        final_report: counts.final_report_due,
        completed: counts.completed,
        segments: segments.len(),
        frames: segments.values().map(|s| u64::from(s.frames)).sum(),
    })
}
