//! Leader election.
//!
//! The leader's key is bound to the leader's lease and only shows that the
//! leader is alive. Leadership itself is decided by the chain heads of the
//! ledger: whoever changes all of them, on the condition that they are still as
//! they were read, leads the next term. A takeover is therefore safe at any
//! moment, even while the former leader still runs: its writes fail from then
//! on, and workers that the new leader has called refuse its orders.
//!
//! An instance runs for leader when the leader's key is gone, or when the
//! leader's process is known to have ended. It does not while the leader still
//! answers heartbeats: a lease can end because of a fault of the store, and the
//! leader then writes its key again within one renewal.

use std::time;

use figscale_core::fleet as scheduling;
use figscale_platform::CallError;
use figscale_platform::store;
use figscale_types::fleet;
use figscale_types::verdict::Verdict;
use rand::RngExt as _;
use tokio::sync::watch;
use tokio::task;

use super::Context;
use super::heartbeat;
use super::keys;
use super::leadership;
use super::ledger;
use super::machine_health;
use super::term;
use crate::events;
use crate::peer;

/// Pause after a failed call to the store.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Candidates start at random moments within this time, so that most of them
/// learn that another has won before they start.
const JITTER_SPAN: time::Duration = time::Duration::from_millis(40);
/// How long an instance counts as recently started; in a rolling restart each
/// instance takes a second or two.
const RECENT_START: time::Duration = time::Duration::from_secs(20);
/// How long a candidate tries to learn the outcome of its transaction.
const MAX_OUTCOME_WAIT: time::Duration = time::Duration::from_secs(3);
/// How long an instance does not run for leader after it gave up leadership.
pub(super) const CANDIDACY_PAUSE: time::Duration = time::Duration::from_secs(4);

/// Starts to track the leader, and to run for leader when there is none.
pub(super) fn start(context: &Context, handlers: &mut peer::Handlers) {
    heartbeat::start(context, handlers);
    tokio::spawn(watch_leader_key(context.clone()));
    tokio::spawn(candidate_loop(context.clone()));
}

/// Follows the leader's key.
async fn watch_leader_key(context: Context) {
    loop {
        let on_change = |item: Option<&store::Item>| apply_leader_key(&context, item);
        let wait = || scheduling::leader_watch_wait(context.store.instances());
        let followed = context.store.follow_key(keys::LEAD, wait, on_change).await;
        // The cause is logged by the call to the store.
        if followed.is_err() {
            leadership::update_silently(&context, |known| known.store_was_unavailable = true);
            let pause = scheduling::scaled_interval(RETRY_PAUSE, context.store.instances());
            tokio::time::sleep(pause).await;
        }
    }
}

/// Updates what is known from the leader's key, `None` if there is no key.
fn apply_leader_key(context: &Context, item: Option<&store::Item>) {
    let leader: Option<leadership::Leader> =
        item.and_then(|item| serde_json::from_slice(&item.value).ok());
    let now = context.clock.now();
    context.leadership.send_modify(|known| {
        known.key_known = true;
        match item {
            Some(_) => known.vacant_since = None,
            None => known.vacant_since = known.vacant_since.or(Some(now)),
        }
        known.store_was_unavailable &= item.is_none();
        known.key_revision = item.map_or(0, |item| item.revision);
        if let Some(leader) = leader {
            leadership::record_leader(known, leader, now);
        }
    });
}

