//! Measures the rows of each series: applies the load, then measures the entry
//! processes.

use std::time;

use eyre::OptionExt as _;
use figscale_types::ids;

use super::catalogue;
use super::faults;
use super::fleet;
use super::load;
use super::measure::Row;
use super::measure::Start;

/// Time between the start of a load and the start of the measurement.
const WARM_UP: time::Duration = time::Duration::from_secs(1);
/// Time limit for the start of tasks.
const TASKS_LIMIT: time::Duration = time::Duration::from_secs(25);
/// Time limit for a change to be in force at all entry instances.
const CHANGE_LIMIT: time::Duration = time::Duration::from_secs(5);
/// Number of changes timed for each number of owners.
const TIMED_CHANGES: usize = 5;

pub(super) async fn idle(
    fleet: &fleet::Fleet,
    series: &'static str,
    size: usize,
    window: time::Duration,
) -> eyre::Result<Row> {
    let start = Start::now(fleet)?;
    tokio::time::sleep(window).await;
    let row = start.row(fleet, series, size as f64)?;
    let documents = fleet.documents();
    let claims = documents.get("claims").copied().unwrap_or_default();
    let list = fleet.instance_list_bytes().await?;
    Ok(row
        .with("claims document bytes", claims as f64)
        .with("instance list bytes", list as f64))
}

fn ensure_catalogue(fleet: &fleet::Fleet) -> eyre::Result<()> {
    eyre::ensure!(fleet.revision.0 > 0, "no catalogue was accepted");
    Ok(())
}

pub(super) async fn requests(
    fleet: &fleet::Fleet,
    rate_per_s: f64,
    window: time::Duration,
) -> eyre::Result<Row> {
    ensure_catalogue(fleet)?;
    let load = load::requests(fleet, rate_per_s, window + 2 * WARM_UP)?;
    tokio::time::sleep(WARM_UP).await;
    let start = Start::now(fleet)?;
    tokio::time::sleep(window).await;
    let row = start.row(fleet, "requests/s", rate_per_s)?;
    let report = load.await?;
    let wrong = report.false_not_run(&fleet.requests).len() as u64 + report.all.wrong;
    Ok(row
        .with("answered", report.all.own as f64)
        .with("of", report.all.requests as f64)
        .with("wrong", wrong as f64)
        .with("wait p50 ms", report.all.wait.p50_ms)
        .with("wait p99 ms", report.all.wait.p99_ms))
}

pub(super) async fn changes_in_force(fleet: &mut fleet::Fleet, owners: usize) -> eyre::Result<Row> {
    ensure_catalogue(fleet)?;
    let start = Start::now(fleet)?;
    let mut times_ms = Vec::new();
    let mut late = 0;
    for version in 0..TIMED_CHANGES {
        match load::change(fleet, owners, version, CHANGE_LIMIT).await? {
            Some(time) => times_ms.push(time.as_secs_f64() * 1e3),
            None => late += 1,
        }
    }
    let row = start.row(fleet, "owners", owners as f64)?;
    let document = fleet.catalogue_bytes();
    let slowest = times_ms.iter().copied().fold(0.0, f64::max);
    times_ms.sort_by(f64::total_cmp);
    let median = times_ms.get(times_ms.len() / 2).copied().unwrap_or(0.0);
    Ok(row
        .with("in force ms, median", median)
        .with("in force ms, slowest", slowest)
        .with("later than the limit", f64::from(late))
        .with("catalogue bytes", catalogue_len(owners)? as f64)
        .with("catalogue document bytes", document as f64))
}

/// Size of the catalogue without its history, in bytes.
fn catalogue_len(owners: usize) -> eyre::Result<usize> {
    Ok(serde_json::to_vec(&catalogue::of(owners, 0)?)?.len())
}

pub(super) async fn changes(
    fleet: &mut fleet::Fleet,
    rate_per_s: f64,
    window: time::Duration,
) -> eyre::Result<Row> {
    ensure_catalogue(fleet)?;
    let start = Start::now(fleet)?;
    let accepted = load::changes(fleet, rate_per_s, window).await;
    let row = start.row(fleet, "changes/s", accepted as f64 / window.as_secs_f64())?;
    let document = fleet.catalogue_bytes();
    Ok(row.with("catalogue document bytes", document as f64))
}

