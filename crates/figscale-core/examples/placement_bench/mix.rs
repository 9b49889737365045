//! Random jobs drawn from the mix of each user, with times in virtual seconds.

use figscale_types::catalogue;
use figscale_types::instances;
use figscale_types::sizes;
use rand::RngExt as _;
use rand::rngs::StdRng;

const GIB: u64 = 1 << 30;
const RACK_LEN: u32 = 6;
const DOMAINS: u32 = 4;
/// Every worker whose number is a multiple of this has accelerators.
const ACCELERATED_EVERY: u32 = 4;

/// A user's cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum User {
    /// Has binding deadlines; waiting has the larger weight.
    Fraser,
    /// Members share the cell and pay for it; packing has the larger weight.
    Firth,
}

impl User {
    pub(crate) fn weights(self) -> catalogue::Weights {
        match self {
            Self::Fraser => catalogue::Weights {
                waiting: 0.8,
                packing: 0.2,
            },
            Self::Firth => catalogue::Weights {
                waiting: 0.2,
                packing: 0.8,
            },
        }
    }

    pub(crate) fn other(self) -> Self {
        match self {
            Self::Fraser => Self::Firth,
            Self::Firth => Self::Fraser,
        }
    }

    fn memory_gib(self) -> u64 {
        match self {
            Self::Fraser => 128,
            Self::Firth => 256,
        }
    }

    pub(crate) fn worker(self, number: u32) -> instances::Instance {
        let accelerated = number.is_multiple_of(ACCELERATED_EVERY);
        let rack = number / RACK_LEN;
        instances::Instance {
            id: format!("w-{number:04}").parse().expect("legal"),
            role: instances::Role::Worker,
            address: "127.0.0.1:1".parse().expect("legal"),
            failure_domain: format!("fd-{}", rack % DOMAINS).parse().expect("legal"),
            rack: format!("r-{rack}").parse().expect("legal"),
            service: None,
            capacity: size(64, self.memory_gib(), if accelerated { 4 } else { 0 }),
            slots: 0,
            connections: 0,
            life: instances::Life::Live,
        }
    }
}

pub(crate) fn size(cores: u64, gib: u64, accelerators: u32) -> sizes::Resources {
    sizes::Resources {
        cpu_millis: sizes::CpuMillis(cores * 1_000),
        memory_bytes: sizes::Bytes(gib * GIB),
        accelerators,
    }
}

/// A job of a mix.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) at_s: f64,
    pub(crate) owner: usize,
    pub(crate) class: catalogue::JobClass,
    pub(crate) urgency: catalogue::Urgency,
    pub(crate) size: sizes::Resources,
    /// Run time of each task.
    pub(crate) run_s: Vec<f64>,
    pub(crate) deadline_s: Option<f64>,
    pub(crate) checkpointable: bool,
    pub(crate) preemptible: bool,
}

/// A kind of work; ranges are drawn from evenly.
struct Kind {
    /// Share of the offered load, by dominant resource.
    load: f64,
    class: catalogue::JobClass,
    urgency: catalogue::Urgency,
    tasks: (u32, u32),
    cores: (u64, u64),
    gib: (u64, u64),
    accelerators: u32,
    run_s: (f64, f64),
    deadline_s: Option<(f64, f64)>,
    checkpointable: bool,
    preemptible: bool,
}

fn fraser() -> Vec<Kind> {
    use catalogue::JobClass;
    use catalogue::Urgency;
    vec![
        // Accumulation runs, with a binding deadline.
        Kind {
            load: 0.40,
            class: JobClass::Batch,
            urgency: Urgency::Deadline,
            tasks: (20, 60),
            cores: (4, 8),
            gib: (6, 16),
            accelerators: 0,
            run_s: (60.0, 300.0),
            deadline_s: Some((900.0, 1_800.0)),
            checkpointable: false,
            preemptible: false,
        },
        // Renewal repricing.
        Kind {
            load: 0.40,
            class: JobClass::Batch,
            urgency: Urgency::BestEffort,
            tasks: (20, 120),
            cores: (1, 3),
            gib: (2, 8),
            accelerators: 0,
            run_s: (60.0, 600.0),
            deadline_s: None,
            checkpointable: true,
            preemptible: true,
        },
        // Gangs on accelerators.
        Kind {
            load: 0.17,
            class: JobClass::Gang,
            urgency: Urgency::Deadline,
            tasks: (4, 12),
            cores: (8, 16),
            gib: (12, 24),
            accelerators: 1,
            run_s: (300.0, 900.0),
            deadline_s: Some((3_600.0, 5_400.0)),
            checkpointable: true,
            preemptible: true,
        },
        // Quick cover checks.
        Kind {
            load: 0.03,
            class: JobClass::Batch,
            urgency: Urgency::Interactive,
            tasks: (1, 1),
            cores: (1, 2),
            gib: (1, 2),
            accelerators: 0,
            run_s: (5.0, 20.0),
            deadline_s: None,
            checkpointable: false,
            preemptible: false,
        },
    ]
}

