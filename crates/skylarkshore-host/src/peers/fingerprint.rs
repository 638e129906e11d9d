//! Fingerprints of certificates.

use quinn::Connection;
use rustls::pki_types::CertificateDer;
use sha2::{Digest as _, Sha256};
use skylarkshore_core::id::Digest;

/// Returns the SHA-256 of a certificate.
pub(super) fn fingerprint(certificate: &CertificateDer<'_>) -> Digest {
    Digest(Sha256::digest(certificate).into())
}

/// Returns the certificate that the other end presented.
pub(super) fn presented_by(connection: &Connection) -> Option<CertificateDer<'static>> {
    let presented = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    presented.into_iter().next()
}