pub(super) async fn starts(
    fleet: &fleet::Fleet,
    rate_per_s: f64,
    window: time::Duration,
) -> eyre::Result<Row> {
    ensure_catalogue(fleet)?;
    let load = load::starts(fleet, rate_per_s, window + 2 * WARM_UP);
    let urgent = load::urgent(fleet, window + 2 * WARM_UP);
    // Starts and ends are balanced only after the tasks of the first second have
    // ended.
    tokio::time::sleep(2 * WARM_UP).await;
    let before = load::started(fleet);
    let began = time::Instant::now();
    let start = Start::now(fleet)?;
    tokio::time::sleep(window).await;
    let started = load::started(fleet) - before;
    let per_s = started as f64 / began.elapsed().as_secs_f64();
    let row = start.row(fleet, "task starts/s", per_s)?;
    let submitted = load.await?;
    let mut urgent = urgent.await??;
    urgent.sort();
    let at = |index: usize| urgent.get(index).map_or(0.0, time::Duration::as_secs_f64);
    let documents = fleet.job_documents();
    Ok(row
        .with("asked for", rate_per_s)
        .with("urgent starts", urgent.len() as f64)
        .with("urgent start s, median", at(urgent.len() / 2))
        .with(
            "urgent start s, slowest",
            at(urgent.len().saturating_sub(1)),
        )
        .with("jobs accepted", submitted.accepted as f64)
        .with("jobs refused", submitted.refused as f64)
        .with("tasks so far", load::started(fleet) as f64)
        .with("largest job document bytes", documents.largest as f64)
        .with("job documents bytes", documents.all as f64))
}

pub(super) async fn running(
    fleet: &fleet::Fleet,
    count: usize,
    window: time::Duration,
) -> eyre::Result<Row> {
    ensure_catalogue(fleet)?;
    let began = time::Instant::now();
    load::run_tasks(fleet, count, TASKS_LIMIT).await?;
    let took = began.elapsed();
    tokio::time::sleep(WARM_UP).await;
    let start = Start::now(fleet)?;
    tokio::time::sleep(window).await;
    let runs = load::running(fleet);
    let row = start.row(fleet, "running tasks", runs as f64)?;
    let documents = fleet.job_documents();
    Ok(row
        .with("wanted", count as f64)
        .with("seconds to get there", took.as_secs_f64())
        .with("double runs", fleet.tasks.violations().len() as f64)
        .with("largest job document bytes", documents.largest as f64)
        .with("job documents bytes", documents.all as f64))
}

pub(super) async fn replaced(
    fleet: &mut fleet::Fleet,
    window: time::Duration,
) -> eyre::Result<Row> {
    let member = last_member(fleet)?;
    let start = Start::now_without(fleet, std::slice::from_ref(&member))?;
    let takeover = faults::replace(fleet, &member).await?;
    after_takeover(fleet, start, takeover, "entries replaced", 1, window).await
}

pub(super) async fn killed(
    fleet: &mut fleet::Fleet,
    count: usize,
    window: time::Duration,
) -> eyre::Result<Row> {
    eyre::ensure!(
        fleet.entries.len() > 2 * count,
        "too few entry processes would remain"
    );
    let members: Vec<_> = fleet.entries[fleet.entries.len() - count..]
        .iter()
        .map(|entry| entry.addresses.member.clone())
        .collect();
    let start = Start::now_without(fleet, &members)?;
    let takeover = faults::kill(fleet, &members).await?;
    after_takeover(fleet, start, takeover, "entries killed", count, window).await
}

fn last_member(fleet: &fleet::Fleet) -> eyre::Result<ids::MemberId> {
    let last = fleet
        .entries
        .last()
        .ok_or_eyre("no entry process is left")?;
    Ok(last.addresses.member.clone())
}

async fn after_takeover(
    fleet: &fleet::Fleet,
    start: Start,
    takeover: faults::Takeover,
    series: &'static str,
    count: usize,
    window: time::Duration,
) -> eyre::Result<Row> {
    tokio::time::sleep(window).await;
    let row = start.row(fleet, series, count as f64)?;
    Ok(row
        .with("seconds to new holders", takeover.time.as_secs_f64())
        .with("running before", takeover.running_before as f64)
        .with("fewest running", takeover.running_least as f64)
        .with("running after", load::running(fleet) as f64)
        .with("double runs", fleet.tasks.violations().len() as f64))
}
