//! Greets the leader, and notices when its process has ended.
//!
//! A greeting tells the leader that this instance can ask for advice, and
//! brings back where the others are. A refused connection proves that nobody
//! listens there any more, an answer of another life that its process is gone,
//! and an answer that it does not lead that its term is over; all are quicker
//! than the end of a lease. Silence proves nothing by itself: the other peers
//! are asked, and the leader is given up if most of them miss it too.

use std::sync;
use std::time;

use figscale_core::fleet;
use figscale_types::clock;
use figscale_types::mutex;
use serde::Deserialize;
use serde::Serialize;

use super::Context;
use super::calls;
use super::fitness;
use super::leadership;
use super::ledger;
use crate::events;
use crate::peer;

/// Name of the service that tells who leads.
const WHO_LEADS: &str = "fleet-who-leads";

/// Why a leader's term is over, as the log tells it.
const IN_ORDER: &str = "it said so";
const PROCESS_GONE: &str = "its process is gone";
const DOES_NOT_LEAD: &str = "it answers without leading";
const MISSED: &str = "most peers miss it";

/// Name of the service that hears of a leader's end.
const ENDED_SERVICE: &str = "fleet-leader-ended";
/// Time for telling the others of it; the lease ends by itself if it fails.
const ENDED_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// A leader ended its term in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EndedInOrder {
    leader: leadership::Leader,
    heads: ledger::Heads,
}

/// An empty question.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WhoLeads;

/// What a peer knows of the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Sighting {
    /// Whom it takes for the leader.
    leader: Option<leadership::Leader>,
    /// How long ago that one was last heard there, milliseconds.
    heard_ms_ago: Option<u64>,
}

/// Starts greeting, and answers peers that ask who leads.
pub(super) fn start(context: &Context, handlers: &mut peer::Handlers) {
    let asked = context.clone();
    handlers.on_call(WHO_LEADS, move |_from, _: WhoLeads| {
        let sighting = sighting(&asked);
        async move { Ok(sighting) }
    });
    let hearing = context.clone();
    handlers.on_call(ENDED_SERVICE, move |_from, end: EndedInOrder| {
        let context = hearing.clone();
        async move {
            hear_end(&context, end);
            Ok(())
        }
    });
    tokio::spawn(greet(context.clone()));
}

fn sighting(context: &Context) -> Sighting {
    let known = context.leadership.borrow();
    let now = context.clock.now();
    let ago = |at: time::Instant| clock::millis(now.saturating_duration_since(at));
    Sighting {
        leader: known.leader.clone(),
        heard_ms_ago: known.heard_at.map(ago),
    }
}

fn hear_end(context: &Context, end: EndedInOrder) {
    let key_revision = context.leadership.borrow().key_revision;
    context.leadership.send_modify(|known| {
        known.last_heads = Some(end.heads);
    });
    ended(context, &end.leader, key_revision, IN_ORDER);
}

