//! The way of one request, at the entry instance that received it.
//!
//! Admission, body, the home of its id, then attempts until one is answered or
//! no other may be made. Whatever happens, the final answer goes out the moment
//! it is known; nothing is held back.

use std::sync;
use std::time;

use figscale_core::request::admission;
use figscale_core::request::board;
use figscale_core::request::dispatcher;
use figscale_core::request::once;
use figscale_core::request::retry;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::mutex;
use figscale_types::verdict::Verdict;
use hyper::body;
use rand::RngExt as _;

use super::Traffic;
use super::answer::Answer;
use super::answer::Failure;
use super::answer::Fault;
use super::answer::NoAnswer;
use super::call;
use super::call::Call;
use super::exchange;
use super::forward;
use super::forward::NoAnswerYet;
use super::forward::Place;
use super::forward::Room;
use super::wire;

/// Holders that are asked before a request is refused for want of room.
const MAX_REFUSALS: u32 = 3;
/// Time between two looks for a holder.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// Counts a request against its owner until dropped.
pub(super) struct Admitted {
    traffic: sync::Arc<Traffic>,
    owner: ids::OwnerName,
    policy: catalogue::RequestPolicy,
    weight: u32,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.traffic.decide().admission.leave(&self.owner);
    }
}

/// What is known of a request while its attempts go on.
#[derive(Debug, Default)]
struct Progress {
    state: sync::Mutex<ProgressState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProgressState {
    /// An earlier attempt may have run.
    earlier: bool,
    /// The present attempt may have run.
    present: bool,
}

impl Progress {
    fn sent(&self) {
        self.lock().present = true;
    }

    fn ended(&self, verdict: Verdict) {
        let mut state = self.lock();
        state.present = false;
        state.earlier |= verdict != Verdict::NotRun;
    }

