//! The journal: opened at the start, what it was found with, and its upkeep.

use super::*;

/// How long compaction rests when it can't go on, and how often the log says so.
const STUCK_PAUSE: Duration = Duration::from_millis(100);

impl Reactor {
    pub(super) fn wants_compaction(&self, now: Time) -> bool {
        self.journal
            .as_ref()
            .is_some_and(|j| j.wants_compaction(millis(now)))
    }

    /// One bounded step of the journal's upkeep.
    pub(super) fn compact(&mut self) {
        let now = self.clock.now();
        let Some(journal) = &mut self.journal else {
            return;
        };
        self.upkeep_at = now + self.platform_settings.settings.tick;
        let step = journal.compact(millis(now));
        if step.stuck && now >= self.next_compaction_warning {
            self.next_compaction_warning = now + COMPACTION_WARNING_INTERVAL;
            let stats = journal.stats();
            log::warn!(room = stats.room, bytes = stats.bytes, live = stats.live;
                "journal: compaction is held up, {} bytes free, {} of {} live; tried again",
                stats.room, stats.live, stats.bytes);
        }
        if step.stuck {
            self.upkeep_at = now + STUCK_PAUSE;
        }
    }
}

pub(super) fn open_journal(state: State, now: u64) -> Result<(Journal<Folder>, Recovered), String> {
    let shown = state.dir.display().to_string();
    let folder = Folder::new(&state.dir, state.disk).map_err(|e| format!("{shown}: {e}"))?;
    let mut fresh_key = Key::default();
    getrandom::fill(&mut fresh_key)
        .map_err(|e| format!("no random bytes for the journal's key: {e}"))?;
    let options = Options {
        disk: state.disk,
        key: state.key,
        fresh_key,
        segment: None,
    };
    Journal::open(folder, &options, now).map_err(|e| format!("{shown}: {e}"))
}

/// What the on-call staff should know of how the folder was found.
pub(super) fn log_recovered(recovered: &Recovered) {
    let (open, final_report, completed) = recovered.counts;
    log::info!(open, final_report, completed, latest_ms = recovered.latest;
        "journal: {open} messages open, {final_report} final reports due, {completed} completed ids kept");
    if let Some((file, bytes)) = &recovered.torn {
        log::warn!(segment = file.as_str(), bytes = *bytes;
            "journal: {bytes} bytes of a write that was cut off at the end of {file}; nothing in it was promised");
    }
    for d in &recovered.damage {
        log::error!(segment = d.file.as_str(), offset = d.offset, bytes = d.len, why:? = d.why, messages = d.taken;
            "journal: damage ({:?}) in {} at {}, {} bytes; at most {} messages accepted there are lost",
            d.why, d.file, d.offset, d.len, d.taken);
    }
    for lost in &recovered.lost {
        log::error!(id = lost.id.as_str(), segment = lost.file.as_str(), offset = lost.offset;
            "journal: the record of {} is lost, an attempt of it is in {} at {}; reported as failed",
            lost.id, lost.file, lost.offset);
    }
    if recovered.doubted > 0 {
        log::error!(messages = recovered.doubted;
            "journal: {} open messages count as possibly executed because of damage", recovered.doubted);
    }
    for file in recovered
        .foreign
        .iter()
        .filter(|f| !state_file::is_ours(f) && !handover_exchange::FILE_NAMES.contains(&f.as_str()))
    {
        log::warn!(file = file.as_str(); "journal: {file} is not of this folder; left alone, it takes room");
    }
    if recovered.carried_over > 0 {
        log::info!(records = recovered.carried_over;
            "journal: {} records carried over from the old ledger", recovered.carried_over);
    }
}
