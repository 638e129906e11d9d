//! Digests of requests and their parts.

use http::Method;
use sha2::{Digest as _, Sha256};
use skylarkshore_core::id::Digest;

/// Digests parts with their lengths, so that different lists of parts don't collide.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.len().to_be_bytes());
        hasher.update(part);
    }
    Digest(hasher.finalize().into())
}

/// Returns the digest by which a repeated request is recognized.
pub fn request_digest(method: &Method, path: &str, body: &[u8]) -> Digest {
    digest(&[method.as_str().as_bytes(), path.as_bytes(), body])
}
