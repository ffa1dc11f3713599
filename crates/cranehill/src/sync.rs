//! Locking of mutexes that another thread may have poisoned.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, even if it is poisoned: the counts and lists that it guards stay valid if a thread panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
