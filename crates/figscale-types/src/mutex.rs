//! Locking of mutexes without regard to poisoning.

use std::sync;

/// Locks the mutex, also if a thread panicked while it held the lock, so that one
/// panic does not cause others.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
