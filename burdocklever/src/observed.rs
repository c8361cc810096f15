//! A value that tasks wait on.

use std::sync::{Mutex, PoisonError};

use tokio::sync::Notify;

/// A value whose changes wake the tasks that wait for it, in the order in which they
/// began to wait. Tokio's watch channel wakes them in a random order, so that runs of a
/// simulation with the same seed would differ.
#[derive(Debug, Default)]
pub(crate) struct Observed<T> {
    value: Mutex<T>,
    changed: Notify,
}

impl<T: Copy> Observed<T> {
    pub(crate) fn get(&self) -> T {
        *self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Modifies the value. Wakes the waiting tasks if `modify` returns true, and returns
    /// what it returns.
    pub(crate) fn modify(&self, modify: impl FnOnce(&mut T) -> bool) -> bool {
        let mut value = self.value.lock().unwrap_or_else(PoisonError::into_inner);
        let modified = modify(&mut value);
        drop(value);
        if modified {
            self.changed.notify_waiters();
        }
        modified
    }

    /// Returns once `condition` holds.
    pub(crate) async fn wait_for(&self, condition: impl Fn(&T) -> bool) {
        loop {
            // Created before the value is read, so that no change is missed in between.
            let changed = self.changed.notified();
            if condition(&self.get()) {
                return;
            }
            changed.await;
        }
    }
}
