//! Soak of a fleet of processes: callers submit jobs, ask for their states and cancel
//! some, on connections that stay open, while the store, workers and instances fail,
//! in series that overlap. Meanwhile leaders are paused whose successors cannot reach a
//! worker, as some callers' tasks take long enough for it to matter.
//!
//! The ledger of the stand-in checks the guarantees independently of the scheduler:
//! no task runs twice at a time or after its end was acknowledged, and what a caller
//! was told as final stays so, with no further start of its tasks. Nor does a job start
//! whose cancel was acknowledged; some callers cancel before their submission was
//! answered. In the end all accepted work is done.
//!
//! `FIGSCALE_SEEDS=N` runs N seeds, from `FIGSCALE_FIRST_SEED` on, and
//! `FIGSCALE_INSTANCES=N` and `FIGSCALE_WORKERS=N` set the size.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use std::sync;
use std::sync::atomic;
use std::time;

use figscale_platform_standin::worker;
use fleet_support::Fleet;
use fleet_support::caller;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

/// Seeds in CI.
const SEEDS: u64 = 3;
const INSTANCES: usize = 4;
const WORKERS: usize = 10;
/// Callers, each with one job at a time.
const CALLERS: usize = 48;
/// Further callers, whose tasks take longer than a leader waits for the leases of its
/// predecessor.
const PATIENT_CALLERS: usize = 12;
const SHORT_TASKS_MS: std::ops::Range<u64> = 20..900;
const LONG_TASKS_MS: std::ops::Range<u64> = 8_000..10_500;
/// Time during which long tasks are submitted, so that they end before the faults do.
const LONG_SUBMITTED: time::Duration = time::Duration::from_secs(2);
/// Time until the first leader is deposed, and from its end until the next one.
const DEPOSED_AFTER_MS: std::ops::Range<u64> = 800..1_200;
/// Time until short tasks and the other faults begin: longer than the first leader's
/// successor waits for a worker. The other faults keep the store away most of the time,
/// and then no task is started; a busy former leader often ends before it extends leases.
const UNDISTURBED_MS: std::ops::Range<u64> = 7_500..8_500;
/// Interval at which the pauses of leaders are begun and ended.
const STEP: time::Duration = time::Duration::from_millis(20);
/// Time during which things fail.
const DISTURBED: time::Duration = time::Duration::from_secs(14);
/// Time from a signal to stop until a process is killed.
const GRACE: time::Duration = time::Duration::from_secs(6);
/// Ended jobs of which a caller asks again.
const REMEMBERED: usize = 8;
/// Fewest jobs of which callers are told a final state, for a run that tests anything.
const MIN_TOLD: usize = 30;

fn setting(name: &str) -> Option<u64> {
    let value = std::env::var(name).ok()?;
    Some(value.parse().unwrap())
}

/// A random time of so many milliseconds.
fn random_ms(random: &mut rngs::StdRng, between: std::ops::Range<u64>) -> time::Duration {
    time::Duration::from_millis(random.random_range(between))
}

/// One of the callers.
struct Client {
    caller: caller::Caller,
    random: rngs::StdRng,
    /// Decides which submissions the caller leaves.
    leaving: rngs::StdRng,
    next_job: u64,
    /// Lengths of its tasks.
    tasks_ms: std::ops::Range<u64>,
    /// When it begins to submit.
    submits_from: time::Instant,
    /// When it stops to submit, if it does so before the end of the soak.
    submits_until: Option<time::Instant>,
    instances: usize,
    stop: sync::Arc<atomic::AtomicBool>,
}

/// The accepted jobs of a caller, each with whether a cancel may have taken effect.
type Accepted = IndexMap<u64, bool>;

impl Client {
    fn instance(&mut self) -> usize {
        self.random.random_range(0..self.instances)
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(atomic::Ordering::Relaxed)
    }

    async fn pause(&mut self, between_ms: std::ops::Range<u64>) {
        let pause = random_ms(&mut self.random, between_ms);
        tokio::time::sleep(pause).await;
    }

    /// Submits a job until it is accepted; `false` if the soak ends before.
    async fn submit(&mut self, job: u64) -> bool {
        let tasks = self.random.random_range(1..4);
        let spec = self.random.random_range(self.tasks_ms.clone()).to_string();
        while !self.is_stopped() {
            let instance = self.instance();
            if self.caller.submit(instance, job, tasks, &spec).await == Some(200) {
                return true;
            }
            self.pause(20..120).await;
        }
        false
    }

    /// Submits a job, leaves before it is answered, and cancels it until that is
    /// acknowledged, or the soak ends.
    async fn leave(&mut self, job: u64) {
        let patience = random_ms(&mut self.leaving, 1..1_500);
        let instance = self.instance();
        let submission = self.caller.submit(instance, job, 1, "500");
        let _ = tokio::time::timeout(patience, submission).await;
        while !self.is_stopped() {
            let instance = self.instance();
            let answer = self.caller.cancel(instance, job).await;
            if matches!(answer, Some(200 | 410)) {
                return;
            }
            self.pause(20..120).await;
        }
    }

