//! The catalogue service: accepts operators' changes and brings them into force.
//!
//! Publishes the accepted catalogue to [`crate::state::Shared`].

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;

use crate::kernel;
use crate::peer;
use crate::state;

/// Name of the service.
pub const NAME: &str = "catalogue";

/// What the service is asked.
pub enum Message {
    /// Accept a new catalogue.
    Apply(
        Box<operator::ApplyRequest>,
        kernel::Reply<Result<operator::ApplyAnswer, operator::OperatorError>>,
    ),
    /// Accept an earlier catalogue again.
    Rollback(
        operator::RollbackRequest,
        kernel::Reply<Result<operator::ApplyAnswer, operator::OperatorError>>,
    ),
    /// The changes, newest first.
    History(kernel::Reply<Result<Vec<operator::HistoryLine>, operator::OperatorError>>),
    /// An earlier catalogue.
    At(
        ids::Revision,
        kernel::Reply<Result<catalogue::Accepted, operator::OperatorError>>,
    ),
    /// Revision in force at each entry instance.
    Status(kernel::Reply<operator::CatalogueStatus>),
}

/// Registers the service and what it answers to peers, then runs it on the
/// control thread.
pub fn start(_context: &state::Context, _handlers: &mut peer::Handlers) {}
