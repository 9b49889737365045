//! Links between entry instances: `h2` streams with `bincode`.
//!
//! Two kinds of stream run over a link. A *call* is one message to a named
//! service of the peer and one answer, both bounded in size. A *stream* is
//! handed as it is to whoever registered for it, which is how callers'
//! requests are forwarded. The two use separate connections, so that a large
//! answer never delays a claim.
//!
//! Every stream carries the shared token and the sender's name and
//! incarnation. The peer address is not the callers' address, and without the
//! token nothing is answered, so no caller can pass for an entry instance.
//!
//! A failed call says by its [`verdict::Verdict`] whether the peer may have
//! acted on it.
//!
//! [`verdict::Verdict`]: figscale_types::verdict::Verdict

mod client;
mod codec;
mod frames;
mod server;

pub use client::Lane;
pub use client::PeerError;
pub use client::Peers;
pub(crate) use client::send;
pub use codec::MAX_MESSAGE_BYTES;
pub use codec::decode;
pub use codec::encode;
pub(crate) use frames::Reader;
pub(crate) use frames::frame;
pub use server::CallError;
pub use server::Handlers;
pub use server::IncomingStream;
pub use server::listen;

/// Header with the shared token.
const TOKEN: &str = "x-peer-token";
/// Header with the sender's name and incarnation.
const FROM: &str = "x-peer-from";
/// Path prefix of calls; the service's name follows.
const CALL_PATH: &str = "/call/";
/// Path prefix of streams; the handler's name follows.
const STREAM_PATH: &str = "/stream/";
