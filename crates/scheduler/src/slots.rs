//! Slot allocation in a vector: freed slots are reused, so that indices stay valid and memory stays bounded.

/// Stores a value in a free slot, or else in a new one, and returns its index.
pub(crate) fn insert_reusing<T>(slots: &mut Vec<T>, free: &mut Vec<usize>, value: T) -> usize {
    let index = free.pop().unwrap_or(slots.len());
    match slots.get_mut(index) {
        Some(slot) => *slot = value,
        None => slots.push(value),
    }
    index
}
