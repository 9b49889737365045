//! Which catalogue is accepted and in force.
