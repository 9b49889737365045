//! Stand-ins for everything around figscale, and a load tool. Not shipped.
//!
//! Each stand-in can run in its own process (`figscale-standin platform …`) or
//! inside a test or the `cell`, through the `start` function of its module,
//! which returns once the stand-in listens; dropping the handle stops it.
//! Stand-ins are also invariant checkers: runners and workers record every
//! call that they receive, and that record, not what an entry instance
//! reports, decides whether a guarantee was kept.

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
