//! A small HTTP/1.1 client for tests, the load tool and the cell.

use std::error;
use std::fmt;
use std::net;
use std::time;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use serde::Serialize;
use serde::de;

/// A call that got no complete response.
#[derive(Debug)]
pub struct CallError(Box<dyn error::Error + Send + Sync>);

impl CallError {
    fn new(cause: impl Into<Box<dyn error::Error + Send + Sync>>) -> Self {
        Self(cause.into())
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no complete response: {}", self.0)?;
        let mut cause = self.0.source();
        while let Some(error) = cause {
            write!(f, ": {error}")?;
            cause = error.source();
        }
        Ok(())
    }
}

impl error::Error for CallError {}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Value of a header as text; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }

    /// The body as text for display; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body, parsed from JSON.
    pub fn json<T: de::DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::new)
    }
}

/// A client that reuses connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        // The client retries a call on its own only if no part of it was written.
        let inner = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(time::Duration::from_secs(5))
            .build(connector);
        Self { inner }
    }
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    address: net::SocketAddr,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Call {
    /// A call without headers and body.
    pub fn new(method: Method, address: net::SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A `GET`.
    pub fn get(address: net::SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// A `PUT`.
    pub fn put(address: net::SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::PUT, address, path)
    }

    /// A `POST`.
    pub fn post(address: net::SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::POST, address, path)
    }

    /// A `DELETE`.
    pub fn delete(address: net::SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::DELETE, address, path)
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body.
    pub fn json(self, body: &impl Serialize) -> Result<Self, CallError> {
        let bytes = serde_json::to_vec(body).map_err(CallError::new)?;
        Ok(self.header("content-type", "application/json").body(bytes))
    }
}

impl Client {
    /// Makes a call and reads the complete response.
    pub async fn send(&self, call: Call) -> Result<Answer, CallError> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = Request::builder().method(call.method).uri(uri);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(call.body)).map_err(CallError::new)?;
        let response = self.inner.request(request).await.map_err(CallError::new)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(CallError::new)?;
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Like [`Client::send`], with a time limit.
    pub async fn send_within(
        &self,
        limit: time::Duration,
        call: Call,
    ) -> Result<Answer, CallError> {
        let answer = tokio::time::timeout(limit, self.send(call)).await;
        answer.unwrap_or_else(|_| Err(CallError::new("timed out")))
    }
}