fn firth() -> Vec<Kind> {
    use catalogue::JobClass;
    use catalogue::Urgency;
    vec![
        // Cliff-face reconstructions: long and large.
        Kind {
            load: 0.60,
            class: JobClass::Batch,
            urgency: Urgency::BestEffort,
            tasks: (4, 24),
            cores: (6, 20),
            gib: (32, 100),
            accelerators: 0,
            run_s: (1_200.0, 3_600.0),
            deadline_s: None,
            checkpointable: true,
            preemptible: true,
        },
        // Tide-cycle profile comparisons.
        Kind {
            load: 0.27,
            class: JobClass::Batch,
            urgency: Urgency::Deadline,
            tasks: (20, 80),
            cores: (2, 4),
            gib: (4, 16),
            accelerators: 0,
            run_s: (300.0, 900.0),
            deadline_s: Some((5_400.0, 10_800.0)),
            checkpointable: false,
            preemptible: false,
        },
        // Reconstructions whose tasks must run at the same time.
        Kind {
            load: 0.10,
            class: JobClass::Gang,
            urgency: Urgency::BestEffort,
            tasks: (4, 8),
            cores: (16, 24),
            gib: (48, 96),
            accelerators: 1,
            run_s: (900.0, 1_800.0),
            deadline_s: None,
            checkpointable: true,
            preemptible: true,
        },
        // Quick beach-marker checks.
        Kind {
            load: 0.03,
            class: JobClass::Batch,
            urgency: Urgency::Interactive,
            tasks: (1, 1),
            cores: (1, 2),
            gib: (2, 4),
            accelerators: 0,
            run_s: (5.0, 20.0),
            deadline_s: None,
            checkpointable: false,
            preemptible: false,
        },
    ]
}

/// Number of owners; the first submits three times as many jobs as each other one.
pub(crate) const OWNERS: usize = 6;
const HEAVY_OWNER_FACTOR: usize = 3;

/// Draws jobs that arrive within `span_s` seconds and together need `load` times
/// the capacity of `workers` workers.
pub(crate) fn draw(user: User, workers: u32, load: f64, span_s: f64, rng: &mut StdRng) -> Vec<Job> {
    let kinds = match user {
        User::Fraser => fraser(),
        User::Firth => firth(),
    };
    let one = user.worker(1).capacity;
    let mut jobs = Vec::new();
    for kind in &kinds {
        let target = kind.load * load * f64::from(workers) * span_s;
        let mut offered = 0.0;
        while offered < target {
            let job = draw_job(kind, span_s, rng);
            let without_accelerators = sizes::Resources {
                accelerators: 0,
                ..job.size
            };
            offered += without_accelerators.dominant_share(&one) * job.run_s.iter().sum::<f64>();
            jobs.push(job);
        }
    }
    jobs.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    jobs
}

fn draw_job(kind: &Kind, span_s: f64, rng: &mut StdRng) -> Job {
    let tasks = rng.random_range(kind.tasks.0..=kind.tasks.1);
    let cores = rng.random_range(kind.cores.0..=kind.cores.1);
    let gib = rng.random_range(kind.gib.0..=kind.gib.1);
    let arrival_slot = rng.random_range(0..OWNERS - 1 + HEAVY_OWNER_FACTOR);
    let mut run = || rng.random_range(kind.run_s.0..kind.run_s.1);
    let run_s = match kind.class {
        catalogue::JobClass::Gang => vec![run(); tasks as usize],
        _ => (0..tasks).map(|_| run()).collect(),
    };
    Job {
        at_s: rng.random_range(0.0..span_s),
        owner: arrival_slot.saturating_sub(HEAVY_OWNER_FACTOR - 1),
        class: kind.class,
        urgency: kind.urgency,
        size: size(cores, gib, kind.accelerators),
        run_s,
        deadline_s: kind.deadline_s.map(|(a, b)| rng.random_range(a..b)),
        checkpointable: kind.checkpointable,
        preemptible: kind.preemptible,
    }
}
