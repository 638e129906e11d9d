//! Tests for the authentication of peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Connection, Endpoint};
use rustls::DigitallySignedStruct;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::ring::default_provider;
use rustls::pki_types::{CertificateDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use tokio::time::timeout;

use crate::deployment::{Deployment, LIMIT};

/// Accepts any server certificate; the tests check only the server's verification of clients.
#[derive(Debug)]
struct AnyServer;

impl ServerCertVerifier for AnyServer {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn verify_tls13_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        default_provider().signature_verification_algorithms.supported_schemes()
    }
}

fn unknown_client() -> ClientConfig {
    let certified = rcgen::generate_simple_self_signed(["skylarkshore".to_owned()]).unwrap();
    let key = PrivatePkcs8KeyDer::from(certified.signing_key.serialize_der());
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AnyServer))
        .with_client_auth_cert(vec![certified.cert.der().clone()], key.into())
        .unwrap();
    tls.alpn_protocols = vec![b"skylarkshore/1".to_vec()];
    ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls).unwrap()))
}

async fn connect(to: SocketAddr) -> Option<Connection> {
    let mut endpoint = Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
    endpoint.set_default_client_config(unknown_client());
    timeout(LIMIT, endpoint.connect(to, "skylarkshore").unwrap()).await.unwrap().ok()
}

/// An attacker in the network generates a key pair and connects to a host's peer
/// address. If its messages were accepted, it could hand over engines, refuse
/// requests everywhere or put its own rules into force.
#[tokio::test]
async fn peer_with_unknown_certificate_is_rejected() {
    let deployment = Deployment::start().await;
    // The handshake may complete on the client's side before the server rejects its certificate.
    if let Some(connection) = connect(deployment.peers).await {
        let closed = timeout(LIMIT, connection.closed()).await.unwrap();
        assert!(
            closed.to_string().contains("closed") || closed.to_string().contains("certificate"),
            "{closed}"
        );
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let metrics = deployment.operator("/metrics").await.unwrap().text();
    assert!(!metrics.contains("skylarkshore_peer_messages_total{direction=\"received\"}"), "{metrics}");
}