    /// Asks for the state of a job until it is final, or the soak ends.
    async fn follow(&mut self, job: u64) {
        while !self.is_stopped() {
            let instance = self.instance();
            let state = self.caller.state(instance, job).await;
            if state.is_some_and(|state| state != "queued" && state != "running") {
                return;
            }
            self.pause(20..120).await;
        }
    }

    fn is_over(&self) -> bool {
        let is_past = |until| time::Instant::now() >= until;
        self.is_stopped() || self.submits_until.is_some_and(is_past)
    }

    /// Submits one job after the other; returns the accepted ones.
    async fn run(mut self) -> Accepted {
        let mut accepted = Accepted::new();
        tokio::time::sleep_until(self.submits_from.into()).await;
        while !self.is_over() {
            let job = self.next_job;
            self.next_job += 1;
            if self.leaving.random_range(0..8) == 0 {
                self.leave(job).await;
                continue;
            }
            if !self.submit(job).await {
                break;
            }
            accepted.insert(job, false);
            if self.random.random_range(0..12) == 0 {
                self.pause(0..400).await;
                let instance = self.instance();
                accepted.insert(job, true);
                let _ = self.caller.cancel(instance, job).await;
            }
            self.follow(job).await;
            let earlier = self.random.random_range(0..REMEMBERED);
            let earlier = accepted.keys().rev().nth(earlier).copied();
            if let Some(earlier) = earlier {
                let instance = self.instance();
                let _ = self.caller.state(instance, earlier).await;
            }
        }
        accepted
    }
}

/// What ends at some time.
enum End {
    /// The store's faults.
    Store,
    /// The pause of a process.
    Pause(usize),
    /// The time in which a process has to stop, or the time without it.
    Process(usize),
    /// The silence of a worker.
    Silence(usize),
}

/// A leader that is paused while later leaders cannot reach a worker.
struct Deposition {
    leader: usize,
    worker: worker::Handle,
    pause_at: time::Instant,
    resume_at: time::Instant,
    /// When later leaders reach the worker again.
    reach_at: time::Instant,
    stage: Stage,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    BeforePause,
    Paused,
    Resumed,
}

/// The leaders that are deposed in one soak, one after the other.
struct Depositions {
    random: rngs::StdRng,
    next_at: time::Instant,
    current: Option<Deposition>,
    /// Number of leaders deposed so far.
    begun: usize,
}

impl Depositions {
    fn new(seed: u64) -> Self {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let next_at = time::Instant::now() + random_ms(&mut random, DEPOSED_AFTER_MS);
        Self {
            random,
            next_at,
            current: None,
            begun: 0,
        }
    }

    /// Does what is due. `away` has the instances that are paused, stopping or down.
    async fn step(&mut self, fleet: &mut Fleet, away: &mut Vec<usize>) {
        if self.current.is_none() && time::Instant::now() >= self.next_at {
            self.begin(fleet, away).await;
        }
        self.proceed(fleet, away, time::Instant::now());
    }

    /// Makes a worker that runs tasks unreachable for the leaders after the present one.
    async fn begin(&mut self, fleet: &Fleet, away: &mut Vec<usize>) {
        let Some(leader) = fleet.leader_now().await else {
            return;
        };
        if away.contains(&leader) || away.len() + 1 >= fleet.store_proxies.len() {
            return;
        }
        let Some(worker) = busiest_worker(fleet) else {
            return;
        };
        away.push(leader);
        let epoch = worker.fence();
        worker.change_faults(|faults| faults.max_epoch = Some(epoch));
        let now = time::Instant::now();
        let pause_at = now + random_ms(&mut self.random, 0..300);
        self.begun += 1;
        self.current = Some(Deposition {
            leader,
            worker,
            pause_at,
            resume_at: pause_at + random_ms(&mut self.random, 2_000..5_000),
            reach_at: now + random_ms(&mut self.random, 6_000..10_000),
            stage: Stage::BeforePause,
        });
    }

    /// Goes on with the current deposition as far as it is due at a time.
    fn proceed(&mut self, fleet: &mut Fleet, away: &mut Vec<usize>, at: time::Instant) {
        let Some(current) = &mut self.current else {
            return;
        };
        if current.stage == Stage::BeforePause && at >= current.pause_at {
            fleet.signal(current.leader, "STOP");
            current.stage = Stage::Paused;
        }
        if current.stage == Stage::Paused && at >= current.resume_at {
            fleet.signal(current.leader, "CONT");
            away.retain(|number| *number != current.leader);
            current.stage = Stage::Resumed;
        }
        if current.stage == Stage::Resumed && at >= current.reach_at {
            let worker = &current.worker;
            worker.change_faults(|faults| faults.max_epoch = None);
            self.next_at = at + random_ms(&mut self.random, DEPOSED_AFTER_MS);
            self.current = None;
        }
    }
}

