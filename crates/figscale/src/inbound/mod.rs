//! Connections from outside: all bytes that clients send pass through here.
//!
//! A [`Listener`](listener::Listener) accepts connections and registers each in its
//! [`Registry`](registry::Registry), which bounds what clients can make a process hold:
//!
//! - connections, and with them descriptors. At the bound, the connection that has
//!   waited longest for its client is closed in favour of the new one. Connections
//!   with a complete request are never closed for another.
//! - heads, by the size of the buffer, the number of headers and a timeout;
//! - bodies, which are copied into one buffer each and counted by the capacity of that
//!   buffer. All bodies of a listener share one amount of memory. If a body finds no
//!   room, the oldest incomplete one is dropped with its connection.
//! - answers that the client does not read, by a timeout.
//!
//! A closed connection tells a client nothing about its request, as a refusal would:
//! only a request that was read completely has any effect.

pub(crate) mod body;
pub(crate) mod limits;
pub(crate) mod listener;
pub(crate) mod registry;
pub(crate) mod server;
mod stream;

pub(crate) use limits::Limits;
pub(crate) use listener::Listener;
pub(crate) use registry::Connection;
pub(crate) use stream::Stream;
