//! Follows the operators' configuration, and keeps the proof that it is in force.
//!
//! A watch brings the leader a new version within milliseconds. It is asked again
//! every second, since a connection can go silent and only the missing answer
//! shows it. That a watch brings nothing proves nothing, so the store is also asked
//! for the configuration unless it has the revision known here; that answer is
//! never older than its question. The leader asks all the time and passes its
//! proof on with its answers to greetings, which so tell the others of a newer
//! version too. Where these answers are missing the others watch and ask for
//! themselves. A version never goes back.

use std::sync;
use std::time;

use figscale_core::fleet as scheduling;
use figscale_platform::config;
use figscale_platform::store;
use figscale_types::fleet;
use figscale_types::mutex;
use tokio::sync::Notify;

use super::Context;
use super::access;
use crate::events;

/// How long one watch waits. A change must be in force within 2 s of the
/// operators' write, and a silent connection costs one wait and a timeout.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(700);
/// Pause after a failed watch.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Time between looks at how old the proof is.
const PROOF_LOOK: time::Duration = time::Duration::from_millis(250);
/// The leader's proof is renewed when it is older.
const LEADER_PROOF_AGE: time::Duration = time::Duration::from_millis(400);
/// Another instance hears of changes from the leader while its proof is younger.
const HEARS_FROM_LEADER_AGE: time::Duration = time::Duration::from_millis(1_250);
/// Any other instance asks for itself when its proof is older.
const OWN_PROOF_AGE: time::Duration = time::Duration::from_millis(1_500);

/// The proof of the configuration that this instance knows.
#[derive(Default)]
pub(super) struct Shared {
    proof: sync::Mutex<scheduling::ConfigProof>,
    outdated: Notify,
}

impl Shared {
    /// The proof as it stands.
    pub(super) fn proof(&self) -> scheduling::ConfigProof {
        *mutex::lock(&self.proof)
    }

    /// Takes in a proof that the leader, asked at `asked_at`, passed on.
    pub(super) fn told(&self, stamp: scheduling::ProofStamp, asked_at: time::Duration) {
        let told = mutex::lock(&self.proof).told(stamp, asked_at);
        if told == scheduling::Told::Outdated {
            self.outdated.notify_one();
        }
    }

    fn change(&self, change: impl FnOnce(&mut scheduling::ConfigProof)) {
        change(&mut mutex::lock(&self.proof));
    }
}

/// Starts following.
pub(super) fn start(context: &Context) {
    tokio::spawn(watch(context.clone()));
    tokio::spawn(keep_proven(context.clone()));
}

/// Whether the configuration known here is proven to be in force.
pub(super) fn is_proven(context: &Context) -> bool {
    let bound = context.fleet.max_config_age();
    let proof = context.config_proof.proof();
    proof.holds(bound, context.clock.since_boot())
}

/// Brings changes as they happen, while the store answers from here and nobody else
/// tells of them.
async fn watch(context: Context) {
    loop {
        if hears_from_leader(&context) {
            tokio::time::sleep(PROOF_LOOK).await;
            continue;
        }
        let known = context.config_proof.proof().revision();
        let watched = match known {
            0 => Ok(store::Watched::Compacted),
            known => context.store.watch(config::KEY, known, WATCH_WAIT).await,
        };
        match watched {
            Ok(store::Watched::Events { events, .. }) => {
                for event in &events {
                    if let store::Event::Written(item) = event
                        && item.key == config::KEY
                    {
                        adopt(&context, access::Version::read(item));
                    }
                }
            }
            // The reason is logged where the store is called.
            Ok(store::Watched::Compacted) | Err(_) => {
                context.config_proof.outdated.notify_one();
                tokio::time::sleep(spread(&context, RETRY_PAUSE)).await;
            }
        }
    }
}

/// Asks for the configuration whenever the proof is old, or somebody knows of a
/// newer one.
async fn keep_proven(context: Context) {
    loop {
        let outdated = context.config_proof.outdated.notified();
        let pause = spread(&context, PROOF_LOOK);
        let called = tokio::time::timeout(pause, outdated).await.is_ok();
        if called || is_old(&context) {
            ask(&context).await;
        }
    }
}

/// A pause that the more instances there are, the longer each of them takes.
fn spread(context: &Context, pause: time::Duration) -> time::Duration {
    scheduling::spread_over(pause, context.store.instances())
}

/// Whether the leader's answers to greetings tell of new versions as well.
fn hears_from_leader(context: &Context) -> bool {
    let age = context.config_proof.proof().age(context.clock.since_boot());
    let leading = context.leadership.borrow().leading;
    !leading && age.is_some_and(|age| age < HEARS_FROM_LEADER_AGE)
}

fn is_old(context: &Context) -> bool {
    let allowed = match context.leadership.borrow().leading {
        true => LEADER_PROOF_AGE,
        false => OWN_PROOF_AGE,
    };
    let age = context.config_proof.proof().age(context.clock.since_boot());
    age.is_none_or(|age| age >= allowed)
}

async fn ask(context: &Context) {
    let asked_at = context.clock.since_boot();
    let known = context.config_proof.proof().revision();
    // The reason of a failure is logged where the store is called.
    let revision = match context.store.configuration(known).await {
        Ok(access::Configuration::Same) => known,
        Ok(access::Configuration::Other(version)) => {
            let revision = version.revision;
            adopt(context, *version);
            revision
        }
        Ok(access::Configuration::Gone) | Err(_) => return,
    };
    context
        .config_proof
        .change(|proof| proof.read(revision, asked_at));
}

/// Puts a newer version in force. One that cannot be read leaves the last one in
/// force, and is told of once.
fn adopt(context: &Context, version: access::Version) {
    let access::Version { revision, table } = version;
    if revision <= context.config_proof.proof().revision() {
        return;
    }
    match table {
        Ok(table) => put_in_force(context, revision, table),
        Err(error) => {
            crate::event!(
                events::fleet::CONFIG_INVALID,
                revision = revision,
                error = error
            );
        }
    }
    context.config_proof.change(|proof| proof.seen(revision));
}

fn put_in_force(context: &Context, revision: u64, table: fleet::QueueTable) {
    let known = context.queues.borrow().version;
    if table.version <= known {
        return;
    }
    crate::event!(
        events::fleet::CONFIG_IN_FORCE,
        version = table.version,
        before = known,
        revision = revision,
        queues = table.queues.len(),
        customers = table.customers.as_ref().map_or(0, fleet::Customers::len)
    );
    context.queues.send_replace(sync::Arc::new(table));
}