/// The worker that runs the most tasks.
fn busiest_worker(fleet: &Fleet) -> Option<worker::Handle> {
    let runs = fleet.platform.ledger.runs();
    let running = |worker: &worker::Handle| {
        let running = runs.iter().filter(|run| run.end.is_none());
        running.filter(|run| run.worker == worker.plan.id).count()
    };
    let workers = fleet.platform.workers.iter();
    let workers = workers.map(worker::Handle::current);
    let busy = workers.filter(|worker| running(worker) > 0);
    busy.max_by_key(running)
}

/// The faults of one soak.
struct Faults {
    random: rngs::StdRng,
    instances: usize,
    ends: Vec<(time::Instant, End)>,
    /// Instances that are paused, stopping or down.
    away: Vec<usize>,
    depositions: Depositions,
}

impl Faults {
    fn end_in(&mut self, time: time::Duration, end: End) {
        self.ends.push((time::Instant::now() + time, end));
    }

    /// Injects faults for [`DISTURBED`] from `from` on, and ends them all.
    async fn inject(&mut self, fleet: &mut Fleet, from: time::Instant) {
        let undisturbed = from.saturating_duration_since(time::Instant::now());
        self.pass(fleet, undisturbed).await;
        let until = time::Instant::now() + DISTURBED;
        while time::Instant::now() < until {
            self.next(fleet).await;
            let pause = random_ms(&mut self.random, 100..1_300);
            self.pass(fleet, pause).await;
            self.end_due(fleet, time::Instant::now());
        }
        self.depositions
            .proceed(fleet, &mut self.away, until + GRACE * 2);
        self.end_due(fleet, until + GRACE * 2);
        let numbers = 0..self.instances;
        for number in numbers {
            fleet.wait_until_ready(number).await;
        }
    }

    /// Lets time pass, in which leaders are deposed.
    async fn pass(&mut self, fleet: &mut Fleet, length: time::Duration) {
        let until = time::Instant::now() + length;
        while time::Instant::now() < until {
            self.depositions.step(fleet, &mut self.away).await;
            let left = until.saturating_duration_since(time::Instant::now());
            tokio::time::sleep(left.min(STEP)).await;
        }
    }

    async fn next(&mut self, fleet: &mut Fleet) {
        match self.random.random_range(0..12) {
            0..2 => self.disturb_store(fleet),
            2..4 => self.series(fleet).await,
            4..6 => self.disturb_worker(fleet),
            6..9 => {
                if let Some(leader) = fleet.leader_now().await {
                    self.disturb_instance(fleet, leader);
                }
            }
            _ => {
                let number = self.random.random_range(0..self.instances);
                self.disturb_instance(fleet, number);
            }
        }
    }

    /// An outage of the store in which workers leave and the leader ends.
    async fn series(&mut self, fleet: &mut Fleet) {
        let outage = random_ms(&mut self.random, 2_500..4_500);
        let busy = self.random.random();
        fleet.platform.store.change_faults(|faults| {
            faults.busy = busy;
            faults.transactions_blocked = !busy;
        });
        self.end_in(outage, End::Store);
        for worker in &fleet.platform.workers {
            if self.random.random_range(0..3) == 0 {
                let notice = random_ms(&mut self.random, 0..2_500);
                worker.current().leave(notice);
            }
        }
        let before = random_ms(&mut self.random, 0..3_500);
        self.pass(fleet, before).await;
        if let Some(leader) = fleet.leader_now().await {
            self.disturb_instance(fleet, leader);
        }
    }

    fn disturb_store(&mut self, fleet: &Fleet) {
        let kind = self.random.random_range(0..4);
        let slow = random_ms(&mut self.random, 20..250);
        let late = random_ms(&mut self.random, 0..2_000);
        fleet.platform.store.change_faults(|faults| match kind {
            0 => faults.busy = true,
            1 => faults.transactions_blocked = true,
            2 => faults.slow = slow,
            _ => {
                faults.lost_part = 0.4;
                faults.executed_after = late;
            }
        });
        let length = random_ms(&mut self.random, 200..4_500);
        self.end_in(length, End::Store);
    }

    fn disturb_worker(&mut self, fleet: &Fleet) {
        let number = self.random.random_range(0..fleet.platform.workers.len());
        let worker = fleet.platform.workers[number].current();
        match self.random.random_range(0..3) {
            0 => worker.kill(),
            1 => worker.leave(random_ms(&mut self.random, 0..2_000)),
            _ => {
                worker.change_faults(|faults| faults.unresponsive = true);
                let length = random_ms(&mut self.random, 200..7_000);
                self.end_in(length, End::Silence(number));
            }
        }
    }

