//! What an entry instance costs by the size of what it looks after.
//!
//! Real entry processes run on loopback between stand-ins in this process.
//! Each series lets one size grow and measures each process over a while: its
//! processor time and memory by `/proc`, and the bytes on its links to the
//! store and to its peers by a proxy on each. A line through each series by
//! least squares gives figure = at rest + slope x size, from which
//! docs/CAPACITY.md works out the target size.
//!
//! A step that fails, and one that would begin too late, is told and left out;
//! what was measured is printed all the same.

mod catalogue;
mod entry;
pub mod fit;
mod fleet;
mod load;
mod measure;
mod table;
mod usage;

use std::time;

use measure::Row;
use measure::Start;

/// What to measure, and for how long.
#[derive(Clone, Debug)]
struct Plan {
    /// Numbers of entry instances at rest, with the fewest workers.
    entries: Vec<usize>,
    /// Numbers of workers at rest, with [`Plan::usual_entries`].
    workers: Vec<usize>,
    usual_entries: usize,
    owners: Vec<usize>,
    request_rates: Vec<f64>,
    change_rates: Vec<f64>,
    start_rates: Vec<f64>,
    running: Vec<usize>,
    /// Time of each measurement.
    window: time::Duration,
    /// Time after which no step begins.
    limit: time::Duration,
}

impl Plan {
    fn full() -> Self {
        Self {
            entries: vec![2, 4, 8, 16],
            workers: vec![50, 200, 500, 930],
            usual_entries: 8,
            owners: vec![10, 31, 61, 92],
            request_rates: vec![50.0, 100.0, 200.0, 400.0],
            change_rates: vec![0.5, 1.0, 2.0],
            start_rates: vec![50.0, 100.0, 200.0, 420.0],
            running: vec![500, 1_000, 2_000, 4_000],
            window: time::Duration::from_secs(6),
            limit: time::Duration::from_secs(320),
        }
    }

    fn quick() -> Self {
        Self {
            entries: vec![2],
            workers: vec![50],
            usual_entries: 4,
            owners: vec![10, 20],
            request_rates: vec![50.0, 100.0],
            change_rates: vec![1.0],
            start_rates: vec![20.0, 40.0],
            running: vec![100, 200],
            window: time::Duration::from_secs(2),
            limit: time::Duration::from_secs(45),
        }
    }
}

/// Time that a load goes on before it is measured.
const WARM_UP: time::Duration = time::Duration::from_secs(1);
/// Longest wait for tasks to start or end.
const TASKS_LIMIT: time::Duration = time::Duration::from_secs(25);
/// Longest wait for a change to be in force everywhere.
const CHANGE_LIMIT: time::Duration = time::Duration::from_secs(5);
/// Changes whose way is timed for each number of owners.
const TIMED_CHANGES: usize = 5;

/// Measures everything and prints the table.
pub(super) async fn measure(quick: bool) -> eyre::Result<super::Lines> {
    let plan = if quick { Plan::quick() } else { Plan::full() };
    let load_before = usage::load_average();
    let mut run = Run {
        end: time::Instant::now() + plan.limit,
        plan,
        rows: Vec::new(),
        left_out: Vec::new(),
    };
    run.everything().await;
    let lines = table::fit_all(&run.rows);
    eprintln!("{}", table::markdown(&run.rows, &lines));
    for step in &run.left_out {
        eprintln!("not measured: {step}");
    }
    Ok(vec![serde_json::json!({
        "scenario": "capacity",
        "quick": quick,
        "window_s": run.plan.window.as_secs_f64(),
        "load_average_before": load_before,
        "rows": run.rows,
        "lines": lines,
        "not_measured": run.left_out,
    })])
}

struct Run {
    plan: Plan,
    end: time::Instant,
    rows: Vec<Row>,
    left_out: Vec<String>,
}

impl Run {
    async fn everything(&mut self) {
        let plan = self.plan.clone();
        let owners = plan.owners.last().copied().unwrap_or(1);
        let fewest = plan.workers.first().copied().unwrap_or(1);
        for entries in &plan.entries {
            let size = fleet::Size {
                entries: *entries,
                workers: fewest,
                owners,
            };
            if let Some(fleet) = self.fleet(size).await {
                self.rest(&fleet, "entries at rest", *entries).await;
            }
        }
        for workers in &plan.workers {
            let size = fleet::Size {
                entries: plan.usual_entries,
                workers: *workers,
                owners,
            };
            let Some(mut fleet) = self.fleet(size).await else {
                continue;
            };
            self.rest(&fleet, "workers at rest", *workers).await;
            if Some(workers) == plan.workers.last() {
                self.under_load(&mut fleet).await;
            }
        }
    }