    fn verdict(&self) -> Verdict {
        let state = self.lock();
        match state.earlier || state.present {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ProgressState> {
        mutex::lock(&self.state)
    }
}

/// Tells the home of an id how its request ended, also when the task is dropped.
struct OnceGuard {
    traffic: sync::Arc<Traffic>,
    id: ids::RequestId,
    attempt: once::AttemptId,
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
    /// A name for this attempt of a caller.
    pub(super) fn new_attempt(&self) -> once::AttemptId {
        once::AttemptId(self.decide().rng.random())
    }

    /// What may be said of a request that got this instead of an answer.
    ///
    /// The word is about the request, not about this message of its caller: a
    /// repeat that is refused is not said not to have run when an earlier
    /// message may have had it run.
    pub(super) async fn final_verdict(
        &self,
        head: &call::Head,
        attempt: once::AttemptId,
        none: &NoAnswer,
    ) -> Verdict {
        let verdict = none.verdict();
        if verdict != Verdict::NotRun || !head.is_remembered() {
            return verdict;
        }
        self.peek_once(head.id, attempt).await.verdict()
    }

    /// Lets a request in, or says why not.
    pub(super) fn admit(self: &sync::Arc<Self>, head: &call::Head) -> Result<Admitted, NoAnswer> {
        let now = self.now();
        let accepted = self.context.shared.catalogue_now();
        let parts = self.context.shared.claims.borrow().claims.members.len();
        let parts = u32::try_from(parts).unwrap_or(u32::MAX);
        let mut decisions = self.decide();
        let catalogue = &accepted.catalogue;
        let entered = decisions
            .admission
            .enter(catalogue, &head.entry, &head.owner, parts, now);
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

    /// Runs a request that was let in.
    pub(super) async fn run(
        self: &sync::Arc<Self>,
        head: &call::Head,
        attempt: once::AttemptId,
        admitted: &Admitted,
        body: body::Incoming,
    ) -> Result<Answer, NoAnswer> {
        let default = time::Duration::from_millis(admitted.policy.budget_ms);
        let deadline = self.now() + head.budget.unwrap_or(default);
        let remembered = head.is_remembered();
        let body = call::read_body(self, body, admitted.policy.max_body_bytes);
        let body = body.await.map_err(NoAnswer::Bad)?;
        let _memory = body.memory;
        let call = sync::Arc::new(Call {
            entry: head.entry.clone(),
            owner: head.owner.clone(),
            id: head.id,
            idempotent: head.idempotent,
            headers: head.headers.clone(),
            body: body.bytes,
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
            made: 0,
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
            Err(_) => Err(NoAnswer::Expired {
                verdict: progress.verdict(),
                come_back: self.decide().come_back(time::Duration::ZERO),
            }),
        }
    }

    /// Has the home of the id let the request through, once.
    async fn remember(
        self: &sync::Arc<Self>,
        call: &Call,
        attempt: once::AttemptId,
        progress: &sync::Arc<Progress>,
    ) -> Result<OnceGuard, NoAnswer> {
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
            once::Begin::Fresh => Ok(guard),
            begin => {
                crate::event!(
                    crate::events::requests::REPEAT_REFUSED,
                    request = call.id,
                    verdict = begin.verdict()
                );
                Err(NoAnswer::Repeat(begin))
            }
        }
    }
}

fn refused(decisions: &mut super::Decisions, reason: admission::Reason) -> NoAnswer {
    NoAnswer::Refused {
        reason,
        come_back: decisions.come_back(time::Duration::ZERO),
    }
}

/// The attempts of one request.
struct Attempts<'a> {
    traffic: &'a sync::Arc<Traffic>,
    call: &'a sync::Arc<Call>,
    policy: &'a catalogue::RequestPolicy,
    weight: u32,
    progress: &'a Progress,
    /// Holders that are not asked again.
    excluded: Vec<ids::MemberKey>,
    /// Runner that failed the last attempt.
    avoid: Option<ids::InstanceId>,
    made: u32,
    refusals: u32,
}

impl Attempts<'_> {
    async fn make(mut self) -> Result<Answer, NoAnswer> {
        self.traffic.decide().budget(&self.policy.service).earn();
        let wait = time::Duration::from_millis(self.traffic.settings().holder_wait_ms);
        let mut give_up_at = self.traffic.now() + wait;
        let mut next = None;
        loop {
            let place = next.take().unwrap_or_else(|| self.choose());
            let result = match &place {
                Place::Here => self.here().await,
                Place::There(holder, room) => self.there(holder, *room).await,
                Place::Nowhere if self.traffic.now() < give_up_at => {
                    self.excluded.clear();
                    tokio::time::sleep(LOOK).await;
                    continue;
                }
                Place::Nowhere => Err(NoAnswerYet::Refused(dispatcher::Refusal {
                    reason: admission::Reason::NoHolder,
                    backlog: time::Duration::ZERO,
                })),
            };
            match result {
                Ok(answer) => return Ok(answer),
                Err(NoAnswerYet::Refused(refusal)) => {
                    let last = matches!(place, Place::Nowhere);
                    self.refused(&place, refusal, last).await?;
                }
                Err(NoAnswerYet::Moved(place)) => next = Some(place),
                Err(NoAnswerYet::Failed(failure)) => {
                    self.failed(&place, failure)?;
                    give_up_at = self.traffic.now() + wait;
                }
            }
        }
    }

    fn choose(&self) -> Place {
        let traffic = self.traffic;
        let now = traffic.now();
        let here = self.is_open_here();
        let service = &self.policy.service;
        let mut decisions = traffic.decide();
        let decisions = &mut *decisions;
        if here && (decisions.dispatcher).would_grant(service, self.policy.urgency, now) {
            return Place::Here;
        }
        let own = decisions.dispatcher.counts_of(service, now);
        let chosen = self.draw(decisions, now);
        match chosen {
            Some(choice) if !here || choice.room > own.room(self.policy.urgency, 0) => {
                self.there_by(decisions, choice)
            }
            _ if here && own.slots > 0 => Place::Here,
            _ => Place::Nowhere,
        }
    }

    fn draw(&self, decisions: &mut super::Decisions, now: time::Instant) -> Option<board::Choice> {
        let urgency = self.policy.urgency;
        let (board, rng) = (&decisions.board, &mut decisions.rng);
        board.choose(&self.policy.service, urgency, &self.excluded, now, rng)
    }

    /// A place for the choice, unless its member is unknown by now.
    fn there_by(&self, decisions: &mut super::Decisions, choice: board::Choice) -> Place {
        let claims = self.traffic.context.shared.claims.borrow();
        let known = claims.claims.members.get(&choice.member.id);
        let live = known.filter(|known| known.incarnation == choice.member.incarnation);
        let Some(member) = live else {
            return Place::Nowhere;
        };
        let room = match choice.room > 0.0 {
            true => Room::Free,
            false => Room::Queue,
        };
        decisions.board.sent(&self.policy.service, &choice.member);
        let holder = forward::Holder {
            member: choice.member,
            address: member.peer_address,
        };
        Place::There(holder, room)
    }

    fn is_open_here(&self) -> bool {
        let me = self.traffic.context.me();
        self.traffic.has_authority() && !self.excluded.contains(&me)
    }

    /// Completes when another place has a slot free while this one has not.
    async fn better(&self, present: Option<&ids::MemberKey>) -> Place {
        let service = &self.policy.service;
        loop {
            tokio::time::sleep(LOOK).await;
            let now = self.traffic.now();
            let here = present.is_some() && self.is_open_here();
            let mut decisions = self.traffic.decide();
            let decisions = &mut *decisions;
            if here && (decisions.dispatcher).would_grant(service, self.policy.urgency, now) {
                return Place::Here;
            }
            let chosen = self.draw(decisions, now);
            let better = chosen.filter(|c| c.room > 0.0 && Some(&c.member) != present);
            if let Some(choice) = better
                && let Place::There(holder, room) = self.there_by(decisions, choice)
            {
                return Place::There(holder, room);
            }
        }
    }

    async fn here(&self) -> Result<Answer, NoAnswerYet> {
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
            place = self.better(None) => return Err(NoAnswerYet::Moved(place)),
        };
        let slot = slot.map_err(NoAnswerYet::Refused)?;
        self.progress.sent();
        let ending = exchange::start(self.traffic, slot, call.clone(), max_run);
        let lost = Failure {
            verdict: Verdict::MayHaveRun,
            fault: Fault::Broken,
            runner: None,
        };
        let result = ending.await.unwrap_or(Err(lost));
        result.map_err(NoAnswerYet::Failed)
    }

