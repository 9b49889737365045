//! The attempts of one request: where each is made, and whether another follows.
//!
//! An attempt is made in this process if it has a free slot, otherwise at the
//! holder that is believed to have one. A refused attempt is repeated at another
//! holder, up to a limit. A failed one is retried only if the deadline, the number
//! of attempts and the retry budget of the service allow it. A request that may
//! have run and is not idempotent is not tried again.

use std::sync;
use std::time;

use figscale_core::request::admission;
use figscale_core::request::dispatcher;
use figscale_core::request::retry;
use figscale_core::request::usage_table;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::verdict::Verdict;

use super::Traffic;
use super::answer::Answer;
use super::answer::Failure;
use super::answer::Fault;
use super::answer::RequestError;
use super::call::Call;
use super::exchange;
use super::forward;
use super::forward::AttemptError;
use super::forward::Availability;
use super::forward::Target;
use super::progress::Progress;
use super::wire;

/// Holders that may refuse a request for lack of capacity before its caller is
/// refused.
const MAX_REFUSALS: u32 = 3;
/// Time between two checks for a holder, or for a better one.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The attempts of one request.
pub(super) struct Attempts<'a> {
    pub(super) traffic: &'a sync::Arc<Traffic>,
    pub(super) call: &'a sync::Arc<Call>,
    pub(super) policy: &'a catalogue::RequestPolicy,
    pub(super) weight: u32,
    pub(super) progress: &'a Progress,
    /// Holders that are not tried again.
    pub(super) excluded: Vec<ids::MemberKey>,
    /// Runner of the last failed attempt.
    pub(super) avoid: Option<ids::InstanceId>,
    pub(super) attempts_made: u32,
    pub(super) refusals: u32,
}

