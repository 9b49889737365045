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

/// Longest wait for tasks to end.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(25);

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
            if self.is_late("task starts") {
                break;
            }
            let row = series::starts(fleet, rate, plan.window).await;
            self.add(&format!("{rate} task starts/s"), row);
            load::wait_until_idle(fleet, IDLE_LIMIT).await;
        }
        for count in plan.running {
            if self.is_late("running tasks") {
                break;
            }
            let row = series::running(fleet, count, plan.window).await;
            self.add(&format!("{count} running tasks"), row);
        }
        self.under_faults(fleet).await;
    }

    /// Ends entry processes while the last number of tasks runs.
    async fn under_faults(&mut self, fleet: &mut fleet::Fleet) {
        if self.is_late("entry processes that go") {
            return;
        }
        let row = series::replaced(fleet, self.plan.window).await;
        self.add("an entry process replaced", row);
        for count in [1, 2] {
            if self.is_late("entry processes killed") {
                return;
            }
            let row = series::killed(fleet, count, self.plan.window).await;
            self.add(&format!("{count} entry processes killed"), row);
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
        let row = series::rest(fleet, series, size, self.plan.window).await;
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
