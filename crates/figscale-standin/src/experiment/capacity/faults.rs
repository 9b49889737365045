//! Entry processes that go, and the time until their shards have holders again.

use std::process;
use std::time;

use figscale_types::claims;
use figscale_types::ids;

use super::fleet;
use super::load;

/// Longest wait for the shards of those that went.
const TAKEOVER_LIMIT: time::Duration = time::Duration::from_secs(40);
/// Longest wait for the end of a process that was asked to end.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(35);
/// Time between looks.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// What happened after entry processes went.
#[derive(Clone, Copy, Debug)]
pub(super) struct Takeover {
    /// Time until every shard had a holder among the others.
    pub(super) time: time::Duration,
    /// Tasks that ran before.
    pub(super) running_before: usize,
    /// Fewest tasks that ran at any look.
    pub(super) running_least: usize,
}

/// Kills these entry processes at once and waits for the takeover.
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

/// Asks an entry process to end in order, and waits for its end.
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
        eyre::bail!("there is no {member}");
    };
    let mut entry = fleet.entries.remove(index);
    let status = process::Command::new("kill")
        .args(["-TERM", &entry.pid().to_string()])
        .status()?;
    eyre::ensure!(status.success(), "kill failed");
    let began = time::Instant::now();
    while !entry.has_ended()? {
        eyre::ensure!(began.elapsed() < STOP_LIMIT, "{member} does not end");
        tokio::time::sleep(LOOK).await;
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
    gone: &[ids::MemberId],
    running_before: usize,
) -> eyre::Result<Takeover> {
    let began = time::Instant::now();
    let mut running_least = load::running(fleet);
    while !all_held_by_others(fleet, gone) {
        eyre::ensure!(
            began.elapsed() < TAKEOVER_LIMIT,
            "not all shards have a holder again within {TAKEOVER_LIMIT:?}"
        );
        running_least = running_least.min(load::running(fleet));
        tokio::time::sleep(LOOK).await;
    }
    Ok(Takeover {
        time: began.elapsed(),
        running_before,
        running_least,
    })
}

fn all_held_by_others(fleet: &fleet::Fleet, gone: &[ids::MemberId]) -> bool {
    let Some(value) = fleet.platform.read("claims") else {
        return false;
    };
    let Ok(claims) = serde_json::from_slice::<claims::Claims>(&value.bytes) else {
        return false;
    };
    let by_other = |shard: &claims::Shard| {
        let holder = shard.holder.as_ref();
        holder.is_some_and(|holder| !gone.contains(&holder.id))
    };
    claims.shards.values().all(by_other)
}
