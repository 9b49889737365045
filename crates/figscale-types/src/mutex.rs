//! Locks a mutex; a panic elsewhere is no reason for a second one.

use std::sync;

/// Locks the mutex, also when a thread panicked while it held the lock.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
