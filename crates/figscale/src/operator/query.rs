//! Path and query parameters of the operator API.

use std::str;

use figscale_types::error;
use figscale_types::operator;
use serde::Deserialize;

use super::answer;

/// Query parameters of the submission of a job.
#[derive(Deserialize)]
pub(crate) struct Submission {
    id: Option<String>,
}

impl Submission {
    /// The job id. It is required, since without one a retried submission would
    /// create a second job.
    pub(crate) fn id(self) -> Result<String, operator::OperatorError> {
        let text = "id: expected a job id of your own in the query, \
                    so that a repeated submission counts once";
        self.id.ok_or_else(|| answer::invalid(text))
    }
}

/// Query parameters of the list of jobs.
#[derive(Deserialize)]
pub(crate) struct Listing {
    /// List only the jobs of this owner.
    pub(crate) owner: Option<String>,
}

/// Parses a name or id. The error describes the expected form.
pub(crate) fn parse<T>(text: &str) -> Result<T, operator::OperatorError>
where
    T: str::FromStr<Err = error::ParseError>,
{
    text.parse()
        .map_err(|error: error::ParseError| answer::invalid(error.to_string()))
}
