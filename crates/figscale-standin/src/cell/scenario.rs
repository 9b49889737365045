//! Scenario of a user's typical steps on a cell: applies a catalogue, makes
//! requests, submits a job of each class, then checks that no guarantee of the
//! system was violated.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator as messages;
use futures_util::future;

use super::Cell;
use super::Operator;
use super::Size;
use super::User;
use super::operator;
use crate::load;

/// Time limit of each awaited condition, and of each response.
const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Interval of the progress reports.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Arrivals a second, of all callers.
const RATE_PER_S: f64 = 60.0;
/// Duration of the load that probes whether the homes of request ids accept
/// requests.
const PROBE_DURATION: time::Duration = time::Duration::from_millis(500);

/// What to do with a cell.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The user whose cell is started.
    pub user: User,
    /// Number of instances.
    pub size: Size,
    /// Whether to exit after the check instead of at Ctrl-C.
    pub once: bool,
    /// Duration of the load before the check.
    pub load: time::Duration,
    /// Seed of the load.
    pub seed: u64,
}

/// Starts a cell, runs the scenario on it and prints the progress.
pub async fn run(options: Options) -> eyre::Result<()> {
    let cell = Cell::start(options.user, options.size).await?;
    print_addresses(&cell);
    let result = run_scenario(&cell, &options).await;
    if let Err(error) = &result {
        println!("\nThe scenario failed: {error:#}");
    }
    if !options.once {
        print_suggestions(&cell);
        continue_load(&cell, &options).await?;
    }
    println!("\nStopping the entry instances in order.");
    cell.stop().await?;
    result
}

async fn run_scenario(cell: &Cell, options: &Options) -> eyre::Result<()> {
    let operators: Vec<_> = cell
        .addresses
        .iter()
        .map(|entry| Operator::new(entry.operator))
        .collect();
    let operator = &operators[0];
    apply(cell, operator).await?;
    wait_until_ready(&operators).await?;
    wait_until_homes_accept_ids(cell, options.seed).await?;
    requests(cell, options).await?;
    run_jobs(cell, operator).await?;
    check_invariants(cell)
}

async fn apply(cell: &Cell, operator: &Operator) -> eyre::Result<()> {
    println!("\n1. Applying examples/{}.jsonc.", cell.user);
    let request = messages::ApplyRequest {
        base: ids::Revision(0),
        change: ids::ChangeId(uuid::Uuid::now_v7()),
        author: "cell".to_owned(),
        note: "the example catalogue".to_owned(),
        catalogue: cell.user.catalogue()?,
    };
    let began = time::Instant::now();
    let accepted = async || operator.apply(&request).await;
    let revision = operator::wait_for("accepted", STEP_TIMEOUT, accepted)
        .await?
        .revision;
    operator::wait_for("in force everywhere", STEP_TIMEOUT, async || {
        let status = operator.catalogue_status().await?;
        let in_force = |found: &&Option<ids::Revision>| **found == Some(revision);
        let count = status.in_force.values().filter(in_force).count();
        eyre::ensure!(
            count == cell.addresses.len(),
            "in force at only {count} entry instances"
        );
        Ok(())
    })
    .await?;
    println!(
        "   Revision {revision} is in force at all {} entry instances after {} ms.",
        cell.addresses.len(),
        began.elapsed().as_millis()
    );
    Ok(())
}

async fn wait_until_ready(operators: &[Operator]) -> eyre::Result<()> {
    println!("\n2. Waiting until every entry instance is ready.");
    for one in operators {
        let ready = async || match one.is_ready().await {
            true => Ok(()),
            false => Err(eyre::eyre!("not ready")),
        };
        operator::wait_for("ready", STEP_TIMEOUT, ready).await?;
    }
    Ok(())
}

/// A new home of request ids refuses ids that may be older than itself, so
/// requests with at-most-once execution are accepted a little later than
/// idempotent ones.
async fn wait_until_homes_accept_ids(cell: &Cell, seed: u64) -> eyre::Result<()> {
    let mut probe = load_config(cell, PROBE_DURATION, seed)?;
    probe.classes.retain(|class| !class.idempotent);
    operator::wait_for(
        "non-idempotent requests accepted",
        STEP_TIMEOUT,
        async || {
            let report = load::run(&probe).await;
            let (own, all) = (report.all.own, report.all.requests);
            eyre::ensure!(own == all, "{own} of {all}: {:?}", report.all.failed);
            Ok(())
        },
    )
    .await
}

fn load_config(cell: &Cell, duration: time::Duration, seed: u64) -> eyre::Result<load::Config> {
    let target = |entry: &super::EntryAddresses| load::Target {
        address: entry.caller,
        weight: 1.0,
    };
    Ok(load::Config {
        targets: cell.addresses.iter().map(target).collect(),
        classes: cell.user.classes()?,
        rate_per_s: RATE_PER_S,
        duration,
        response_timeout: STEP_TIMEOUT,
        seed,
    })
}

async fn requests(cell: &Cell, options: &Options) -> eyre::Result<()> {
    println!(
        "\n3. Callers make about {RATE_PER_S} requests a second for {} s.",
        options.load.as_secs_f64()
    );
    let report = load::run(&load_config(cell, options.load, options.seed)?).await;
    println!("{report}");
    let false_not_run = report.false_not_run(&cell.requests);
    eyre::ensure!(false_not_run.is_empty(), "false not-run: {false_not_run:?}");
    eyre::ensure!(
        report.all.own == report.all.requests,
        "{} of {} requests received a complete and correct response",
        report.all.own,
        report.all.requests
    );
    Ok(())
}

