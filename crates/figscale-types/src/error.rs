//! The error of parsing a newtype.

use std::error;
use std::fmt;

/// Longest part of an invalid input that an error quotes, in characters.
const MAX_QUOTED_LEN: usize = 60;

/// A text that could not be parsed as a value of the requested type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    kind: &'static str,
    input: String,
    expected: &'static str,
}

impl ParseError {
    /// Makes an error for an `input` that is not a valid `kind`; `expected` describes
    /// the valid form.
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
