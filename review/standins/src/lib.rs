//! Stand-ins for the platform's store, replicas and callers, and the start of the project's own program.
//!
//! They use the standard library only.

pub mod config;
pub mod host;
pub mod http;
pub mod json;
pub mod record;
pub mod replica;
pub mod same_port;
pub mod store;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group =
            chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = ALPHABET[(group >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
