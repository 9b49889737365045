//! The `figscale-standin` program.

fn main() {}