    /// Stops, kills or pauses an instance, unless it is the last one.
    fn disturb_instance(&mut self, fleet: &mut Fleet, number: usize) {
        if self.away.contains(&number) || self.away.len() + 1 >= self.instances {
            return;
        }
        self.away.push(number);
        match self.random.random_range(0..3) {
            0 => {
                fleet.signal(number, "TERM");
                self.end_in(GRACE, End::Process(number));
            }
            1 => {
                fleet.kill(number);
                let down = random_ms(&mut self.random, 50..2_500);
                self.end_in(down, End::Process(number));
            }
            _ => {
                fleet.signal(number, "STOP");
                let length = random_ms(&mut self.random, 100..6_000);
                self.end_in(length, End::Pause(number));
            }
        }
    }

    /// Ends what is due at a time, and starts the processes again that have ended.
    fn end_due(&mut self, fleet: &mut Fleet, at: time::Instant) {
        let (due, later) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|(end_at, _)| *end_at <= at);
        self.ends = later;
        let due: Vec<(time::Instant, End)> = due;
        for (_, end) in due {
            match end {
                End::Store => fleet.platform.store.change_faults(|faults| {
                    *faults = figscale_platform_standin::store::Faults::default();
                }),
                End::Silence(number) => {
                    let worker = &fleet.platform.workers[number];
                    let worker = worker.current();
                    worker.change_faults(|faults| faults.unresponsive = false);
                }
                End::Pause(number) => {
                    fleet.signal(number, "CONT");
                    self.away.retain(|away| *away != number);
                }
                End::Process(number) => {
                    if !fleet.has_ended(number) {
                        fleet.kill(number);
                    }
                    fleet.launch(number);
                    self.away.retain(|away| *away != number);
                }
            }
        }
    }
}

async fn soak(seed: u64) {
    let instances = setting("FIGSCALE_INSTANCES").map_or(INSTANCES, |number| number as usize);
    let workers = setting("FIGSCALE_WORKERS").map_or(WORKERS, |number| number as usize);
    println!("seed {seed}: {instances} instances, {workers} workers");
    let mut fleet = match seed % 2 {
        0 => Fleet::start(instances, workers, false).await,
        _ => Fleet::start_relayed(instances, workers).await,
    };
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let begun = time::Instant::now();
    let mut depositions = Depositions::new(seed * 1_000 + 900);
    let disturbed_from = begun + random_ms(&mut depositions.random, UNDISTURBED_MS);
    let clients = (0..(CALLERS + PATIENT_CALLERS) as u64).map(|number| {
        let (tasks_ms, submits_from, submits_until) = match number < CALLERS as u64 {
            true => (SHORT_TASKS_MS, disturbed_from, None),
            false => (LONG_TASKS_MS, begun, Some(begun + LONG_SUBMITTED)),
        };
        let client = Client {
            caller: fleet.caller(),
            random: rngs::StdRng::seed_from_u64(seed * 1_000 + number),
            leaving: rngs::StdRng::seed_from_u64(seed * 1_000 + number + 500),
            next_job: (number + 1) << 32,
            tasks_ms,
            submits_from,
            submits_until,
            instances,
            stop: stop.clone(),
        };
        tokio::spawn(client.run())
    });
    let clients: Vec<_> = clients.collect();
    let mut faults = Faults {
        random: rngs::StdRng::seed_from_u64(seed),
        instances,
        ends: Vec::new(),
        away: Vec::new(),
        depositions,
    };
    faults.inject(&mut fleet, disturbed_from).await;
    stop.store(true, atomic::Ordering::Relaxed);
    let mut accepted = 0;
    for client in clients {
        for (job, cancelled) in client.await.unwrap() {
            accepted += 1;
            if !cancelled {
                fleet.wait_for_state(0, job, "completed").await;
            }
        }
    }
    let told = fleet.platform.ledger.told();
    let terms = fleet.count_events("TERM_BEGUN");
    println!("seed {seed}: {accepted} accepted, {told} told as final, {terms} terms");
    println!("seed {seed}: {} leaders deposed", faults.depositions.begun);
    fleet.assert_no_violations();
    assert!(told >= MIN_TOLD, "only {told} jobs ended");
}

/// Guards against orders of failures that break what a caller or a worker was told:
/// ends that are lost with their leader and run again, and two runs at a time.
#[tokio::test(flavor = "multi_thread")]
async fn what_callers_and_workers_were_told_holds() {
    let first = setting("FIGSCALE_FIRST_SEED").unwrap_or(0);
    for seed in first..first + setting("FIGSCALE_SEEDS").unwrap_or(SEEDS) {
        soak(seed).await;
    }
}
