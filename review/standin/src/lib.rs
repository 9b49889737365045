//! Stand-ins for the review's scripts: runners of the users' platform that follow
//! PROTOCOL.md, entry instances as processes, and a client.

pub mod check;
pub mod client;
pub mod deployment;
pub mod entry;
pub mod record;
pub mod runner;
