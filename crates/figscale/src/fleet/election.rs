//! Who leads, and how an instance comes to lead.
//!
//! The key of the leader lives by its lease and is only a sign of life. What
//! decides are the heads of the ledger: whoever changes them, on the condition
//! that they are as they were read, leads the next term. So a takeover is safe at any
//! moment, also beside a leader that still runs: its writes fail from then on,
//! and workers that have heard the new leader refuse its orders.
//!
//! An instance stands when the leader's key is gone, or when the leader's
//! process is known to have ended. It does not while the leader still answers:
//! a lease can end by the store's own trouble, and the leader names itself
//! anew within one renewal.

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
use super::fitness;
use super::keys;
use super::leadership;
use super::ledger;
use super::membership;
use super::term;
use crate::events;
use crate::peer;

/// How long one watch of the leader's key waits.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// Pause after a failed call to the store.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Candidates spread over this time, so that most see that one has won.
const SPREAD: time::Duration = time::Duration::from_millis(40);
/// An instance is fresh for so long after its start; restarts in turn take
/// a second or two each.
const FRESH: time::Duration = time::Duration::from_secs(20);
/// How long a candidate tries to learn what became of its transaction.
const MAX_STANDING: time::Duration = time::Duration::from_secs(3);
/// After giving leadership up, an instance lets others lead for so long.
pub(super) const STAND_OFF: time::Duration = time::Duration::from_secs(4);

/// Starts to watch and to stand.
pub(super) fn start(context: &Context, handlers: &mut peer::Handlers) {
    membership::start(context, handlers);
    tokio::spawn(observe(context.clone()));
    tokio::spawn(stand_and_lead(context.clone()));
}

/// Keeps the leader's key in view.
async fn observe(context: Context) {
    loop {
        let seen = |item: Option<&store::Item>| see(&context, item);
        let followed = context.store.follow_key(keys::LEAD, WATCH_WAIT, seen).await;
        // The reason is logged where the store is called.
        if followed.is_err() {
            leadership::note(&context, |known| known.store_was_away = true);
            let pause = scheduling::spread_over(RETRY_PAUSE, context.store.instances());
            tokio::time::sleep(pause).await;
        }
    }
}

fn see(context: &Context, item: Option<&store::Item>) {
    let leader: Option<leadership::Leader> =
        item.and_then(|item| serde_json::from_slice(&item.value).ok());
    let now = context.clock.now();
    context.leadership.send_modify(|known| {
        known.key_known = true;
        match item {
            Some(_) => known.vacant_since = None,
            None => known.vacant_since = known.vacant_since.or(Some(now)),
        }
        known.store_was_away &= item.is_none();
        known.key_revision = item.map_or(0, |item| item.revision);
        if let Some(leader) = leader {
            leadership::adopt(known, leader);
        }
    });
}