impl Attempts<'_> {
    /// Makes attempts until one is answered or no further attempt is allowed.
    pub(super) async fn make(mut self) -> Result<Answer, RequestError> {
        self.traffic.decide().budget(&self.policy.service).earn();
        let wait = time::Duration::from_millis(self.traffic.settings().holder_wait_ms);
        let mut no_holder_limit = self.traffic.now() + wait;
        let mut next = None;
        loop {
            let target = next.take().unwrap_or_else(|| self.choose());
            let result = match &target {
                Target::Local => self.run_locally().await,
                Target::Peer(holder, availability) => self.run_at_peer(holder, *availability).await,
                Target::Unavailable if self.traffic.now() < no_holder_limit => {
                    self.excluded.clear();
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                Target::Unavailable => Err(AttemptError::Refused(dispatcher::Refusal {
                    reason: admission::Reason::NoHolder,
                    backlog: time::Duration::ZERO,
                })),
            };
            match result {
                Ok(answer) => return Ok(answer),
                Err(AttemptError::Refused(refusal)) => {
                    let last = matches!(target, Target::Unavailable);
                    self.on_refusal(&target, refusal, last).await?;
                }
                Err(AttemptError::Moved(target)) => next = Some(target),
                Err(AttemptError::Failed(failure)) => {
                    self.on_failure(&target, failure)?;
                    no_holder_limit = self.traffic.now() + wait;
                }
            }
        }
    }

    fn choose(&self) -> Target {
        let traffic = self.traffic;
        let now = traffic.now();
        let here = self.may_run_locally();
        let service = &self.policy.service;
        let mut decisions = traffic.decide();
        let decisions = &mut *decisions;
        if here && (decisions.dispatcher).would_grant(service, self.policy.urgency, now) {
            return Target::Local;
        }
        let own = decisions.dispatcher.counts_of(service, now);
        let chosen = self.choose_peer(decisions, now);
        match chosen {
            Some(choice) if !here || choice.room > own.room(self.policy.urgency, 0) => {
                self.target_for(decisions, choice)
            }
            _ if here && own.slots > 0 => Target::Local,
            _ => Target::Unavailable,
        }
    }

    fn choose_peer(
        &self,
        decisions: &mut super::Decisions,
        now: time::Instant,
    ) -> Option<usage_table::Choice> {
        let urgency = self.policy.urgency;
        let (usage_table, rng) = (&decisions.usage_table, &mut decisions.rng);
        usage_table.choose(&self.policy.service, urgency, &self.excluded, now, rng)
    }

    /// The target for a chosen holder; unavailable if its member is no longer known.
    fn target_for(&self, decisions: &mut super::Decisions, choice: usage_table::Choice) -> Target {
        let claims = self.traffic.context.shared.claims.borrow();
        let known = claims.claims.members.get(&choice.member.id);
        let live = known.filter(|known| known.incarnation == choice.member.incarnation);
        let Some(member) = live else {
            return Target::Unavailable;
        };
        let availability = match choice.room > 0.0 {
            true => Availability::Free,
            false => Availability::Busy,
        };
        decisions
            .usage_table
            .record_sent(&self.policy.service, &choice.member);
        let holder = forward::Holder {
            member: choice.member,
            address: member.peer_address,
        };
        Target::Peer(holder, availability)
    }

    fn may_run_locally(&self) -> bool {
        let me = self.traffic.context.me();
        self.traffic.has_authority() && !self.excluded.contains(&me)
    }

    /// Waits until this process, or a holder other than `present`, has a free slot.
    ///
    /// `present` is the holder at which the request is queued, or `None` if it is
    /// queued in this process.
    async fn wait_for_better(&self, present: Option<&ids::MemberKey>) -> Target {
        let service = &self.policy.service;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let now = self.traffic.now();
            let here = present.is_some() && self.may_run_locally();
            let mut decisions = self.traffic.decide();
            let decisions = &mut *decisions;
            if here && (decisions.dispatcher).would_grant(service, self.policy.urgency, now) {
                return Target::Local;
            }
            let chosen = self.choose_peer(decisions, now);
            let better = chosen.filter(|c| c.room > 0.0 && Some(&c.member) != present);
            if let Some(choice) = better
                && let Target::Peer(holder, availability) = self.target_for(decisions, choice)
            {
                return Target::Peer(holder, availability);
            }
        }
    }

    async fn run_locally(&self) -> Result<Answer, AttemptError> {
        let call = self.call;
        let max_run = time::Duration::from_millis(self.policy.max_run_ms);
        let submission = |ticket| dispatcher::Submission {
            ticket,
            entry: call.entry.clone(),
            service: self.policy.service.clone(),
            owner: call.owner.clone(),
            weight: self.weight,
            urgency: self.policy.urgency,
            deadline: call.deadline,
            idempotent: call.idempotent,
            avoid: self.avoid.clone(),
            max_queue_len: self.policy.max_queue_len,
            max_run,
        };
        let slot = tokio::select! {
            slot = self.traffic.acquire(submission) => slot,
            target = self.wait_for_better(None) => return Err(AttemptError::Moved(target)),
        };
        let slot = slot.map_err(AttemptError::Refused)?;
        self.progress.sent();
        let ending = exchange::start(self.traffic, slot, call.clone(), max_run);
        let lost = Failure {
            verdict: Verdict::MayHaveRun,
            fault: Fault::Broken,
            runner: None,
        };
        let result = ending.await.unwrap_or(Err(lost));
        result.map_err(AttemptError::Failed)
    }

    async fn run_at_peer(
        &self,
        holder: &forward::Holder,
        availability: Availability,
    ) -> Result<Answer, AttemptError> {
        let small = self.call.body.len() <= wire::MAX_EAGER_BYTES;
        let attempt = forward::Attempt {
            traffic: self.traffic,
            holder,
            call: self.call,
            avoid: self.avoid.clone(),
            eager: self.call.idempotent && small && availability == Availability::Free,
        };
        let better = self.wait_for_better(Some(&holder.member));
        attempt.run(|| self.progress.sent(), better).await
    }

    /// After a refusal: excludes the holder, and fails if there is no other to try.
    async fn on_refusal(
        &mut self,
        target: &Target,
        refusal: dispatcher::Refusal,
        last: bool,
    ) -> Result<(), RequestError> {
        self.progress.ended(Verdict::NotRun);
        self.refusals += 1;
        let no_holder = refusal.reason == admission::Reason::NoHolder;
        let expired = refusal.reason == admission::Reason::Expired;
        let give_up = last || expired || (self.refusals >= MAX_REFUSALS && !no_holder);
        let mut decisions = self.traffic.decide();
        match target {
            Target::Local => self.excluded.push(self.traffic.context.me()),
            Target::Peer(holder, _) => {
                decisions
                    .usage_table
                    .record_refusal(&self.policy.service, &holder.member);
                self.excluded.push(holder.member.clone());
            }
            Target::Unavailable => {}
        }
        if !give_up && (no_holder || self.has_other_holder(&decisions)) {
            return Ok(());
        }
        let retry_after = decisions.retry_after(refusal.backlog);
        drop(decisions);
        Err(match self.progress.verdict() {
            Verdict::NotRun => RequestError::Refused {
                reason: refusal.reason,
                retry_after,
            },
            verdict => RequestError::Expired {
                verdict,
                retry_after,
            },
        })
    }

    /// Whether there is a holder with slots that is not excluded.
    fn has_other_holder(&self, decisions: &super::Decisions) -> bool {
        let own = (decisions.dispatcher).counts_of(&self.policy.service, self.traffic.now());
        let me = self.traffic.context.me();
        let here = own.slots > 0 && !self.excluded.contains(&me);
        here || decisions
            .usage_table
            .all_counts()
            .any(|(service, member, counts)| {
                *service == self.policy.service
                    && counts.slots > 0
                    && !self.excluded.contains(member)
            })
    }

    /// After a failure: prepares another attempt, or fails if none is allowed.
    fn on_failure(&mut self, target: &Target, failure: Failure) -> Result<(), RequestError> {
        self.progress.ended(failure.verdict);
        self.attempts_made += 1;
        super::log_failure(self.call.id, failure.verdict, failure.fault.as_str());
        if let Target::Peer(holder, _) = target
            && matches!(failure.fault, Fault::PeerLink | Fault::PeerSilent)
        {
            self.excluded.push(holder.member.clone());
        }
        self.avoid = failure.runner;
        let attempt = retry::Failed {
            verdict: failure.verdict,
            idempotent: self.call.idempotent,
            attempts: self.attempts_made,
            max_attempts: self.policy.max_attempts,
            deadline: self.call.deadline,
        };
        let now = self.traffic.now();
        let mut decisions = self.traffic.decide();
        let budget = decisions.budget(&self.policy.service);
        if attempt.may_retry(now, budget) {
            return Ok(());
        }
        Err(RequestError::Failed {
            verdict: self.progress.verdict(),
            fault: failure.fault,
            retry_after: decisions.retry_after(time::Duration::ZERO),
        })
    }
}
