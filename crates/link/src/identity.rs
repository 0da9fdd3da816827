//! Certificates of peers and the TLS configuration made from them.

use anyhow::{Context, Result, ensure};
use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rustls::{
    RootCertStore, crypto::ring::default_provider, server::WebPkiClientVerifier, version::TLS13,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use std::{path::Path, sync::Arc, time::Duration};

/// Subject alternative name in every peer's certificate.
pub const PEER_NAME: &str = "peer.bambooroad";

/// Idle time after which a connection closes.
const IDLE_TIMEOUT_MS: u32 = 8_000;
/// Flow control window of one stream.
const STREAM_WINDOW_BYTES: u32 = 512 * 1024;
/// Round-trip estimate until the first measurement.
const INITIAL_RTT: Duration = Duration::from_millis(30);

/// Certificate chain, private key and trusted authorities of one gateway.
#[derive(Debug)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: RootCertStore,
}

impl Identity {
    /// Reads an identity from PEM files.
    ///
    /// # Errors
    /// A file that cannot be read or contains no certificate or key.
    pub fn read(certificate: &Path, key: &Path, authorities: &[impl AsRef<Path>]) -> Result<Self> {
        let chain = read_certificates(certificate)?;
        let key = PrivateKeyDer::from_pem_file(key)
            .with_context(|| format!("reading private key from {}", key.display()))?;
        let mut roots = RootCertStore::empty();
        for path in authorities {
            for authority in read_certificates(path.as_ref())? {
                roots.add(authority).context("adding a trusted authority")?;
            }
        }
        ensure!(!roots.is_empty(), "no trusted authority is configured");
        Ok(Self { chain, key, authorities: roots })
    }

    /// QUIC configuration for accepting connections.
    pub(crate) fn server(&self) -> Result<ServerConfig> {
        let provider = Arc::new(default_provider());
        let roots = Arc::new(self.authorities.clone());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
        let tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
        config.transport_config(transport());
        Ok(config)
    }

    /// QUIC configuration for opening connections.
    pub(crate) fn client(&self) -> Result<ClientConfig> {
        let tls = rustls::ClientConfig::builder_with_provider(Arc::new(default_provider()))
            .with_protocol_versions(&[&TLS13])?
            .with_root_certificates(self.authorities.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
        config.transport_config(transport());
        Ok(config)
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let context = || format!("reading certificates from {}", path.display());
    let certificates: Result<Vec<_>, _> =
        CertificateDer::pem_file_iter(path).with_context(context)?.collect();
    let certificates = certificates.with_context(context)?;
    ensure!(!certificates.is_empty(), "{} contains no certificate", path.display());
    Ok(certificates)
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_concurrent_uni_streams(VarInt::from_u32(2))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(2 * STREAM_WINDOW_BYTES))
        .send_window(u64::from(STREAM_WINDOW_BYTES))
        .datagram_receive_buffer_size(None)
        .initial_rtt(INITIAL_RTT);
    Arc::new(config)
}

/// Certificate authority of a cluster.
#[derive(Debug)]
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    /// Generates a key pair and a self-signed certificate.
    ///
    /// # Errors
    /// The generator's error.
    pub fn generate() -> Result<Self> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key)?.pem();
        Ok(Self { issuer: Issuer::new(params, key), pem })
    }

    /// Certificate of the authority, PEM.
    #[must_use]
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Issues a certificate and private key for one peer, both PEM.
    ///
    /// # Errors
    /// The generator's error.
    pub fn issue(&self) -> Result<(String, String)> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok((certificate.pem(), key.serialize_pem()))
    }
}
