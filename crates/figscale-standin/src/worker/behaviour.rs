//! How a task behaves, by its command.

use std::str;

use figscale_types::error;

/// How a task behaves. Its text form is words of the form `NAME=VALUE`, any of
/// which may be left out: `fail=true use=10 run=0.5`. Other words mean nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Behaviour {
    /// It ends badly.
    pub fail: bool,
    /// It uses its declared size times this, until throttled.
    pub use_factor: f64,
    /// It runs for its declared time times this.
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
    let wrong = || error::ParseError::new("factor", text, "0 to 1000");
    let factor: f64 = text.parse().map_err(|_| wrong())?;
    if (0.0..=1_000.0).contains(&factor) {
        Ok(factor)
    } else {
        Err(wrong())
    }
}
