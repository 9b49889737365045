//! Follows the operators' configuration, and maintains the proof that the version
//! known here is still the newest.
//!
//! A watch delivers a new version to the leader within milliseconds. Each watch
//! lasts less than a second and is then issued again, since a connection can
//! stop responding and only the missing answer shows it. A watch without an event
//! proves nothing, so the store is also queried for the configuration, which it
//! returns only if the revision is not the one known here. Its answer shows the
//! state at the time of the query or later.
//!
//! The leader queries the store continually and sends its proof with its answers
//! to heartbeats, by which the other instances learn of a newer version too.
//! Where these answers are missing, the other instances watch and query the store
//! themselves. A version is never replaced by an older one.

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

/// Longest wait of one watch. A change must be in force within 2 s of the
/// operators' write, and an unresponsive connection costs one wait and a timeout.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(700);
/// Pause after a failed watch.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Time between checks of the proof's age.
const PROOF_CHECK_PAUSE: time::Duration = time::Duration::from_millis(250);
/// The leader renews its proof when it is this old.
const LEADER_PROOF_AGE: time::Duration = time::Duration::from_millis(400);

/// The proof that the configuration known to this instance is still the newest.
#[derive(Default)]
pub(super) struct SharedProof {
    proof: sync::Mutex<scheduling::ConfigProof>,
    /// Notified when the store is to be queried without delay.
    outdated: Notify,
}

impl SharedProof {
    /// The current proof.
    pub(super) fn proof(&self) -> scheduling::ConfigProof {
        *mutex::lock(&self.proof)
    }

    /// Applies a proof that the leader sent with its answer to a heartbeat sent at
    /// `asked_at`.
    pub(super) fn apply_leader_proof(
        &self,
        stamp: scheduling::ProofStamp,
        asked_at: time::Duration,
    ) {
        let applied = mutex::lock(&self.proof).apply_stamp(stamp, asked_at);
        if applied == scheduling::StampOutcome::Outdated {
            self.outdated.notify_one();
        }
    }

    fn change(&self, change: impl FnOnce(&mut scheduling::ConfigProof)) {
        change(&mut mutex::lock(&self.proof));
    }
}

/// Starts the tasks that follow the configuration and renew the proof.
pub(super) fn start(context: &Context) {
    tokio::spawn(watch(context.clone()));
    tokio::spawn(renew_proof(context.clone()));
}

/// Whether the proof is recent enough for the configuration known here to be used.
pub(super) fn is_proven(context: &Context) -> bool {
    let bound = context.fleet.max_config_age();
    let proof = context.config_proof.proof();
    proof.holds(bound, context.clock.since_boot())
}

/// Applies changes as they happen, while the store answers this instance and the
/// leader does not report them.
async fn watch(context: Context) {
    loop {
        if leader_reports_changes(&context) {
            tokio::time::sleep(PROOF_CHECK_PAUSE).await;
            continue;
        }
        let known = context.config_proof.proof().revision();
        let watched = match known {
            0 => Ok(store::WatchResult::Compacted),
            known => context.store.watch(config::KEY, known, WATCH_WAIT).await,
        };
        match watched {
            Ok(store::WatchResult::Events { events, .. }) => {
                for event in &events {
                    if let store::Event::Written(item) = event
                        && item.key == config::KEY
                    {
                        apply_version(&context, access::Version::read(item));
                    }
                }
            }
            // The cause of a failure is logged by the call to the store.
            Ok(store::WatchResult::Compacted) | Err(_) => {
                context.config_proof.outdated.notify_one();
                tokio::time::sleep(scaled(&context, RETRY_PAUSE)).await;
            }
        }
    }
}

/// Queries the store for the configuration whenever the proof is old, or a newer
/// version may exist.
async fn renew_proof(context: Context) {
    loop {
        let outdated = context.config_proof.outdated.notified();
        let pause = scaled(&context, PROOF_CHECK_PAUSE);
        let notified = tokio::time::timeout(pause, outdated).await.is_ok();
        if notified || is_renewal_due(&context) {
            query_store(&context).await;
        }
    }
}

/// A pause that grows with the number of instances, so that all of them together
/// do not call the store more often.
fn scaled(context: &Context, pause: time::Duration) -> time::Duration {
    scheduling::scaled_interval(pause, context.store.instances())
}

/// Whether the leader's answers to heartbeats report new versions to this instance.
fn leader_reports_changes(context: &Context) -> bool {
    let age = context.config_proof.proof().age(context.clock.since_boot());
    let leading = context.leadership.borrow().leading;
    let bound = context.fleet.max_config_age();
    let allowed = scheduling::max_age_without_watch(context.store.instances(), bound);
    !leading && age.is_some_and(|age| age < allowed)
}

/// Whether the proof is old enough to be renewed from the store.
fn is_renewal_due(context: &Context) -> bool {
    let allowed = match context.leadership.borrow().leading {
        true => LEADER_PROOF_AGE,
        false => {
            let bound = context.fleet.max_config_age();
            scheduling::follower_renewal_age(context.store.instances(), bound)
        }
    };
    let age = context.config_proof.proof().age(context.clock.since_boot());
    age.is_none_or(|age| age >= allowed)
}

async fn query_store(context: &Context) {
    let asked_at = context.clock.since_boot();
    let known = context.config_proof.proof().revision();
    // The cause of a failure is logged by the call to the store.
    let revision = match context.store.configuration(known).await {
        Ok(access::Configuration::Same) => known,
        Ok(access::Configuration::Other(version)) => {
            let revision = version.revision;
            apply_version(context, *version);
            revision
        }
        Ok(access::Configuration::Gone) | Err(_) => return,
    };
    context
        .config_proof
        .change(|proof| proof.read(revision, asked_at));
}

/// Puts a newer version in force. A version that cannot be read leaves the last
/// one in force, and is logged once.
fn apply_version(context: &Context, version: access::Version) {
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
    context
        .config_proof
        .change(|proof| proof.record_watched(revision));
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
