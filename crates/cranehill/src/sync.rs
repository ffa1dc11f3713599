//! Locking that survives a panic of another thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a holder has panicked: its data are counts and lists that stay valid.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
