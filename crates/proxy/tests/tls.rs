//! Client connections with TLS.

#![allow(clippy::unwrap_used, reason = "a test fails when a step does")]

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::Arc,
};

use futures_rustls::{
    pki_types::ServerName,
    rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned},
};
use hibiscusladder_proxy::{caller::Tls, settings::TlsSettings};
use support::{Cluster, DATABASE, Options, WORKSPACE};

/// Message `SSLRequest`: length and request code.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

fn message(kind: Option<u8>, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap().to_be_bytes();
    [kind.as_slice(), length.as_slice(), body].concat()
}

/// Guards against a key that is sent unencrypted although TLS is configured and the client requests it.
#[test]
fn query_over_tls() {
    let certified = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    let folder = std::env::temp_dir().join(format!("hibiscusladder-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (cert, key) = (folder.join("cert.pem"), folder.join("key.pem"));
    std::fs::write(&cert, certified.cert.pem()).unwrap();
    std::fs::write(&key, certified.signing_key.serialize_pem()).unwrap();
    let tls = Tls::load(&TlsSettings { cert, key }).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let cluster =
        Cluster::start_with(Options { instances: 1, tls: Some(tls), ..Options::default() });

    let mut stream = TcpStream::connect(cluster.instances[0].address).unwrap();
    stream.write_all(&SSL_REQUEST).unwrap();
    let mut answer = [0];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"S");
    let mut roots = RootCertStore::empty();
    roots.add(certified.cert.der().clone()).unwrap();
    let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    let name = ServerName::try_from("localhost").unwrap();
    let client = ClientConnection::new(Arc::new(config), name).unwrap();
    let mut stream = StreamOwned::new(client, stream);
    let body = format!("user\0{WORKSPACE}\0database\0{DATABASE}\0\0");
    let startup = [&196_608_u32.to_be_bytes(), body.as_bytes()].concat();
    let password = format!("{}\0", cluster.key.expose());
    for bytes in [
        message(None, &startup),
        message(Some(b'p'), password.as_bytes()),
        message(Some(b'Q'), b"SELECT 41 + 1\0"),
        message(Some(b'X'), b""),
    ] {
        stream.write_all(&bytes).unwrap();
    }
    stream.flush().unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert!(answer.windows(2).any(|part| part == b"42"), "{answer:?}");
}
