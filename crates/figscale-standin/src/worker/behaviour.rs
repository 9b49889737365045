//! Behaviour of a task, parsed from its command.

use std::str;

use figscale_types::error;

/// Behaviour of a task. Its text form is words of the form `NAME=VALUE`, each of
/// them optional: `fail=true use=10 run=0.5`. Other words are ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Behaviour {
    /// Whether it ends in a failure.
    pub fail: bool,
    /// It uses this multiple of its declared size until throttled.
    pub use_factor: f64,
    /// It runs for this multiple of its declared time.
    pub run_factor: f64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            fail: false,
            use_factor: 1.0,
            run_factor: 1.0,
        }
    }
}

impl str::FromStr for Behaviour {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut behaviour = Self::default();
        for word in text.split_whitespace() {
            let Some((name, value)) = word.split_once('=') else {
                continue;
            };
            match name {
                "fail" => behaviour.fail = value == "true",
                "use" => behaviour.use_factor = factor(value)?,
                "run" => behaviour.run_factor = factor(value)?,
                _ => {}
            }
        }
        Ok(behaviour)
    }
}

fn factor(text: &str) -> Result<f64, error::ParseError> {
    let invalid = || error::ParseError::new("factor", text, "0 to 1000");
    let factor: f64 = text.parse().map_err(|_| invalid())?;
    if (0.0..=1_000.0).contains(&factor) {
        Ok(factor)
    } else {
        Err(invalid())
    }
}
