//! The error of parsing a newtype.

use std::error;
use std::fmt;

/// Longest part of a bad input that an error repeats, in bytes.
const MAX_QUOTED_LEN: usize = 60;

/// A text that is not a value of the type asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    kind: &'static str,
    input: String,
    expected: &'static str,
}

impl ParseError {
    /// Makes an error for `input`, telling what was `expected` of a `kind`.
    pub fn new(kind: &'static str, input: &str, expected: &'static str) -> Self {
        let input = input.chars().take(MAX_QUOTED_LEN).collect();
        Self {
            kind,
            input,
            expected,
        }
    }

    /// What was being parsed.
    pub fn kind(&self) -> &'static str {
        self.kind
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            input,
            expected,
        } = self;
        write!(f, "invalid {kind} {input:?}: expected {expected}")
    }
}

impl error::Error for ParseError {}
