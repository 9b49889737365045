//! Test helpers: builders of workers, requests, reports and waiting work.

use std::time;

use figscale_core::job::placement;
use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use figscale_types::worker as protocol;

/// One worker in this number has accelerators.
const ACCELERATED: u32 = 4;
const DOMAINS: u32 = 4;
const RACKS: u32 = 2;

pub(crate) fn size(cpu: u64, gib: u64, accelerators: u32) -> sizes::Resources {
    sizes::Resources {
        cpu_millis: sizes::CpuMillis(cpu),
        memory_bytes: sizes::Bytes(gib << 30),
        accelerators,
    }
}

pub(crate) fn worker_id(number: u32) -> ids::InstanceId {
    format!("w-{number:03}").parse().expect("legal")
}

pub(crate) fn worker_number(id: &ids::InstanceId) -> u32 {
    id.as_str()[2..].parse().expect("made by worker_id")
}

/// A worker of 64 cores and 128 GiB. The rack alternates with the number, the
/// failure domain changes with every fourth.
pub(crate) fn instance(number: u32) -> instances::Instance {
    let accelerators = if number % ACCELERATED == ACCELERATED - 1 {
        4
    } else {
        0
    };
    instances::Instance {
        id: worker_id(number),
        role: instances::Role::Worker,
        address: "127.0.0.1:1".parse().expect("legal"),
        failure_domain: format!("fd-{}", (number / ACCELERATED) % DOMAINS)
            .parse()
            .expect("legal"),
        rack: format!("r-{}", number % RACKS).parse().expect("legal"),
        service: None,
        capacity: size(64_000, 128, accelerators),
        slots: 0,
        connections: 0,
        life: instances::Life::Live,
    }
}

pub(crate) fn cluster(workers: u32) -> placement::Cluster {
    let mut cluster = placement::Cluster::new(placement::Config::default());
    for number in 0..workers {
        cluster.add_worker(&instance(number), placement::Readiness::Ready);
    }
    cluster
}

pub(crate) fn task(job: &str, index: u32) -> ids::TaskId {
    ids::TaskId {
        job: job.parse().expect("legal"),
        index,
    }
}

pub(crate) fn owner(name: &str) -> ids::OwnerName {
    name.parse().expect("legal")
}

pub(crate) fn request(
    job: &str,
    index: u32,
    size: sizes::Resources,
    urgency: catalogue::Urgency,
) -> placement::PlacementRequest {
    placement::PlacementRequest {
        task: task(job, index),
        attempt: 1,
        owner: Some(owner("owner-a")),
        class: catalogue::JobClass::Batch,
        urgency,
        size,
        declared: size,
        interruptibility: placement::Interruptibility {
            idempotent: true,
            checkpointable: false,
            preemptible: true,
        },
        avoid: Vec::new(),
    }
}

pub(crate) fn running_task(task: ids::TaskId, size: sizes::Resources) -> protocol::TaskReport {
    protocol::TaskReport {
        task,
        attempt: 1,
        phase: protocol::TaskPhase::Running,
        reserved: size,
        used: size,
        ran_ms: 1_000,
        home_epoch: ids::Epoch(1),
    }
}

pub(crate) fn running(
    allocation: &placement::Allocation,
    used: sizes::Resources,
) -> protocol::TaskReport {
    protocol::TaskReport {
        used,
        attempt: allocation.request.attempt,
        ..running_task(allocation.request.task.clone(), allocation.request.size)
    }
}

pub(crate) fn report(
    worker: &placement::Worker,
    tasks: Vec<protocol::TaskReport>,
) -> protocol::WorkerReport {
    protocol::WorkerReport {
        worker: worker.id().clone(),
        epoch: ids::Epoch(1),
        stale: false,
        capacity: worker.capacity(),
        leaving: false,
        tasks,
        clock: protocol::WorkerClock::default(),
    }
}

/// Work that runs for a minute.
pub(crate) fn work(
    job: &str,
    owner_name: &str,
    size: sizes::Resources,
    urgency: catalogue::Urgency,
    now: time::Instant,
) -> placement::Work {
    placement::Work {
        job: job.parse().expect("legal"),
        owner: owner(owner_name),
        class: catalogue::JobClass::Batch,
        urgency,
        size,
        declared: size,
        interruptibility: placement::Interruptibility {
            idempotent: true,
            checkpointable: false,
            preemptible: true,
        },
        queued_at: now,
        deadline: None,
        run: time::Duration::from_secs(60),
    }
}

/// The given number of cases with a fixed seed, so that every run tests the same
/// ones.
pub(crate) fn proptest_config(cases: u32) -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    }
}
