//! The key pair that a process makes when it starts, and what is built on it.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::version::TLS13;
use skylarkshore_core::id::Digest;

use crate::error::Error;
use crate::peers::directory::Directory;
use crate::peers::fingerprint::fingerprint;
use crate::peers::transport::LinkTimings;
use crate::peers::verifier::{PublishedClients, PublishedServer, provider};

/// The name in every certificate; nobody checks it, as certificates are pinned.
pub(super) const SERVER_NAME: &str = "skylarkshore";
/// Another version of the messages gets another name here.
const PROTOCOL: &[u8] = b"skylarkshore/1";

/// A process's certificate and its private key.
#[derive(Debug)]
pub(crate) struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
}

impl Identity {
    /// Makes a new key pair.
    ///
    /// # Errors
    ///
    /// The system gives no randomness.
    pub(crate) fn generate() -> Result<Self, Error> {
        let made = rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()])?;
        let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
        Ok(Self { certificate: made.cert.der().clone(), key })
    }

    /// Returns what is published for peers to check.
    pub(crate) fn fingerprint(&self) -> Digest {
        fingerprint(&self.certificate)
    }

    fn key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }

    /// Makes what takes connections from peers with published certificates.
    pub(super) fn server_config(
        &self,
        directory: &Arc<Directory>,
        timings: LinkTimings,
    ) -> Result<ServerConfig, Error> {
        let verifier = PublishedClients::new(Arc::clone(directory));
        let mut tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])?
            .with_client_cert_verifier(Arc::new(verifier))
            .with_single_cert(vec![self.certificate.clone()], self.key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let quic = QuicServerConfig::try_from(tls).map_err(|_err| unsuitable())?;
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(timings.transport());
        Ok(config)
    }

    /// Makes what connects to the peer with this certificate and to nobody else.
    pub(super) fn client_config(
        &self,
        expected: Digest,
        timings: LinkTimings,
    ) -> Result<ClientConfig, Error> {
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(PublishedServer::new(expected)))
            .with_client_auth_cert(vec![self.certificate.clone()], self.key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let quic = QuicClientConfig::try_from(tls).map_err(|_err| unsuitable())?;
        let mut config = ClientConfig::new(Arc::new(quic));
        config.transport_config(timings.transport());
        Ok(config)
    }
}

fn unsuitable() -> Error {
    Error::Tls(rustls::Error::General("no cipher suite for QUIC".to_owned()))
}
