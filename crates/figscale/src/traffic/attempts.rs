//! The attempts of one request: where each goes, and whether another follows.
//!
//! An attempt is made here where a slot is free, else at the holder that seems
//! to have one. A refusal costs another holder's time, a failure the request's
//! budget, and nothing is tried again that may have run and must not twice.

use std::sync;
use std::time;

use figscale_core::request::admission;
use figscale_core::request::board;
use figscale_core::request::dispatcher;
use figscale_core::request::retry;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::verdict::Verdict;

use super::Traffic;
use super::answer::Answer;
use super::answer::Failure;
use super::answer::Fault;
use super::answer::NoAnswer;
use super::call::Call;
use super::exchange;
use super::forward;
use super::forward::NoAnswerYet;
use super::forward::Place;
use super::forward::Room;
use super::progress::Progress;
use super::wire;

/// Holders that are asked before a request is refused for want of room.
const MAX_REFUSALS: u32 = 3;
/// Time between two looks for a holder.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// The attempts of one request.
pub(super) struct Attempts<'a> {
    pub(super) traffic: &'a sync::Arc<Traffic>,
    pub(super) call: &'a sync::Arc<Call>,
    pub(super) policy: &'a catalogue::RequestPolicy,
    pub(super) weight: u32,
    pub(super) progress: &'a Progress,
    /// Holders that are not asked again.
    pub(super) excluded: Vec<ids::MemberKey>,
    /// Runner that failed the last attempt.
    pub(super) avoid: Option<ids::InstanceId>,
    pub(super) made: u32,
    pub(super) refusals: u32,
}

impl Attempts<'_> {
    /// Makes attempts until one is answered or no other may be made.
    pub(super) async fn make(mut self) -> Result<Answer, NoAnswer> {
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