    async fn there(&self, holder: &forward::Holder, room: Room) -> Result<Answer, NoAnswerYet> {
        let small = self.call.body.len() <= wire::MAX_EAGER_BYTES;
        let attempt = forward::Attempt {
            traffic: self.traffic,
            holder,
            call: self.call,
            avoid: self.avoid.clone(),
            eager: self.call.idempotent && small && room == Room::Free,
        };
        let better = self.better(Some(&holder.member));
        attempt.run(|| self.progress.sent(), better).await
    }

    /// Goes on to another holder, or gives up.
    async fn refused(
        &mut self,
        place: &Place,
        refusal: dispatcher::Refusal,
        last: bool,
    ) -> Result<(), NoAnswer> {
        self.progress.ended(Verdict::NotRun);
        self.refusals += 1;
        let no_holder = refusal.reason == admission::Reason::NoHolder;
        let expired = refusal.reason == admission::Reason::Expired;
        let give_up = last || expired || (self.refusals >= MAX_REFUSALS && !no_holder);
        let mut decisions = self.traffic.decide();
        match place {
            Place::Here => self.excluded.push(self.traffic.context.me()),
            Place::There(holder, _) => {
                decisions
                    .board
                    .refused(&self.policy.service, &holder.member);
                self.excluded.push(holder.member.clone());
            }
            Place::Nowhere => {}
        }
        if !give_up && (no_holder || self.has_other(&decisions)) {
            return Ok(());
        }
        let come_back = decisions.come_back(refusal.backlog);
        drop(decisions);
        Err(match self.progress.verdict() {
            Verdict::NotRun => NoAnswer::Refused {
                reason: refusal.reason,
                come_back,
            },
            verdict => NoAnswer::Expired { verdict, come_back },
        })
    }

    /// Whether some holder has not been asked yet.
    fn has_other(&self, decisions: &super::Decisions) -> bool {
        let own = (decisions.dispatcher).counts_of(&self.policy.service, self.traffic.now());
        let me = self.traffic.context.me();
        let here = own.slots > 0 && !self.excluded.contains(&me);
        here || decisions.board.lines().any(|(service, member, counts)| {
            *service == self.policy.service && counts.slots > 0 && !self.excluded.contains(member)
        })
    }

    /// Gets ready for another attempt, or gives up.
    fn failed(&mut self, place: &Place, failure: Failure) -> Result<(), NoAnswer> {
        self.progress.ended(failure.verdict);
        self.made += 1;
        super::log_failure(self.call.id, failure.verdict, failure.fault.as_str());
        if let Place::There(holder, _) = place
            && matches!(failure.fault, Fault::PeerLink | Fault::PeerSilent)
        {
            self.excluded.push(holder.member.clone());
        }
        self.avoid = failure.runner;
        let attempt = retry::Failed {
            verdict: failure.verdict,
            idempotent: self.call.idempotent,
            attempts: self.made,
            max_attempts: self.policy.max_attempts,
            deadline: self.call.deadline,
        };
        let now = self.traffic.now();
        let mut decisions = self.traffic.decide();
        let budget = decisions.budget(&self.policy.service);
        if attempt.may_retry(now, budget) {
            return Ok(());
        }
        Err(NoAnswer::Failed {
            verdict: self.progress.verdict(),
            fault: failure.fault,
            come_back: decisions.come_back(time::Duration::ZERO),
        })
    }
}