/// Tells the others that this instance leads no more; true if any heard it.
///
/// They stand at once, on the key as it is, so it must not be removed then.
pub(super) async fn tell_end(
    context: &Context,
    leader: &leadership::Leader,
    heads: ledger::Heads,
) -> bool {
    let end = EndedInOrder {
        leader: leader.clone(),
        heads,
    };
    let calls = context.store.roster().into_iter().map(|peer| {
        let (context, end) = (context.clone(), end.clone());
        tokio::spawn(async move {
            let told = context.peers.call(peer, ENDED_SERVICE, &end, ENDED_TIMEOUT);
            let heard: Result<(), peer::PeerError> = told.await;
            heard.is_ok()
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut any = false;
    for call in calls {
        any |= call.await.unwrap_or(false);
    }
    any
}

async fn greet(context: Context) {
    let mut not_leading = fleet::NotLeading::default();
    let speed = sync::Arc::new(sync::Mutex::new(fleet::AnswerTimes::default()));
    let mut changes = context.leadership.subscribe();
    loop {
        let known = changes.borrow_and_update().clone();
        if let Some(leader) = known.leader
            && leader.member != context.me
        {
            let outcome = hello(&context, &leader, &speed).await;
            if outcome != Outcome::NotLeading {
                not_leading.reset();
            }
            let allowed = mutex::lock(&speed).allowed_silence();
            let cause = why_over(&context, &leader, outcome, allowed, &mut not_leading).await;
            if let Some(cause) = cause {
                ended(&context, &leader, known.key_revision, cause);
            }
        }
        // A new leader is greeted at once.
        let pause = fleet::hello_pause(context.store.instances());
        let _ = tokio::time::timeout(pause, changes.changed()).await;
    }
}

/// Takes in how a greeting ended; why the leader's term is over, if it is.
async fn why_over(
    context: &Context,
    leader: &leadership::Leader,
    outcome: Outcome,
    allowed: time::Duration,
    not_leading: &mut fleet::NotLeading,
) -> Option<&'static str> {
    match outcome {
        Outcome::Welcome => {
            heard(context, true);
            None
        }
        // It may read for seconds; the next winner would read as long.
        Outcome::Beginning => {
            heard(context, false);
            None
        }
        Outcome::Ended => Some(PROCESS_GONE),
        Outcome::NotLeading => {
            heard(context, false);
            ask_peers(context, leader).await;
            let over = not_leading.is_over(leader.epoch, context.clock.now());
            over.then_some(DOES_NOT_LEAD)
        }
        Outcome::Silent => {
            let views = ask_peers(context, leader).await;
            is_lost(context, leader, &views, allowed).then_some(MISSED)
        }
    }
}

/// Notes that the leader's process answered, and whether it leads.
fn heard(context: &Context, leads: bool) {
    let now = context.clock.now();
    leadership::note(context, |known| {
        known.heard_at = Some(now);
        if leads {
            known.answered_at = Some(now);
        }
    });
}

/// Whether a leader that does not answer here is lost to the others as well.
fn is_lost(
    context: &Context,
    leader: &leadership::Leader,
    peers: &[fleet::PeerView],
    allowed: time::Duration,
) -> bool {
    let known = context.leadership.borrow().clone();
    let Some(heard_at) = known.heard_at else {
        return false;
    };
    let silence = context.clock.now().saturating_duration_since(heard_at);
    let lost = known.leader.as_ref() == Some(leader) && fleet::is_lost(silence, peers, allowed);
    crate::event!(
        events::fleet::LEADER_SILENT,
        leader = leader.member,
        epoch = leader.epoch,
        silent_ms = silence.as_millis(),
        allowed_ms = allowed.as_millis(),
        peers = format_args!("{peers:?}"),
        lost = lost
    );
    lost
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Welcome,
    /// It has won a term and reads the records.
    Beginning,
    NotLeading,
    Ended,
    Silent,
}

/// How quickly the leader answers.
type Speed = sync::Arc<sync::Mutex<fleet::AnswerTimes>>;

/// Greets the leader once. A greeting that is overdue goes on beside the next one,
/// since a late answer shows as well that the leader lives.
async fn hello(context: &Context, leader: &leadership::Leader, speed: &Speed) -> Outcome {
    if leader.member.id == context.me.id {
        // An earlier life of this very instance.
        return Outcome::Ended;
    }
    let greeting = greet_once(context.clone(), leader.clone(), speed.clone());
    let greeting = tokio::spawn(greeting);
    match tokio::time::timeout(fleet::HELLO_TIMEOUT, greeting).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => Outcome::Silent,
    }
}

async fn greet_once(context: Context, leader: leadership::Leader, speed: Speed) -> Outcome {
    let call = calls::LeaderCall::Hello {
        leader: leader.member.clone(),
        member: context.me.id.clone(),
        address: context.settings.peer_address,
        failure_domain: context.settings.failure_domain.clone(),
        cpu_millis: match leadership::may_stand(&context) && context.store.answers_directly() {
            true => fitness::cpu_millis(&context),
            false => 0,
        },
        roster: context.store.roster_hash(),
    };
    // A link can have broken long ago, so a quick failure is tried once more.
    let begun = context.clock.now();
    for _ in 0..2 {
        let asked_at = context.clock.since_boot();
        let service = calls::LEADER_SERVICE;
        let answer = context
            .peers
            .call(leader.address, service, &call, fleet::LATE_ANSWER)
            .await;
        let took = context.clock.now().saturating_duration_since(begun);
        match answer {
            Ok(answer) => {
                mutex::lock(&speed).note(took);
                note_proof(&context, &answer, asked_at);
                return take_in_answer(&context, &leader, answer, took);
            }
            Err(error) => {
                context.peers.forget(leader.address);
                if error.is_refused() {
                    return Outcome::Ended;
                }
                if took >= fleet::HELLO_TIMEOUT / 2 {
                    return Outcome::Silent;
                }
            }
        }
    }
    Outcome::Silent
}

fn note_proof(context: &Context, answer: &calls::LeaderAnswer, asked_at: time::Duration) {
    if let calls::LeaderAnswer::Welcome {
        config: Some(stamp),
        ..
    } = answer
    {
        context.config_proof.told(*stamp, asked_at);
    }
}

fn take_in_answer(
    context: &Context,
    leader: &leadership::Leader,
    answer: calls::LeaderAnswer,
    took: time::Duration,
) -> Outcome {
    let (peers, strongest_millis) = match answer {
        calls::LeaderAnswer::Welcome {
            peers,
            strongest_millis,
            ..
        } => (peers, strongest_millis),
        calls::LeaderAnswer::Beginning => return Outcome::Beginning,
        calls::LeaderAnswer::OtherLife => return Outcome::Ended,
        _ => return Outcome::NotLeading,
    };
    leadership::note(context, |known| known.strongest_millis = strongest_millis);
    if let Some(mut others) = peers {
        others.push(leader.address);
        context.store.set_roster(others);
    }
    let same = context.leadership.borrow().leader.as_ref() == Some(leader);
    if took > fleet::HELLO_TIMEOUT && same {
        heard(context, true);
    }
    Outcome::Welcome
}

fn ended(context: &Context, leader: &leadership::Leader, key_revision: u64, cause: &'static str) {
    context.leadership.send_if_modified(|known| {
        let same = known.leader.as_ref() == Some(leader) && known.key_revision == key_revision;
        if !same || known.ended_revision == Some(key_revision) {
            return false;
        }
        crate::event!(
            events::fleet::LEADER_ENDED,
            leader = leader.member,
            epoch = leader.epoch,
            cause = cause
        );
        known.ended_revision = Some(key_revision);
        known.answered_at = None;
        true
    });
}

/// Asks peers what they know of the leader, and takes over what is newer: where the store cannot be read, a peer may know of a new leader.
async fn ask_peers(context: &Context, leader: &leadership::Leader) -> Vec<fleet::PeerView> {
    let mut others = context.store.roster();
    others.retain(|address| *address != leader.address);
    others.truncate(fleet::MAX_PEERS_ASKED);
    let asked = others.into_iter().map(|other| {
        let peers = context.peers.clone();
        async move {
            peers
                .call(other, WHO_LEADS, &WhoLeads, fleet::SIGHTING_TIMEOUT)
                .await
        }
    });
    let answers: Vec<Result<Sighting, _>> = futures_util::future::join_all(asked).await;
    let mut views = Vec::new();
    for answer in answers {
        let Ok(sighting) = answer else {
            views.push(fleet::PeerView::Unreachable);
            continue;
        };
        views.push(view(&sighting, leader));
        if let Some(known) = sighting.leader {
            let adopt = |own: &mut leadership::Leadership| leadership::adopt(own, known);
            context.leadership.send_if_modified(adopt);
        }
    }
    views
}

fn view(sighting: &Sighting, leader: &leadership::Leader) -> fleet::PeerView {
    let same = sighting.leader.as_ref() == Some(leader);
    match sighting.heard_ms_ago {
        Some(ago) if same => fleet::PeerView::Heard(time::Duration::from_millis(ago)),
        _ => fleet::PeerView::Unknown,
    }
}
