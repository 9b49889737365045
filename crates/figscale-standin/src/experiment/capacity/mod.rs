//! Resource usage of an entry instance as a function of the size of its cell.
//!
//! Real entry processes run on loopback with stand-ins in this process. Each
//! series varies one size and measures every entry process for an interval:
//! processor time and memory from `/proc`, and the bytes on its links to the
//! store and to its peers with a proxy on each link. A least-squares line through
//! each series gives figure = at rest + slope x size, from which docs/CAPACITY.md
//! derives the figures for the target size.
//!
//! A step that fails, or that would begin after the time limit, is reported and
//! skipped; the other measurements are printed nevertheless.

mod catalogue;
mod entry;
mod faults;
pub mod fit;
mod fleet;
mod load;
mod measure;
mod series;
mod table;
mod usage;

use std::time;

use measure::Row;

/// Sizes to measure and time limits.
#[derive(Clone, Debug)]
struct Plan {
    /// Numbers of entry instances without load, with the smallest number of
    /// workers.
    entries: Vec<usize>,
    /// Numbers of workers without load, with [`Plan::usual_entries`].
    workers: Vec<usize>,
    usual_entries: usize,
    owners: Vec<usize>,
    request_rates: Vec<f64>,
    change_rates: Vec<f64>,
    start_rates: Vec<f64>,
    running: Vec<usize>,
    /// Duration of each measurement.
    window: time::Duration,
    /// Time after which no further step is begun.
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

/// Time limit for all tasks to end.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(25);

/// Runs all series and prints the table.
pub(super) async fn measure(quick: bool) -> eyre::Result<super::Lines> {
    let plan = if quick { Plan::quick() } else { Plan::full() };
    let load_before = usage::load_average();
    let mut run = Run {
        deadline: time::Instant::now() + plan.limit,
        plan,
        rows: Vec::new(),
        skipped_steps: Vec::new(),
    };
    run.measure_all().await;
    let lines = table::fit_all(&run.rows);
    eprintln!("{}", table::markdown(&run.rows, &lines));
    for step in &run.skipped_steps {
        eprintln!("not measured: {step}");
    }
    Ok(vec![serde_json::json!({
        "scenario": "capacity",
        "quick": quick,
        "window_s": run.plan.window.as_secs_f64(),
        "load_average_before": load_before,
        "rows": run.rows,
        "lines": lines,
        "not_measured": run.skipped_steps,
    })])
}

struct Run {
    plan: Plan,
    deadline: time::Instant,
    rows: Vec<Row>,
    skipped_steps: Vec<String>,
}

impl Run {
    async fn measure_all(&mut self) {
        let plan = self.plan.clone();
        let owners = plan.owners.last().copied().unwrap_or(1);
        let fewest = plan.workers.first().copied().unwrap_or(1);
        for entries in &plan.entries {
            let size = fleet::Size {
                entries: *entries,
                workers: fewest,
                owners,
            };
            if let Some(fleet) = self.start_fleet(size).await {
                self.idle(&fleet, "entries at rest", *entries).await;
            }
        }
        for workers in &plan.workers {
            let size = fleet::Size {
                entries: plan.usual_entries,
                workers: *workers,
                owners,
            };
            let Some(mut fleet) = self.start_fleet(size).await else {
                continue;
            };
            self.idle(&fleet, "workers at rest", *workers).await;
            if Some(workers) == plan.workers.last() {
                self.under_load(&mut fleet).await;
            }
        }
    }

    async fn under_load(&mut self, fleet: &mut fleet::Fleet) {
        let plan = self.plan.clone();
        for rate in plan.request_rates {
            let row = series::requests(fleet, rate, plan.window).await;
            self.add(&format!("{rate} requests/s"), row);
        }
        for owners in plan.owners {
            let row = series::changes_in_force(fleet, owners).await;
            self.add(&format!("changes with {owners} owners"), row);
        }
        for rate in plan.change_rates {
            let row = series::changes(fleet, rate, plan.window).await;
            self.add(&format!("{rate} changes/s"), row);
        }
        for rate in plan.start_rates {
            if self.skip_if_late("task starts") {
                break;
            }
            let row = series::starts(fleet, rate, plan.window).await;
            self.add(&format!("{rate} task starts/s"), row);
            load::wait_until_idle(fleet, IDLE_LIMIT).await;
        }
        for count in plan.running {
            if self.skip_if_late("running tasks") {
                break;
            }
            let row = series::running(fleet, count, plan.window).await;
            self.add(&format!("{count} running tasks"), row);
        }
        self.under_faults(fleet).await;
    }

    /// Stops and kills entry processes under the last number of running tasks.
    async fn under_faults(&mut self, fleet: &mut fleet::Fleet) {
        if self.skip_if_late("entry processes that go") {
            return;
        }
        let row = series::replaced(fleet, self.plan.window).await;
        self.add("an entry process replaced", row);
        for count in [1, 2] {
            if self.skip_if_late("entry processes killed") {
                return;
            }
            let row = series::killed(fleet, count, self.plan.window).await;
            self.add(&format!("{count} entry processes killed"), row);
        }
    }

    async fn start_fleet(&mut self, size: fleet::Size) -> Option<fleet::Fleet> {
        if self.skip_if_late(&format!("{size:?}")) {
            return None;
        }
        match fleet::Fleet::start(size).await {
            Ok(fleet) => Some(fleet),
            Err(error) => {
                self.skipped_steps.push(format!("{size:?}: {error:#}"));
                None
            }
        }
    }

    async fn idle(&mut self, fleet: &fleet::Fleet, series: &'static str, size: usize) {
        let row = series::idle(fleet, series, size, self.plan.window).await;
        self.add(series, row);
    }

    fn skip_if_late(&mut self, step: &str) -> bool {
        let late = time::Instant::now() >= self.deadline;
        if late {
            self.skipped_steps.push(format!("{step}: no time was left"));
        }
        late
    }

    fn add(&mut self, step: &str, row: eyre::Result<Row>) {
        match row {
            Ok(row) => {
                eprintln!("measured {step}: {:.2} % of a core", row.cpu_percent);
                self.rows.push(row);
            }
            Err(error) => self.skipped_steps.push(format!("{step}: {error:#}")),
        }
    }
}
