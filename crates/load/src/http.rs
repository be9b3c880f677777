//! HTTP requests to the admin addresses of emulators.

use std::io;

use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Bytes, client::conn::http1};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// Sends one request to `address` and returns the body of the answer.
///
/// # Errors
///
/// Returns an error when the connection fails, or when the status is not a success; the error then has the status and
/// the body.
pub async fn call(address: &str, method: Method, path: &str, body: &str) -> io::Result<String> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
    let driver = smol::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_owned())))
        .map_err(io::Error::other)?;
    let response = sender.send_request(req).await.map_err(io::Error::other)?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    drop(driver);
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() { Ok(text) } else { Err(io::Error::other(format!("{status}: {text}"))) }
}
