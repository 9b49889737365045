//! The command line.

/// Runs the command line and returns the exit code.
pub fn run() -> i32 {
    0
}
