//! Work on several threads.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Applies a function to each item on several threads; the results are in the order of the items.
///
/// # Panics
///
/// If the function does.
pub fn map<T: Sync, R: Send>(items: &[T], threads: usize, f: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(items.len()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let place = next.fetch_add(1, Ordering::Relaxed);
                    let Some(item) = items.get(place) else {
                        return;
                    };
                    let result = f(item);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((place, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(place, _)| *place);
    results.into_iter().map(|(_, result)| result).collect()
}