    async fn under_load(&mut self, fleet: &mut fleet::Fleet) {
        let plan = self.plan.clone();
        for rate in plan.request_rates {
            let row = requests(fleet, rate, plan.window).await;
            self.add(&format!("{rate} requests/s"), row);
        }
        for owners in plan.owners {
            let row = changes_in_force(fleet, owners).await;
            self.add(&format!("changes with {owners} owners"), row);
        }
        for rate in plan.change_rates {
            let row = changes(fleet, rate, plan.window).await;
            self.add(&format!("{rate} changes/s"), row);
        }
        for rate in plan.start_rates {
            if self.is_late("task starts") {
                break;
            }
            let row = starts(fleet, rate, plan.window).await;
            self.add(&format!("{rate} task starts/s"), row);
            load::wait_until_idle(fleet, TASKS_LIMIT).await;
        }
        for count in plan.running {
            if self.is_late("running tasks") {
                break;
            }
            let row = running(fleet, count, plan.window).await;
            self.add(&format!("{count} running tasks"), row);
        }
    }

    async fn fleet(&mut self, size: fleet::Size) -> Option<fleet::Fleet> {
        if self.is_late(&format!("{size:?}")) {
            return None;
        }
        match fleet::Fleet::start(size).await {
            Ok(fleet) => Some(fleet),
            Err(error) => {
                self.left_out.push(format!("{size:?}: {error:#}"));
                None
            }
        }
    }

    async fn rest(&mut self, fleet: &fleet::Fleet, series: &'static str, size: usize) {
        let row = rest(fleet, series, size, self.plan.window).await;
        self.add(series, row);
    }

    fn is_late(&mut self, step: &str) -> bool {
        let late = time::Instant::now() >= self.end;
        if late {
            self.left_out.push(format!("{step}: no time was left"));
        }
        late
    }

    fn add(&mut self, step: &str, row: eyre::Result<Row>) {
        match row {
            Ok(row) => {
                eprintln!("measured {step}: {:.2} % of a core", row.cpu_percent);
                self.rows.push(row);
            }
            Err(error) => self.left_out.push(format!("{step}: {error:#}")),
        }
    }
}

async fn rest(
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

fn need_catalogue(fleet: &fleet::Fleet) -> eyre::Result<()> {
    eyre::ensure!(fleet.revision.0 > 0, "no catalogue is in force");
    Ok(())
}

async fn requests(
    fleet: &fleet::Fleet,
    rate_per_s: f64,
    window: time::Duration,
) -> eyre::Result<Row> {
    need_catalogue(fleet)?;
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

async fn changes_in_force(fleet: &mut fleet::Fleet, owners: usize) -> eyre::Result<Row> {
    need_catalogue(fleet)?;
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
    let middle = times_ms.get(times_ms.len() / 2).copied().unwrap_or(0.0);
    Ok(row
        .with("in force ms, median", middle)
        .with("in force ms, slowest", slowest)
        .with("later than the limit", f64::from(late))
        .with("catalogue bytes", catalogue_len(owners)? as f64)
        .with("catalogue document bytes", document as f64))
}

/// Bytes of the catalogue alone, without the history beside it.
fn catalogue_len(owners: usize) -> eyre::Result<usize> {
    Ok(serde_json::to_vec(&catalogue::of(owners, 0)?)?.len())
}

async fn changes(
    fleet: &mut fleet::Fleet,
    rate_per_s: f64,
    window: time::Duration,
) -> eyre::Result<Row> {
    need_catalogue(fleet)?;
    let start = Start::now(fleet)?;
    let accepted = load::changes(fleet, rate_per_s, window).await;
    let row = start.row(fleet, "changes/s", accepted as f64 / window.as_secs_f64())?;
    let document = fleet.catalogue_bytes();
    Ok(row.with("catalogue document bytes", document as f64))
}

async fn starts(
    fleet: &fleet::Fleet,
    rate_per_s: f64,
    window: time::Duration,
) -> eyre::Result<Row> {
    need_catalogue(fleet)?;
    let load = load::starts(fleet, rate_per_s, window + 2 * WARM_UP);
    // The tasks of the first second must end before starts and ends balance.
    tokio::time::sleep(2 * WARM_UP).await;
    let before = load::started(fleet);
    let began = time::Instant::now();
    let start = Start::now(fleet)?;
    tokio::time::sleep(window).await;
    let started = load::started(fleet) - before;
    let per_s = started as f64 / began.elapsed().as_secs_f64();
    let row = start.row(fleet, "task starts/s", per_s)?;
    let submitted = load.await?;
    let documents = fleet.job_documents();
    Ok(row
        .with("asked for", rate_per_s)
        .with("jobs accepted", submitted.accepted as f64)
        .with("jobs refused", submitted.refused as f64)
        .with("tasks so far", load::started(fleet) as f64)
        .with("largest job document bytes", documents.largest as f64)
        .with("job documents bytes", documents.all as f64))
}

async fn running(fleet: &fleet::Fleet, count: usize, window: time::Duration) -> eyre::Result<Row> {
    need_catalogue(fleet)?;
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
