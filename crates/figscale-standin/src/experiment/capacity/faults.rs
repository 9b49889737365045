//! Stops or kills entry processes and measures the time until their shards have
//! holders again.

use std::process;
use std::time;

use figscale_types::claims;
use figscale_types::ids;

use super::fleet;
use super::load;

/// Time limit for new holders of the shards.
const TAKEOVER_LIMIT: time::Duration = time::Duration::from_secs(40);
/// Time limit for the exit of a process after the termination signal.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(35);
/// Interval of the checks.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Result of the takeover after entry processes were removed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Takeover {
    /// Time until every shard had a holder among the remaining processes.
    pub(super) time: time::Duration,
    /// Number of running tasks before.
    pub(super) running_before: usize,
    /// Smallest number of running tasks at any check.
    pub(super) running_least: usize,
}

/// Kills these entry processes and waits for the takeover.
pub(super) async fn kill(
    fleet: &mut fleet::Fleet,
    members: &[ids::MemberId],
) -> eyre::Result<Takeover> {
    let running_before = load::running(fleet);
    // Dropping a process kills it.
    fleet
        .entries
        .retain(|entry| !members.contains(&entry.addresses.member));
    takeover(fleet, members, running_before).await
}

/// Sends an entry process the termination signal, then waits for its exit and the
/// takeover.
pub(super) async fn replace(
    fleet: &mut fleet::Fleet,
    member: &ids::MemberId,
) -> eyre::Result<Takeover> {
    let running_before = load::running(fleet);
    let found = fleet
        .entries
        .iter()
        .position(|e| e.addresses.member == *member);
    let Some(index) = found else {
        eyre::bail!("no entry process {member}");
    };
    let mut entry = fleet.entries.remove(index);
    let status = process::Command::new("kill")
        .args(["-TERM", &entry.pid().to_string()])
        .status()?;
    eyre::ensure!(status.success(), "kill -TERM failed");
    let began = time::Instant::now();
    while !entry.has_ended()? {
        eyre::ensure!(
            began.elapsed() < STOP_LIMIT,
            "{member} did not exit within {STOP_LIMIT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let stopped = began.elapsed();
    let rest = takeover(fleet, std::slice::from_ref(member), running_before).await?;
    Ok(Takeover {
        time: stopped + rest.time,
        ..rest
    })
}

async fn takeover(
    fleet: &fleet::Fleet,
    removed: &[ids::MemberId],
    running_before: usize,
) -> eyre::Result<Takeover> {
    let began = time::Instant::now();
    let mut running_least = load::running(fleet);
    while !all_held_by_others(fleet, removed) {
        eyre::ensure!(
            began.elapsed() < TAKEOVER_LIMIT,
            "shards without a holder {TAKEOVER_LIMIT:?} after the removal"
        );
        running_least = running_least.min(load::running(fleet));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(Takeover {
        time: began.elapsed(),
        running_before,
        running_least,
    })
}

fn all_held_by_others(fleet: &fleet::Fleet, removed: &[ids::MemberId]) -> bool {
    let Some(value) = fleet.platform.read("claims") else {
        return false;
    };
    let Ok(claims) = serde_json::from_slice::<claims::Claims>(&value.bytes) else {
        return false;
    };
    let by_other = |shard: &claims::Shard| {
        let holder = shard.holder.as_ref();
        holder.is_some_and(|holder| !removed.contains(&holder.id))
    };
    claims.shards.values().all(by_other)
}
