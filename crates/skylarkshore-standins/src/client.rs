//! Minimal HTTP client without retries that opens a connection per request. Start with [`Call`].

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// Why a call has no complete answer.
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The connection couldn't be opened, so the request wasn't sent.
    #[display("can't connect: {_0}; check that it runs and the address is right")]
    Connect(std::io::Error),
    /// The connection broke before the answer was complete.
    #[display("the connection broke: {_0}; the request may have been run")]
    Broken(hyper::Error),
    /// The request isn't valid HTTP.
    #[display("the request can't be sent: {_0}; correct its path or headers")]
    Request(http::Error),
    /// The answer isn't the expected JSON.
    #[display("the answer isn't the expected JSON: {_0}")]
    Json(serde_json::Error),
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the body isn't JSON of the expected type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// An answer whose body is still being received.
#[derive(Debug)]
pub struct Streaming {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    body: Incoming,
}

impl Streaming {
    /// Waits for the next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CallError> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Waits for the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn rest(self) -> Result<Answer, CallError> {
        let body = self.body.collect().await?.to_bytes();
        Ok(Answer { status: self.status, headers: self.headers, body })
    }
}

/// Builder of a request.
#[derive(Debug)]
pub struct Call {
    address: SocketAddr,
    builder: http::request::Builder,
    body: Bytes,
}

impl Call {
    /// Creates a GET request.
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Creates a POST request with a JSON body.
    pub fn post(address: SocketAddr, path: &str, body: impl Into<Bytes>) -> Self {
        let mut call = Self::new(Method::POST, address, path).header("content-type", "application/json");
        call.body = body.into();
        call
    }

    /// Creates a request without a body.
    pub fn new(method: Method, address: SocketAddr, path: &str) -> Self {
        let builder = Request::builder().method(method).uri(path).header(header::HOST, address.to_string());
        Self { address, builder, body: Bytes::new() }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.builder = self.builder.header(name, value);
        self
    }

    /// Sends the request and waits for the status and headers of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection couldn't be opened or broke.
    pub async fn stream(self) -> Result<Streaming, CallError> {
        let req = self.builder.body(Full::new(self.body))?;
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let (parts, body) = sender.send_request(req).await?.into_parts();
        Ok(Streaming { status: parts.status, headers: parts.headers, body })
    }

    /// Sends the request and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection couldn't be opened or broke.
    pub async fn send(self) -> Result<Answer, CallError> {
        self.stream().await?.rest().await
    }
}
