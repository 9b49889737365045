//! A TCP proxy that cuts, delays, freezes and drops.
