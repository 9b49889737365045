//! What operators say in the path and the query of a call.

use std::str;

use figscale_types::error;
use figscale_types::operator;
use serde::Deserialize;

use super::answer;

/// Query of a submission.
#[derive(Deserialize)]
pub(crate) struct Submission {
    id: Option<String>,
}

impl Submission {
    /// The id, without which a repeated submission would count twice.
    pub(crate) fn id(self) -> Result<String, operator::OperatorError> {
        let text = "id: expected a job id of your own in the query, \
                    so that a repeated submission counts once";
        self.id.ok_or_else(|| answer::invalid(text))
    }
}

/// Query of a listing.
#[derive(Deserialize)]
pub(crate) struct Listing {
    /// Only this owner's jobs.
    pub(crate) owner: Option<String>,
}

/// Reads a name or id; an error says what it should look like.
pub(crate) fn parse<T>(text: &str) -> Result<T, operator::OperatorError>
where
    T: str::FromStr<Err = error::ParseError>,
{
    text.parse()
        .map_err(|error: error::ParseError| answer::invalid(error.to_string()))
}
