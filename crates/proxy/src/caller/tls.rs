//! TLS for client connections.

use std::sync::Arc;

use futures_rustls::{
    TlsAcceptor,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    rustls::ServerConfig,
};
use thiserror::Error;

use crate::settings::TlsSettings;

/// The certificate or its key cannot be loaded.
#[derive(Debug, Error)]
#[error("TLS cannot be used ({reason}); check cert and key in [tls]")]
pub struct TlsError {
    reason: String,
}

impl TlsError {
    fn new<E>(error: E) -> Self
    where
        E: std::fmt::Display,
    {
        Self { reason: error.to_string() }
    }
}

/// Certificate and key for TLS connections of clients.
#[derive(Clone)]
pub struct Tls {
    acceptor: TlsAcceptor,
}

impl std::fmt::Debug for Tls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tls").finish_non_exhaustive()
    }
}

impl Tls {
    /// Loads certificate chain and key from the PEM files in `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error when a file cannot be read or the key does not belong to the certificate.
    pub fn load(settings: &TlsSettings) -> Result<Self, TlsError> {
        let certificates = CertificateDer::pem_file_iter(&settings.cert).map_err(TlsError::new)?;
        let certificates = certificates.collect::<Result<_, _>>().map_err(TlsError::new)?;
        let key = PrivateKeyDer::from_pem_file(&settings.key).map_err(TlsError::new)?;
        let config = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(certificates, key)
            .map_err(TlsError::new)?;
        Ok(Self { acceptor: TlsAcceptor::from(Arc::new(config)) })
    }

    pub(super) const fn acceptor(&self) -> &TlsAcceptor {
        &self.acceptor
    }
}
