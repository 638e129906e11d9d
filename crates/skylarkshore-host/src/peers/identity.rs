//! The key pair that a process generates at its start, and the TLS settings that use it.
//!
//! Start with [`Identity`].

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig};
use rcgen::{CertificateParams, KeyPair, SanType};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::version::TLS13;
use skylarkshore_core::id::{Digest, HostId};
use webpki::EndEntityCert;

use crate::error::Error;
use crate::peers::directory::Directory;
use crate::peers::fingerprint::fingerprint;
use crate::peers::transport::LinkTimings;
use crate::peers::verifier::{PinnedServerVerifier, PublishedClientVerifier, provider};

/// The name in every certificate; it isn't verified, as certificates are pinned.
pub(super) const SERVER_NAME: &str = "skylarkshore";
/// Prefix of the URI in every certificate that names the host.
const HOST_URI_PREFIX: &str = "skylarkshore://";
/// The ALPN protocol; the number is the version of the messages.
const ALPN_PROTOCOL: &[u8] = b"skylarkshore/1";

/// Returns the host that a certificate names.
///
/// Anyone can issue such a certificate; only the member key that publishes its fingerprint proves the host.
pub(super) fn claimed_host(certificate: &CertificateDer<'_>) -> Option<HostId> {
    let certificate = EndEntityCert::try_from(certificate).ok()?;
    let mut uris = certificate.valid_uri_names();
    uris.find_map(|uri| uri.strip_prefix(HOST_URI_PREFIX)?.parse().ok())
}

/// A process's certificate and its private key.
#[derive(Debug)]
pub(crate) struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
}

impl Identity {
    /// Generates a new key pair for a host.
    ///
    /// # Errors
    ///
    /// The system's random number generator fails.
    pub(crate) fn generate(host: &HostId) -> Result<Self, Error> {
        let mut params = CertificateParams::new([SERVER_NAME.to_owned()])?;
        params.subject_alt_names.push(SanType::URI(format!("{HOST_URI_PREFIX}{host}").try_into()?));
        let key_pair = KeyPair::generate()?;
        let certificate = params.self_signed(&key_pair)?.der().clone();
        Ok(Self { certificate, key: PrivatePkcs8KeyDer::from(key_pair.serialize_der()) })
    }

    /// Returns the fingerprint that is published for peers to verify.
    pub(crate) fn fingerprint(&self) -> Digest {
        fingerprint(&self.certificate)
    }

    fn key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }

    /// Builds the server settings, which accept any published certificate.
    pub(super) fn server_config(
        &self,
        directory: &Arc<Directory>,
        timings: LinkTimings,
    ) -> Result<ServerConfig, Error> {
        let verifier = PublishedClientVerifier::new(Arc::clone(directory));
        let mut tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])?
            .with_client_cert_verifier(Arc::new(verifier))
            .with_single_cert(vec![self.certificate.clone()], self.key())?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let quic = QuicServerConfig::try_from(tls).map_err(|_err| no_quic_cipher_suite())?;
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(timings.transport());
        Ok(config)
    }

    /// Builds the client settings, which accept only the peer with this fingerprint.
    pub(super) fn client_config(
        &self,
        expected: Digest,
        timings: LinkTimings,
    ) -> Result<ClientConfig, Error> {
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(PinnedServerVerifier::new(expected)))
            .with_client_auth_cert(vec![self.certificate.clone()], self.key())?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let quic = QuicClientConfig::try_from(tls).map_err(|_err| no_quic_cipher_suite())?;
        let mut config = ClientConfig::new(Arc::new(quic));
        config.transport_config(timings.transport());
        Ok(config)
    }
}

fn no_quic_cipher_suite() -> Error {
    Error::Tls(rustls::Error::General("no cipher suite for QUIC".to_owned()))
}
