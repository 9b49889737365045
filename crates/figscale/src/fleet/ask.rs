//! Asks the leader on a caller's behalf, whoever leads meanwhile.

use std::time;

use figscale_types::verdict::Verdict;

use super::Context;
use super::calls;
use super::calls::LeaderAnswer;
use super::calls::LeaderCall;
use super::leadership;
use super::term;

/// Longest wait for a leader before a job is refused; a takeover takes less.
const MAX_LEADERLESS: time::Duration = time::Duration::from_millis(1_500);
/// Longest wait for one answer of the leader.
const LEADER_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Pause before a leader is looked for again, if nothing is heard sooner.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Asks whoever leads until there is an answer or the caller's time is up; with
/// whether an unanswered call may have been acted on.
pub(super) async fn leader(
    context: &Context,
    call: &LeaderCall,
    deadline: time::Instant,
) -> (Option<LeaderAnswer>, Verdict) {
    let started = context.clock.now();
    let mut verdict = Verdict::NotRun;
    let mut changes = context.leadership.subscribe();
    loop {
        let now = context.clock.now();
        let leaderless = verdict == Verdict::NotRun && now > started + MAX_LEADERLESS;
        if now >= deadline || leaderless {
            return (None, verdict);
        }
        let timeout = LEADER_TIMEOUT.min(deadline - now);
        let _ = changes.borrow_and_update();
        let asked = ask_once(context, call, timeout);
        let answer = tokio::select! {
            answer = asked => answer,
            () = superseded(context) => Err(Verdict::MayHaveRun),
        };
        match answer {
            Ok(LeaderAnswer::NotLeader) => (),
            Ok(LeaderAnswer::Unknown) => verdict = Verdict::MayHaveRun,
            Ok(answer) => return (Some(answer), verdict),
            Err(Verdict::NotRun) => (),
            Err(_) => verdict = Verdict::MayHaveRun,
        }
        let _ = tokio::time::timeout(RETRY_PAUSE, changes.changed()).await;
    }
}

/// Completes when a later leader is known than now. A leader that lost its
/// power keeps a request until it times out; the next one answers 0.4 s sooner.
async fn superseded(context: &Context) {
    let mut changes = context.leadership.subscribe();
    let epoch = |known: &leadership::Leadership| known.leader.as_ref().map(|leader| leader.epoch);
    let asked = epoch(&changes.borrow());
    if changes
        .wait_for(|known| epoch(known) > asked)
        .await
        .is_err()
    {
        // Nobody will lead any more: the process ends.
        std::future::pending().await
    }
}

async fn ask_once(
    context: &Context,
    call: &LeaderCall,
    timeout: time::Duration,
) -> Result<LeaderAnswer, Verdict> {
    let leadership = context.leadership.borrow().clone();
    if leadership.leading {
        let answer = term::call_here(context, call.clone());
        return tokio::time::timeout(timeout, answer)
            .await
            .map_err(|_| Verdict::MayHaveRun);
    }
    let Some(leader) = leadership.leader else {
        return Err(Verdict::NotRun);
    };
    if leader.member == context.me {
        return Err(Verdict::NotRun);
    }
    let service = calls::LEADER_SERVICE;
    let answer = context
        .peers
        .call(leader.address, service, call, timeout)
        .await;
    answer.map_err(|error| {
        if error.verdict != Verdict::NotRun || error.is_refused() {
            context.peers.forget(leader.address);
        }
        error.verdict
    })
}