async fn run_jobs(cell: &Cell, operator: &Operator) -> eyre::Result<()> {
    println!("\n4. Submitting a job of each class.");
    let catalogue = cell.user.catalogue()?;
    let mut submitted = Vec::new();
    for spec in cell.user.jobs()? {
        let id: ids::JobId = format!("{}-{}", spec.entry, uuid::Uuid::now_v7()).parse()?;
        operator.submit(&id, &spec).await?;
        println!("   {id}: {} tasks of {}", spec.tasks, spec.task);
        submitted.push((id, spec));
    }
    let began = time::Instant::now();
    let ends = submitted.iter().map(|(id, spec)| {
        let wanted = wanted_state(&catalogue, spec);
        wait_for_job(operator, id, wanted, began)
    });
    future::try_join_all(ends).await?;
    Ok(())
}

/// State that a job must reach: a service keeps running, any other job ends
/// with success.
fn wanted_state(catalogue: &catalogue::Catalogue, spec: &jobs::JobSpec) -> jobs::JobState {
    let policy = catalogue
        .entries
        .get(&spec.entry)
        .map(|entry| &entry.policy);
    match policy {
        Some(catalogue::Policy::Tasks(tasks)) if tasks.class == catalogue::JobClass::Service => {
            jobs::JobState::Running
        }
        _ => jobs::JobState::Done,
    }
}

async fn wait_for_job(
    operator: &Operator,
    id: &ids::JobId,
    wanted: jobs::JobState,
    began: time::Instant,
) -> eyre::Result<()> {
    operator::wait_for("the job", STEP_TIMEOUT, async || {
        let status = operator.job(id).await?;
        let all = status.tasks.iter().all(|task| task.state == wanted);
        eyre::ensure!(status.state == wanted && all, "{status:?}");
        Ok(())
    })
    .await?;
    println!(
        "   {id}: {wanted:?}, seen {} ms after the last was submitted.",
        began.elapsed().as_millis()
    );
    Ok(())
}

fn check_invariants(cell: &Cell) -> eyre::Result<()> {
    println!("\n5. The judges at the runners and workers.");
    let requests = cell.requests.violations();
    eyre::ensure!(requests.is_empty(), "runners: {requests:?}");
    let tasks = cell.tasks.violations();
    eyre::ensure!(tasks.is_empty(), "workers: {tasks:?}");
    let over: u64 = cell.workers.iter().map(|w| w.record().over_capacity).sum();
    eyre::ensure!(over == 0, "starts refused for lack of capacity: {over}");
    println!("   No promise was broken.");
    Ok(())
}

async fn continue_load(cell: &Cell, options: &Options) -> eyre::Result<()> {
    let mut round = options.seed;
    let rounds = async {
        loop {
            round += 1;
            let report = load::run(&load_config(cell, REPORT_INTERVAL, round)?).await;
            print_round(cell, &report);
        }
        #[expect(unreachable_code, reason = "it gives the block its type")]
        eyre::Ok(())
    };
    tokio::select! {
        failed = rounds => failed,
        interrupted = tokio::signal::ctrl_c() => Ok(interrupted?),
    }
}

fn print_round(cell: &Cell, report: &load::Report) {
    let store = cell.platform.total();
    println!(
        "{} requests, {} answered, p99 wait {:.1} ms; store: {} calls so far; judges: {} findings",
        report.all.requests,
        report.all.own,
        report.all.wait.p99_ms,
        store.calls,
        cell.requests.violations().len() + cell.tasks.violations().len()
    );
}

fn print_addresses(cell: &Cell) {
    println!("The cell of {} is up.", cell.user);
    println!("  platform   {}", cell.platform.address());
    for entry in &cell.addresses {
        println!(
            "  {:<10} callers {}  operators {}  in {}",
            entry.member.as_str(),
            entry.caller,
            entry.operator,
            entry.place.failure_domain
        );
    }
    println!(
        "  {} runners and {} workers",
        cell.runners.len(),
        cell.workers.len()
    );
}

fn print_suggestions(cell: &Cell) {
    let (Some(entry), Ok(classes)) = (cell.addresses.first(), cell.user.classes()) else {
        return;
    };
    let Some(class) = classes.first() else { return };
    println!("\nWhat to try next, in another terminal:");
    println!(
        "  curl -i -d hello -H 'x-figscale-owner: {}' http://{}/v1/run/{}",
        class.owner, entry.caller, class.entry
    );
    println!("  export FIGSCALE_ENTRY={}", entry.operator);
    println!("  cargo run -q --release -p figscale -- catalogue status");
    println!(
        "  cargo run -q --release -p figscale -- catalogue diff examples/{}.jsonc",
        cell.user
    );
    println!(
        "  cargo run -q --release -p figscale -- catalogue apply --base 1 examples/{}.jsonc",
        cell.user
    );
    println!(
        "  cargo run -q --release -p figscale -- job submit {}",
        cell.user.job_file()
    );
    println!("  cargo run -q --release -p figscale -- job list");
    println!("  cargo run -q --release -p figscale -- dump");
    println!(
        "  curl -X PUT -H 'content-type: application/json' -d '{{\"outage\":true}}' http://{}/control/faults",
        cell.platform.address()
    );
    println!("\nCtrl-C stops the cell. Load goes on meanwhile:");
}