async fn stand_and_lead(context: Context) {
    loop {
        let key_revision = wait_for_vacancy(&context).await;
        if !leadership::may_stand(&context) {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        match stand(&context, key_revision).await {
            Ok(Some((won, loading))) => {
                let ended = term::lead(&context, won, loading).await;
                if matches!(ended, term::Ended::OutOfReach | term::Ended::Yielded) {
                    let until = context.clock.now() + STAND_OFF;
                    let stand_off =
                        |known: &mut leadership::Leadership| known.stands_off_until = Some(until);
                    context.leadership.send_modify(stand_off);
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

/// Waits until nobody leads, as far as can be known from here; the revision of
/// the leader's key that this was concluded from, 0 for no key.
///
/// It is looked again after others could go first. Else 25 of them stood against
/// a winner that they knew of, each reading all records, and its term of 226
/// jobs began 0.5 s later.
async fn wait_for_vacancy(context: &Context) -> u64 {
    let mut changes = context.leadership.subscribe();
    // What a candidate found before it let others go first.
    let mut found = None;
    loop {
        let vacant = vacancy(&changes, context.clock.now());
        match vacant {
            Vacancy::Now(key_revision) if found == Some(key_revision) => return key_revision,
            Vacancy::Now(key_revision) => {
                found = Some(key_revision);
                tokio::time::sleep(spread(context)).await;
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

/// A little time, so that candidates do not all stand at once.
///
/// Weaker instances come after stronger ones.
/// Instances that have just started go first: when all are restarted in turn,
/// the others are still to be, and leadership would move with each.
fn spread(context: &Context) -> time::Duration {
    let uptime = context
        .clock
        .now()
        .saturating_duration_since(context.started);
    let part = rand::rng().random_range(0.0..1.0);
    let among_equals = match uptime < FRESH {
        true => SPREAD.mul_f64(part / 4.0),
        false => SPREAD.mul_f64(part * 0.75 + 0.25),
    };
    let strongest_millis = context.leadership.borrow().strongest_millis;
    among_equals + scheduling::standing_delay(fitness::cpu_millis(context), strongest_millis)
}

enum Vacancy {
    /// Nobody leads while the key has this revision.
    Now(u64),
    In(time::Duration),
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
    let answers = scheduling::may_be_led(scheduling::Sight {
        answered_ago: known
            .answered_at
            .map(|at| now.saturating_duration_since(at)),
        knows_leader: known.leader.is_some(),
        store_was_away: known.store_was_away,
    });
    let until = known
        .vacant_since
        .filter(|_| answers)
        .map(|since| since + scheduling::RENEWAL_GRACE);
    match until.filter(|until| now < *until) {
        Some(until) => Vacancy::In(until - now),
        None => Vacancy::Now(0),
    }
}

/// Tries to lead the next term, as long as the leader's key is as it was when
/// nobody led; `None` if another was faster.
async fn stand(
    context: &Context,
    key_revision: u64,
) -> Result<Option<(term::Won, Loading)>, CallError> {
    let lease = Aborting(tokio::spawn(grant(context.clone())));
    let known = last_heads(context).await?;
    let_stronger_stand(context, &known).await;
    let epoch = fleet::Epoch(known.epoch.0 + 1);
    // Beside a store that takes 0.2 s an answer this begins the term 0.4 to
    // 0.6 s sooner. Whoever loses the election reads no further.
    let loading = Aborting(tokio::spawn(load(context.clone(), epoch)));
    let lease = lease.joined().await?;
    let head = ledger::Head {
        epoch,
        leader: context.me.clone(),
        sequence: 0,
        strongest_millis: strongest_known(context),
    };
    let leader = leadership::Leader {
        member: context.me.clone(),
        address: context.settings.peer_address,
        epoch,
    };
    let mut transaction = store::Transaction {
        expected: vec![(keys::LEAD.to_owned(), key_revision)],
        writes: vec![(keys::LEAD.to_owned(), ledger::encode(&leader), Some(lease))],
        removals: Vec::new(),
    };
    for (chain, revision) in known.revisions.into_iter().enumerate() {
        let key = keys::head(chain);
        transaction.expected.push((key.clone(), revision));
        transaction.writes.push((key, ledger::encode(&head), None));
    }
    let won = commit(context, &transaction, &head).await?;
    crate::event!(
        events::fleet::ELECTION_ENDED,
        epoch = epoch,
        won = won.is_some(),
        key_revision = key_revision
    );
    match won {
        Some(heads_revision) => {
            let won = term::Won {
                head,
                heads_revision,
                lease,
                leader,
            };
            Ok(Some((won, loading)))
        }
        None => {
            // Nothing lives by it; it would end by itself as well.
            let _ = context.store.revoke(lease).await;
            refresh(context).await?;
            Ok(None)
        }
    }
}

/// Waits a moment if the last winner knew of a stronger instance and this one
/// knows of none, as when all have started anew. Else a weak one wins, which
/// took 1.1 s to begin with 250 jobs, and keeps its term for three seconds.
async fn let_stronger_stand(context: &Context, heads: &ledger::Heads) {
    if context.leadership.borrow().strongest_millis > 0 {
        return;
    }
    let own_millis = fitness::cpu_millis(context);
    let delay = scheduling::standing_delay(own_millis, heads.strongest_millis);
    tokio::time::sleep(delay).await;
}

fn strongest_known(context: &Context) -> u64 {
    let told_millis = context.leadership.borrow().strongest_millis;
    told_millis.max(fitness::cpu_millis(context))
}

async fn grant(context: Context) -> Result<store::LeaseId, CallError> {
    let ttl = time::Duration::from_millis(context.fleet.leader_lease_ms);
    context.store.grant(ttl).await
}

async fn load(context: Context, epoch: fleet::Epoch) -> Result<term::load::Loaded, CallError> {
    term::load::load(&context, epoch).await
}

/// The records, which are being read.
pub(super) type Loading = Aborting<term::load::Loaded>;

/// A call beside others, given up when nobody wants it any more.
pub(super) struct Aborting<T>(task::JoinHandle<Result<T, CallError>>);

impl<T> Aborting<T> {
    pub(super) async fn joined(mut self) -> Result<T, CallError> {
        match (&mut self.0).await {
            Ok(result) => result,
            Err(error) => Err(CallError::maybe(error)),
        }
    }
}

impl<T> Drop for Aborting<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The heads as they are now: as the last leader told at its end, or as read.
async fn last_heads(context: &Context) -> Result<ledger::Heads, CallError> {
    let mut told = None;
    // Used once: if they are out of date, the next try reads.
    leadership::note(context, |known| told = known.last_heads.take());
    if let Some(heads) = told {
        return Ok(heads);
    }
    let listing = context.store.list(keys::HEADS).await?;
    Ok(ledger::Heads::read(&listing.items))
}

/// Reads the leader's key again, so that a lost election is not repeated on
/// an old reading of it.
async fn refresh(context: &Context) -> Result<(), CallError> {
    let item = context.store.get(keys::LEAD).await?;
    see(context, item.as_ref());
    Ok(())
}

/// Commits until it is known what became of it; the heads' revision if won.
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
        let passed = context.clock.now().saturating_duration_since(started);
        if !in_doubt || passed > MAX_STANDING {
            return Err(error);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
