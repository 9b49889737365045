//! Stand-ins for everything around figscale, and a load tool. Not shipped.
//!
//! Each stand-in can run in its own process (`figscale-standin platform …`) or
//! inside a test or the `cell`, by the `start` function of its module, which
//! returns once it listens and stops when its handle is dropped. Stand-ins
//! judge: runners and workers record everything that they are asked, and the
//! record, not the word of an entry instance, decides whether a promise held.

pub mod cell;
pub mod client;
pub mod experiment;
mod http_server;
pub mod load;
pub mod platform;
pub mod ports;
pub mod proxy;
pub mod runner;
pub mod worker;
