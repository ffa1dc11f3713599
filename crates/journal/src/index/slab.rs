//! Storage of the index's entries, addressed by slot.

use super::entry::Entry;

/// Entries per block. Storage grows by whole blocks, so that no single insertion has to move all entries.
const BLOCK_ENTRIES: usize = 1024;

/// Entries by slot, in blocks; free slots are reused.
#[derive(Debug, Default)]
pub(super) struct Slab {
    blocks: Vec<Vec<Option<Entry>>>,
    /// Slots that are free for reuse.
    free: Vec<u32>,
}

impl Slab {
    pub(super) fn get(&self, slot: u32) -> Option<&Entry> {
        self.blocks
            .get(slot as usize / BLOCK_ENTRIES)?
            .get(slot as usize % BLOCK_ENTRIES)?
            .as_ref()
    }

    pub(super) fn get_mut(&mut self, slot: u32) -> Option<&mut Entry> {
        self.blocks
            .get_mut(slot as usize / BLOCK_ENTRIES)?
            .get_mut(slot as usize % BLOCK_ENTRIES)?
            .as_mut()
    }

    /// Adds an entry and returns its slot.
    pub(super) fn insert(&mut self, entry: Entry) -> u32 {
        if let Some(slot) = self.free.pop() {
            self.blocks[slot as usize / BLOCK_ENTRIES][slot as usize % BLOCK_ENTRIES] = Some(entry);
            return slot;
        }
        if self.blocks.last().is_none_or(|b| b.len() == BLOCK_ENTRIES) {
            self.blocks.push(Vec::with_capacity(BLOCK_ENTRIES));
        }
        let last = self.blocks.len() - 1;
        self.blocks[last].push(Some(entry));
        (last * BLOCK_ENTRIES + self.blocks[last].len() - 1) as u32
    }

    /// Frees a slot.
    pub(super) fn remove(&mut self, slot: u32) {
        let entry = &mut self.blocks[slot as usize / BLOCK_ENTRIES][slot as usize % BLOCK_ENTRIES];
        if entry.take().is_some() {
            self.free.push(slot);
        }
    }
}
