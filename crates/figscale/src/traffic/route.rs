//! Stages of one request at the entry instance that received it.
//!
//! They are admission, reading the body, the check of its id at the home, then
//! attempts until one is answered or no further attempt is allowed. The final
//! answer, also an error, is sent as soon as it is known.

use std::sync;
use std::time;

use figscale_core::request::admission;
use figscale_core::request::dedup;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use hyper::body;
use rand::RngExt as _;

use super::Traffic;
use super::answer::Answer;
use super::answer::RequestError;
use super::attempts::Attempts;
use super::call;
use super::call::Call;
use super::progress::Progress;
use crate::inbound;

/// Counts a request towards the limits of its owner until dropped.
pub(super) struct Admitted {
    traffic: sync::Arc<Traffic>,
    owner: ids::OwnerName,
    policy: catalogue::RequestPolicy,
    weight: u32,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.traffic.decide().admission.release_request(&self.owner);
    }
}

/// Reports to the home of an id how its request ended, also when the task is
/// dropped.
struct OnceGuard {
    traffic: sync::Arc<Traffic>,
    id: ids::RequestId,
    attempt: dedup::AttemptId,
    progress: sync::Arc<Progress>,
    ran: bool,
}

impl Drop for OnceGuard {
    fn drop(&mut self) {
        let verdict = match self.ran {
            true => Verdict::Ran,
            false => self.progress.verdict(),
        };
        let traffic = self.traffic.clone();
        let (id, attempt) = (self.id, self.attempt);
        let runtime = traffic.context.traffic.clone();
        runtime.spawn(async move { traffic.end_once(id, attempt, verdict).await });
    }
}

impl Traffic {
    /// A random id for one message of a caller, by which the home of a request id
    /// distinguishes messages with the same id.
    pub(super) fn new_attempt_id(&self) -> dedup::AttemptId {
        dedup::AttemptId(self.decide().rng.random())
    }

    /// The verdict to send to the caller with an error.
    ///
    /// It applies to the request, not to this message of the caller: a refused
    /// repeat must not be reported as not run if the request may have run for an
    /// earlier message.
    pub(super) async fn final_verdict(
        &self,
        head: &call::Head,
        attempt: dedup::AttemptId,
        error: &RequestError,
    ) -> Verdict {
        let verdict = error.verdict();
        if verdict != Verdict::NotRun || !head.is_remembered() {
            return verdict;
        }
        self.peek_once(head.id, attempt).await.verdict()
    }

    /// Admits a request, or returns why it is refused.
    pub(super) fn admit(
        self: &sync::Arc<Self>,
        head: &call::Head,
    ) -> Result<Admitted, RequestError> {
        let now = self.now();
        let accepted = self.context.shared.catalogue_now();
        let parts = self.context.shared.claims.borrow().claims.members.len();
        let parts = u32::try_from(parts).unwrap_or(u32::MAX);
        let mut decisions = self.decide();
        let catalogue = &accepted.catalogue;
        let entered =
            decisions
                .admission
                .admit_request(catalogue, &head.entry, &head.owner, parts, now);
        match entered {
            Ok(admitted) => Ok(Admitted {
                traffic: self.clone(),
                owner: head.owner.clone(),
                policy: admitted.policy,
                weight: admitted.weight,
            }),
            Err(reason) => Err(refused(&mut decisions, reason)),
        }
    }

    /// Runs an admitted request.
    pub(super) async fn run(
        self: &sync::Arc<Self>,
        head: &call::Head,
        attempt: dedup::AttemptId,
        admitted: &Admitted,
        connection: &inbound::Connection,
        body: body::Incoming,
    ) -> Result<Answer, RequestError> {
        let default = time::Duration::from_millis(admitted.policy.budget_ms);
        let deadline = self.now() + head.budget.unwrap_or(default);
        let remembered = head.is_remembered();
        let body = call::read_body(connection, body, admitted.policy.max_body_bytes);
        let body = body.await.map_err(RequestError::Bad)?;
        let call = sync::Arc::new(Call {
            entry: head.entry.clone(),
            owner: head.owner.clone(),
            id: head.id,
            idempotent: head.idempotent,
            headers: head.headers.clone(),
            body: body.bytes().clone(),
            deadline,
        });
        let progress = sync::Arc::new(Progress::default());
        let attempts = Attempts {
            traffic: self,
            call: &call,
            policy: &admitted.policy,
            weight: admitted.weight,
            progress: &progress,
            excluded: Vec::new(),
            avoid: None,
            attempts_made: 0,
            refusals: 0,
        };
        let limit = tokio::time::Instant::now() + deadline.saturating_duration_since(self.now());
        let all = async {
            let mut guard = match remembered {
                true => Some(self.remember(&call, attempt, &progress).await?),
                false => None,
            };
            let result = attempts.make().await;
            if let (Some(guard), Ok(_)) = (&mut guard, &result) {
                guard.ran = true;
            }
            result
        };
        match tokio::time::timeout_at(limit, all).await {
            Ok(result) => result,
            Err(_) => Err(RequestError::Expired {
                verdict: progress.verdict(),
                retry_after: self.decide().retry_after(time::Duration::ZERO),
            }),
        }
    }

    /// Registers the request at the home of its id, which refuses repeats.
    async fn remember(
        self: &sync::Arc<Self>,
        call: &Call,
        attempt: dedup::AttemptId,
        progress: &sync::Arc<Progress>,
    ) -> Result<OnceGuard, RequestError> {
        let guard = OnceGuard {
            traffic: self.clone(),
            id: call.id,
            attempt,
            progress: progress.clone(),
            ran: false,
        };
        let wait = time::Duration::from_millis(self.settings().holder_wait_ms);
        let limit = call.deadline.min(self.now() + wait);
        match self.begin_once(call.id, attempt, limit).await {
            dedup::Begin::Fresh => Ok(guard),
            begin => {
                crate::event!(
                    crate::events::requests::REPEAT_REFUSED,
                    request = call.id,
                    verdict = begin.verdict()
                );
                Err(RequestError::Repeat(begin))
            }
        }
    }
}

fn refused(decisions: &mut super::Decisions, reason: admission::Reason) -> RequestError {
    RequestError::Refused {
        reason,
        retry_after: decisions.retry_after(time::Duration::ZERO),
    }
}
