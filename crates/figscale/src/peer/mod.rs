//! Communication between entry instances: HTTP/2 streams (`h2`) that carry
//! `bincode` messages.
//!
//! A peer serves two kinds of stream. A *call* sends one message to a named
//! service and receives one response; both are bounded in size. A *stream* is
//! passed unchanged to the handler registered for its name; callers' requests
//! are forwarded this way, and orders sent to relays. The two kinds use separate
//! connections, so that a large response does not delay a call of the claims
//! service.
//!
//! A connection that carries nothing while a response is due is replaced, since
//! it may stay silent without an error while new ones work. The server side
//! pings, and closes connections whose peer is gone.
//!
//! Every stream carries the shared token and the sender's name and
//! incarnation. Peers connect to a different address than callers, and streams
//! without the token are rejected, so a caller cannot impersonate an entry
//! instance.
//!
//! The error of a failed call holds a [`verdict::Verdict`]: whether the peer
//! may have executed the call.
//!
//! [`verdict::Verdict`]: figscale_types::verdict::Verdict

mod client;
mod codec;
mod connection;
mod frames;
mod server;

pub use client::OpenStream;
pub use client::PeerError;
pub use client::Peers;
pub(crate) use client::send;
pub use codec::MAX_MESSAGE_BYTES;
pub use codec::decode;
pub use codec::encode;
pub(crate) use connection::Connection;
pub use connection::ConnectionAges;
pub(crate) use frames::Reader;
pub(crate) use frames::frame;
pub use server::CallError;
pub use server::Handlers;
pub use server::IncomingStream;
pub use server::Limits;
pub use server::listen;
pub use server::listen_within;
pub(crate) use server::serve;

/// Header with the shared token.
const TOKEN: &str = "x-peer-token";
/// Header with the sender's name and incarnation.
const FROM: &str = "x-peer-from";
/// Path prefix of calls; the service's name follows.
const CALL_PATH: &str = "/call/";
/// Path prefix of streams; the handler's name follows.
const STREAM_PATH: &str = "/stream/";
