//! Accepts or refuses a change of the catalogue: executes the reads and writes
//! that `figscale_core::catalogue::apply` decides on.

use std::rc;
use std::time;

use eyre::WrapErr as _;
use figscale_core::catalogue::apply;
use figscale_core::catalogue::history;
use figscale_types::catalogue;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::operator;
use figscale_types::verdict::Verdict;
use rand::RngExt as _;

use super::service;
use crate::events::catalogue as events;
use crate::store;

/// Time limit of a change, after which the operator gets an error.
const APPLY_TIMEOUT: time::Duration = time::Duration::from_millis(5_000);
/// Range of the random pause after a failed call.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 100..300;

/// Accepts or refuses a change, and logs the outcome.
pub(super) async fn run(
    service: &rc::Rc<service::Service>,
    change: apply::Change,
) -> Result<operator::ApplyAnswer, operator::OperatorError> {
    let id = change.id;
    let decided = decide(service, change).await;
    match &decided {
        Ok(answer) => crate::event!(
            events::CATALOGUE_ACCEPTED,
            change = id,
            revision = answer.revision,
            repeated = answer.repeated
        ),
        Err(error) => {
            crate::event!(events::CATALOGUE_REFUSED, change = id, error = error);
        }
    }
    decided
}

async fn decide(
    service: &rc::Rc<service::Service>,
    change: apply::Change,
) -> Result<operator::ApplyAnswer, operator::OperatorError> {
    let Ok(_permit) = service.change_permits.try_acquire() else {
        return Err(operator::OperatorError {
            kind: operator::ErrorKind::Unavailable,
            message: "too many changes are being decided here; nothing was done".to_owned(),
            retry_after_ms: Some(service::RETRY_MS),
        });
    };
    let mut apply = apply::Apply::new(change, unix_ms(service))?;
    let decided = tokio::time::timeout(APPLY_TIMEOUT, execute(service, &mut apply)).await;
    decided.unwrap_or_else(|_| Err(apply.deadline_error()))
}

fn unix_ms(service: &service::Service) -> u64 {
    let since_epoch = service
        .context
        .clock
        .wall()
        .duration_since(time::UNIX_EPOCH);
    clock::millis(since_epoch.unwrap_or_default())
}

async fn execute(
    service: &rc::Rc<service::Service>,
    apply: &mut apply::Apply,
) -> Result<operator::ApplyAnswer, operator::OperatorError> {
    let mut action = apply::Action::Read;
    loop {
        let input = match action {
            apply::Action::Done(decided) => return decided,
            apply::Action::Read => read(service).await,
            apply::Action::ReadLater => {
                let pause = rand::rng().random_range(RETRY_PAUSE_MS);
                tokio::time::sleep(time::Duration::from_millis(pause)).await;
                read(service).await
            }
            apply::Action::Write(over, document) => write(service, over, *document).await,
        };
        action = service.with_document(|known| apply.step(input, known));
    }
}

async fn read(service: &rc::Rc<service::Service>) -> apply::Input {
    match service.read(service::Source::Read).await {
        Ok(stored) if stored.is_unreadable() => apply::Input::Unreadable,
        Ok(stored) => apply::Input::Read(stored.revision, stored.document.map(Box::new)),
        Err(_) => apply::Input::ReadFailed,
    }
}

async fn write(
    service: &rc::Rc<service::Service>,
    over: ids::Revision,
    document: catalogue::Document,
) -> apply::Input {
    let written = match history::encode(&document).wrap_err("catalogue document") {
        Ok(value) => {
            let store = &service.context.store;
            store.put(catalogue::KEY, over, value, None).await
        }
        Err(_) => return apply::Input::WriteFailed(Verdict::NotRun),
    };
    match written {
        Ok(_) => {
            service.adopt_written(document);
            apply::Input::Written
        }
        Err(error) => match error.kind {
            store::StoreErrorKind::Conflict(_) => apply::Input::WriteConflict,
            _ => apply::Input::WriteFailed(error.verdict),
        },
    }
}