/// Runs for leader whenever there is none, and leads the terms that it wins.
async fn candidate_loop(context: Context) {
    loop {
        let key_revision = wait_for_vacancy(&context).await;
        if !leadership::may_run_for_leader(&context) {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        match run_for_leader(&context, key_revision).await {
            Ok(Some((won, loading))) => {
                let ended = term::lead(&context, won, loading).await;
                if matches!(ended, term::Ended::OutOfReach | term::Ended::Yielded) {
                    let until = context.clock.now() + CANDIDACY_PAUSE;
                    let pause_candidacy =
                        |known: &mut leadership::Leadership| known.no_candidacy_until = Some(until);
                    context.leadership.send_modify(pause_candidacy);
                }
            }
            Ok(None) => (),
            Err(error) => {
                crate::event!(events::fleet::ELECTION_FAILED, error = error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits until there is no leader, as far as this instance can know. Returns the
/// revision of the leader's key on which that is based, 0 for no key.
///
/// After the delay that lets other candidates go first the vacancy is checked
/// again. Without the second check 25 candidates ran against a winner that they
/// knew of, each reading all records, and the winner's term of 226 jobs began
/// 0.5 s later.
async fn wait_for_vacancy(context: &Context) -> u64 {
    let mut changes = context.leadership.subscribe();
    // Revision of the vacancy found before the delay.
    let mut found = None;
    loop {
        let vacant = vacancy(&changes, context.clock.now());
        match vacant {
            Vacancy::Now(key_revision) if found == Some(key_revision) => return key_revision,
            Vacancy::Now(key_revision) => {
                found = Some(key_revision);
                tokio::time::sleep(candidacy_delay(context)).await;
            }
            Vacancy::In(wait) => {
                let _ = tokio::time::timeout(wait, changes.changed()).await;
            }
            Vacancy::Unknown => {
                let _ = changes.changed().await;
            }
        }
    }
}

/// Time to wait before running for leader, so that not all candidates run at
/// once.
///
/// Weaker instances run after stronger ones. Among equals, instances that have
/// just started go first: in a rolling restart the others are still to be
/// restarted, and leadership would move with each of them.
fn candidacy_delay(context: &Context) -> time::Duration {
    let uptime = context
        .clock
        .now()
        .saturating_duration_since(context.started);
    let fraction = rand::rng().random_range(0.0..1.0);
    let jitter = match uptime < RECENT_START {
        true => JITTER_SPAN.mul_f64(fraction / 4.0),
        false => JITTER_SPAN.mul_f64(fraction * 0.75 + 0.25),
    };
    let strongest_millis = context.leadership.borrow().strongest_millis;
    jitter + scheduling::candidacy_delay(machine_health::cpu_millis(context), strongest_millis)
}

/// Whether there is a leader.
enum Vacancy {
    /// There is no leader as long as the leader's key has this revision.
    Now(u64),
    /// There is none if the key does not reappear within this time.
    In(time::Duration),
    /// There is a leader, or the key has not been read yet.
    Unknown,
}

fn vacancy(changes: &watch::Receiver<leadership::Leadership>, now: time::Instant) -> Vacancy {
    let known = changes.borrow();
    if !known.key_known {
        return Vacancy::Unknown;
    }
    if known.key_revision > 0 {
        let ended = known.ended_revision == Some(known.key_revision);
        return if ended {
            Vacancy::Now(known.key_revision)
        } else {
            Vacancy::Unknown
        };
    }
    let may_have_leader = scheduling::may_have_leader(scheduling::LeaderEvidence {
        answered_ago: known
            .answered_as_leader_at
            .map(|at| now.saturating_duration_since(at)),
        knows_leader: known.leader.is_some(),
        store_was_unavailable: known.store_was_unavailable,
    });
    let until = known
        .vacant_since
        .filter(|_| may_have_leader)
        .map(|since| since + scheduling::RENEWAL_GRACE);
    match until.filter(|until| now < *until) {
        Some(until) => Vacancy::In(until - now),
        None => Vacancy::Now(0),
    }
}

/// Tries to win the next term, provided that the leader's key still has the
/// revision of the vacancy; `None` if another candidate was faster.
async fn run_for_leader(
    context: &Context,
    key_revision: u64,
) -> Result<Option<(term::Won, Loading)>, CallError> {
    let lease = AbortOnDrop(tokio::spawn(grant(context.clone())));
    let (known, announced) = last_heads(context).await?;
    let roster = context.store.roster();
    // One that has just started knows of no other instance, and a term that was not
    // settled leaves its predecessor's instances to count.
    let instances = match roster.is_empty() || !known.settled {
        true => known.instances.max(roster.len() + 1),
        false => roster.len() + 1,
    };
    wait_for_stronger_candidates(context, &known).await;
    let epoch = fleet::Epoch(known.epoch.0 + 1);
    // The records are read during the election: with a store that takes 0.2 s
    // for each answer the term begins 0.4 to 0.6 s sooner. A candidate that
    // loses the election stops reading.
    let loading = AbortOnDrop(tokio::spawn(load(context.clone(), epoch)));
    let lease = lease.joined().await?;
    let head = ledger::Head {
        epoch,
        leader: context.own_member.clone(),
        sequence: 0,
        strongest_millis: strongest_known(context),
        instances,
        settled: false,
    };
    let leader = leadership::Leader {
        member: context.own_member.clone(),
        address: context.settings.peer_address,
        epoch,
    };
    let mut transaction = store::Transaction {
        expected: vec![(keys::LEAD.to_owned(), key_revision)],
        writes: vec![(keys::LEAD.to_owned(), ledger::encode(&leader), Some(lease))],
        removals: Vec::new(),
    };
    let heads_revision = known.revisions.iter().copied().max().unwrap_or(0);
    for (chain, revision) in known.revisions.into_iter().enumerate() {
        let key = keys::head(chain);
        transaction.expected.push((key.clone(), revision));
        transaction.writes.push((key, ledger::encode(&head), None));
    }
    let elected_after = context.clock.since_boot();
    let won = commit(context, &transaction, &head).await?;
    crate::event!(
        events::fleet::ELECTION_ENDED,
        epoch = epoch,
        won = won.is_some(),
        key_revision = key_revision,
        heads_revision = heads_revision
    );
    match won {
        Some(heads_revision) => {
            let won = term::Won {
                head,
                heads_revision,
                lease,
                leader,
                elected_after,
                predecessor: known.leader.filter(|_| !announced),
                settled: known.settled,
                roster,
                instances,
            };
            Ok(Some((won, loading)))
        }
        None => {
            // No key is bound to this lease, and it would also expire by itself.
            let _ = context.store.revoke(lease).await;
            refresh_leader_key(context).await?;
            Ok(None)
        }
    }
}

/// Waits for the candidacy delay if the last winner knew of a stronger instance
/// and this one knows of none, as when all instances were restarted. Without it
/// a weak instance wins, which took 1.1 s to begin a term with 250 jobs and keeps
/// the term for at least three seconds.
async fn wait_for_stronger_candidates(context: &Context, heads: &ledger::Heads) {
    if context.leadership.borrow().strongest_millis > 0 {
        return;
    }
    let own_millis = machine_health::cpu_millis(context);
    let delay = scheduling::candidacy_delay(own_millis, heads.strongest_millis);
    tokio::time::sleep(delay).await;
}

/// Most processor capacity known that an instance could lead with, in
/// thousandths of a core.
fn strongest_known(context: &Context) -> u64 {
    let reported_millis = context.leadership.borrow().strongest_millis;
    reported_millis.max(machine_health::cpu_millis(context))
}

async fn grant(context: Context) -> Result<store::LeaseId, CallError> {
    let ttl = time::Duration::from_millis(context.fleet.leader_lease_ms);
    context.store.grant(ttl).await
}

async fn load(context: Context, epoch: fleet::Epoch) -> Result<term::load::Loaded, CallError> {
    term::load::load(&context, epoch).await
}

/// A read of the records in progress.
pub(super) type Loading = AbortOnDrop<term::load::Loaded>;

/// A call that runs as a task of its own and is aborted when this is dropped.
pub(super) struct AbortOnDrop<T>(task::JoinHandle<Result<T, CallError>>);

impl<T> AbortOnDrop<T> {
    pub(super) async fn joined(mut self) -> Result<T, CallError> {
        match (&mut self.0).await {
            Ok(result) => result,
            Err(error) => Err(CallError::may_have_run(error)),
        }
    }
}

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The current heads: as the last leader announced them at its end, or as read
/// from the store. Returns whether they were announced.
async fn last_heads(context: &Context) -> Result<(ledger::Heads, bool), CallError> {
    let mut announced = None;
    // Used once: if they are out of date, the next attempt reads the store.
    leadership::update_silently(context, |known| announced = known.last_heads.take());
    if let Some(heads) = announced {
        return Ok((heads, true));
    }
    let listing = context.store.list(keys::HEADS).await?;
    Ok((ledger::Heads::read(&listing.items), false))
}

/// Reads the leader's key again, so that after a lost election this instance does
/// not run again because of an outdated key.
async fn refresh_leader_key(context: &Context) -> Result<(), CallError> {
    let item = context.store.get(keys::LEAD).await?;
    apply_leader_key(context, item.as_ref());
    Ok(())
}

/// Sends the transaction until its outcome is known; returns the heads' revision
/// if the election was won.
async fn commit(
    context: &Context,
    transaction: &store::Transaction,
    head: &ledger::Head,
) -> Result<Option<u64>, CallError> {
    let started = context.clock.now();
    let mut in_doubt = false;
    loop {
        let error = match context.store.commit(transaction).await {
            Ok(store::Committed::Done { revision }) => return Ok(Some(revision)),
            Ok(store::Committed::Conflict { current }) => {
                return Ok(head.revision_in(0, &current));
            }
            Ok(store::Committed::LeaseEnded) => return Ok(None),
            Err(error) => error,
        };
        in_doubt |= error.verdict != Verdict::NotRun;
        let elapsed = context.clock.now().saturating_duration_since(started);
        if !in_doubt || elapsed > MAX_OUTCOME_WAIT {
            return Err(error);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
