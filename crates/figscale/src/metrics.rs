//! Counters, gauges and histograms of a process, through `opentelemetry`.
//!
//! They are served in the Prometheus text format on the operator address.
//! Services call one method per kind of occurrence and do not deal with
//! instruments. The cardinality of labels is bounded by the catalogue and the
//! platform's instance list: request ids, job ids and texts of callers are never
//! labels. The process collector of the `prometheus` crate adds CPU time,
//! resident memory, threads and open files.

use std::fmt;
use std::sync;
use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::platform;
use figscale_types::verdict;
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::process_collector;

use crate::store;

/// Scope of the instruments.
const SCOPE: &str = "figscale";
/// Bucket bounds of the histograms of waiting and response times, in seconds.
const WAIT_BOUNDS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.3, 10.0,
];

/// Bucket bounds of the histogram of job times, in seconds.
const JOB_BOUNDS_S: [f64; 9] = [0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0];

/// Bucket bounds of the histogram of run lengths relative to their predictions.
const RATIO_BOUNDS: [f64; 10] = [0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0];

/// Slots of the runners of a service that this process allocates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// Available for a request.
    pub free: u32,
    /// Running a request, or withheld because they may be running one.
    pub taken: u32,
}

/// The meters of a process.
pub struct Metrics {
    registry: prometheus::Registry,
    // Instruments stop recording once their provider is dropped.
    provider: SdkMeterProvider,
    requests: metrics::Counter<u64>,
    request_wait: metrics::Histogram<f64>,
    queue_len: metrics::Gauge<u64>,
    slots: metrics::Gauge<u64>,
    claims_held: metrics::Gauge<u64>,
    tasks: metrics::Gauge<u64>,
    task_starts: metrics::Counter<u64>,
    runs_preempted: metrics::Counter<u64>,
    preemptions: metrics::Counter<u64>,
    catalogue_revision: metrics::Gauge<u64>,
    inbound_open: metrics::Gauge<u64>,
    inbound_closed: metrics::Counter<u64>,
    fleet_calls: metrics::Counter<u64>,
    fleet_call_time: metrics::Histogram<f64>,
    fleet_jobs: metrics::Counter<u64>,
    fleet_placed_late: metrics::Counter<u64>,
    fleet_awaits_faster: metrics::Counter<u64>,
    fleet_job_time: metrics::Histogram<f64>,
    fleet_refusals: metrics::Counter<u64>,
    fleet_state: metrics::Gauge<u64>,
    fleet_workers: metrics::Gauge<u64>,
    fleet_prediction: metrics::Histogram<f64>,
    fleet_store_time: metrics::Histogram<f64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = prometheus::Registry::new();
        let provider = provider(&registry);
        let meter = provider.meter(SCOPE);
        let counter = |name, help| meter.u64_counter(name).with_description(help).build();
        let gauge = |name, help| meter.u64_gauge(name).with_description(help).build();
        let seconds = |name, help, bounds: &[f64]| {
            meter
                .f64_histogram(name)
                .with_description(help)
                .with_boundaries(bounds.to_vec())
                .build()
        };
        Self {
            requests: counter("figscale_requests", "Requests answered."),
            request_wait: seconds(
                "figscale_request_wait_seconds",
                "Time from arrival to dispatch.",
                &WAIT_BOUNDS_S,
            ),
            queue_len: gauge("figscale_queue_len", "Requests waiting for a slot."),
            slots: gauge("figscale_slots", "Slots that this process hands out."),
            claims_held: gauge("figscale_claims_held", "Shards that this process holds."),
            tasks: gauge("figscale_tasks", "Tasks that this process looks after."),
            runs_preempted: counter(
                "figscale_runs_preempted",
                "Runs stopped so that work of a queue of lower number starts in time.",
            ),
            preemptions: counter(
                "figscale_preemptions",
                "Steps for which runs were stopped, and those of them that did not start.",
            ),
            task_starts: counter("figscale_task_starts", "Starts of tasks sent to workers."),
            catalogue_revision: gauge(
                "figscale_catalogue_revision",
                "Catalogue revision in force here.",
            ),
            inbound_open: gauge(
                "figscale_inbound_connections",
                "Connections from outside, by listener.",
            ),
            inbound_closed: counter(
                "figscale_inbound_closed",
                "Connections from outside closed at a limit, by listener and cause.",
            ),
            fleet_calls: counter("figscale_fleet_calls", "Callers' requests answered."),
            fleet_call_time: seconds(
                "figscale_fleet_call_seconds",
                "Time from a caller's request to its answer.",
                &WAIT_BOUNDS_S,
            ),
            fleet_jobs: counter("figscale_fleet_jobs", "Jobs that reached their end here."),
            fleet_placed_late: counter(
                "figscale_fleet_placed_late",
                "Steps placed where they were predicted to end too late.",
            ),
            fleet_awaits_faster: counter(
                "figscale_fleet_awaits_faster",
                "Gangs with room that waited for faster workers.",
            ),
            fleet_job_time: seconds(
                "figscale_fleet_job_seconds",
                "Time from a job's submission to its end.",
                &JOB_BOUNDS_S,
            ),
            fleet_refusals: counter(
                "figscale_fleet_refusals",
                "Jobs that the leader refused, by cause.",
            ),
            fleet_state: gauge(
                "figscale_fleet_state",
                "What the leader knows: jobs, runs, workers; nothing elsewhere.",
            ),
            fleet_workers: gauge(
                "figscale_fleet_workers",
                "Workers by their slowdown, as the leader knows it; nothing elsewhere.",
            ),
            fleet_prediction: seconds(
                "figscale_fleet_run_length_ratio",
                "Length of a successful run, divided by its predicted length.",
                &RATIO_BOUNDS,
            ),
            fleet_store_time: seconds(
                "figscale_fleet_store_seconds",
                "Time from a call of the platform's store to its answer.",
                &WAIT_BOUNDS_S,
            ),
            registry,
            provider,
        }
    }
}

/// Creates a meter provider that exports to the registry.
///
/// If a collector or the exporter cannot be registered, the process continues
/// without it, since its work does not depend on metrics.
fn provider(registry: &prometheus::Registry) -> SdkMeterProvider {
    let process = process_collector::ProcessCollector::for_self();
    if let Err(error) = registry.register(Box::new(process)) {
        log::warn!(
            "cannot register the process collector; continuing without process metrics: {error}"
        );
    }
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .scope_info_enabled(false)
        .build();
    match exporter {
        Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
        Err(error) => {
            log::warn!(
                "cannot create the Prometheus exporter; continuing without metrics: {error}"
            );
            SdkMeterProvider::default()
        }
    }
}

fn urgency_label(urgency: catalogue::Urgency) -> KeyValue {
    let word = match urgency {
        catalogue::Urgency::Interactive => "interactive",
        catalogue::Urgency::Deadline => "deadline",
        catalogue::Urgency::BestEffort => "best-effort",
    };
    KeyValue::new("urgency", word)
}

impl Metrics {
    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }

    /// Records the final answer to a request.
    pub fn request_answered(
        &self,
        entry: &ids::EntryName,
        urgency: catalogue::Urgency,
        verdict: verdict::Verdict,
    ) {
        let labels = [
            KeyValue::new("entry", entry.to_string()),
            urgency_label(urgency),
            KeyValue::new("verdict", verdict.as_str()),
        ];
        self.requests.add(1, &labels);
    }

    /// Records the dispatch of a request and the time that it waited.
    pub fn request_dispatched(
        &self,
        entry: &ids::EntryName,
        urgency: catalogue::Urgency,
        waited: time::Duration,
    ) {
        let labels = [
            KeyValue::new("entry", entry.to_string()),
            urgency_label(urgency),
        ];
        self.request_wait.record(waited.as_secs_f64(), &labels);
    }

    /// Sets the number of waiting requests.
    pub fn queue_changed(&self, len: usize) {
        self.queue_len.record(count(len), &[]);
    }

    /// Sets the number of slots of a service by state.
    pub fn slots_changed(&self, service: &ids::ServiceName, slots: Slots) {
        let record = |state, number: u32| {
            let labels = [
                KeyValue::new("service", service.to_string()),
                KeyValue::new("state", state),
            ];
            self.slots.record(number.into(), &labels);
        };
        record("free", slots.free);
        record("taken", slots.taken);
    }

    /// Exports the use of the store from the counts of its client.
    pub fn observe_store(&self, counts: impl Fn() -> store::Counts + Send + Sync + 'static) {
        let counts = sync::Arc::new(counts);
        let meter = self.provider.meter(SCOPE);
        let of_calls = counts.clone();
        meter
            .u64_observable_counter("figscale_store_calls")
            .with_description("Calls to the store.")
            .with_callback(move |out| {
                for (call, usage) in of_calls().iter() {
                    let answered = usage.calls.saturating_sub(usage.failed);
                    out.observe(answered, &[kind(call), KeyValue::new("outcome", "ok")]);
                    out.observe(
                        usage.failed,
                        &[kind(call), KeyValue::new("outcome", "error")],
                    );
                }
            })
            .build();
        meter
            .u64_observable_counter("figscale_store_bytes")
            .with_description("Bytes to and from the store, heads estimated.")
            .with_callback(move |out| {
                for (call, usage) in counts().iter() {
                    let sent = KeyValue::new("direction", "sent");
                    out.observe(usage.sent_bytes, &[kind(call), sent]);
                    let received = KeyValue::new("direction", "received");
                    out.observe(usage.received_bytes, &[kind(call), received]);
                }
            })
            .build();
    }

    /// Sets the number of shards held.
    pub fn claims_changed(&self, held: usize) {
        self.claims_held.record(count(held), &[]);
    }

    /// Sets the number of running and queued tasks.
    pub fn tasks_changed(&self, running: usize, queued: usize) {
        let state = |state| [KeyValue::new("state", state)];
        self.tasks.record(count(running), &state("running"));
        self.tasks.record(count(queued), &state("queued"));
    }

    /// Counts the start of a task sent to a worker.
    pub fn task_start_sent(&self) {
        self.task_starts.add(1, &[]);
    }

    /// Counts a step for which runs are stopped.
    pub fn runs_preempted(&self, runs: usize) {
        self.runs_preempted.add(count(runs), &[]);
        self.preemptions
            .add(1, &[KeyValue::new("state", "ordered")]);
    }

    /// Counts a step that did not start although runs were stopped for it.
    pub fn preemption_unused(&self) {
        self.preemptions.add(1, &[KeyValue::new("state", "unused")]);
    }

    /// Counts a step placed where it was predicted to end too late.
    pub fn fleet_step_placed_late(&self) {
        self.fleet_placed_late.add(1, &[]);
    }

    /// Counts a gang with room that waits for faster workers.
    pub fn fleet_gang_awaits_faster(&self) {
        self.fleet_awaits_faster.add(1, &[]);
    }

    /// Sets the number of open connections of a listener.
    pub fn inbound_open(&self, listener: &'static str, connections: usize) {
        let labels = [KeyValue::new("listener", listener)];
        self.inbound_open.record(count(connections), &labels);
    }

    /// Counts a connection of a listener that was closed at a limit.
    pub fn inbound_closed(&self, listener: &'static str, cause: &'static str) {
        let labels = [
            KeyValue::new("listener", listener),
            KeyValue::new("cause", cause),
        ];
        self.inbound_closed.add(1, &labels);
    }

    /// Records the answer to a call of a fleet's caller.
    pub fn fleet_call_answered(&self, method: &str, status: u16, took: time::Duration) {
        let labels = [
            KeyValue::new("method", method.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.fleet_calls.add(1, &labels);
        self.fleet_call_time
            .record(took.as_secs_f64(), &labels[..1]);
    }

    /// Records the end of a fleet's job, with the time since its submission.
    pub fn fleet_job_ended(&self, state: &'static str, late: bool, after: time::Duration) {
        let labels = [KeyValue::new("state", state), KeyValue::new("late", late)];
        self.fleet_jobs.add(1, &labels);
        self.fleet_job_time
            .record(after.as_secs_f64(), &labels[..1]);
    }

    /// Records that the leader refused a job.
    pub fn fleet_job_refused(&self, cause: &'static str) {
        self.fleet_refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Sets the number of rows that the last listings of the store left out.
    pub fn fleet_rows_left_out(&self, rows: u64) {
        self.fleet_state
            .record(rows, &[KeyValue::new("kind", "rows_left_out")]);
    }

    /// Sets the number of objects of a kind (jobs, runs, workers) known to the leader.
    pub fn fleet_state_changed(&self, kind: &'static str, number: usize) {
        self.fleet_state
            .record(count(number), &[KeyValue::new("kind", kind)]);
    }

    /// Sets the number of workers with slowdowns in a range.
    pub fn fleet_workers_by_slowdown(&self, range: &'static str, number: usize) {
        let labels = [KeyValue::new("slowdown", range)];
        self.fleet_workers.record(count(number), &labels);
    }

    /// Records how long a run took, and how long it was predicted to take.
    pub fn fleet_run_done(&self, length: time::Duration, predicted: time::Duration) {
        let predicted_s = predicted.as_secs_f64();
        if predicted_s > 0.0 {
            self.fleet_prediction
                .record(length.as_secs_f64() / predicted_s, &[]);
        }
    }

    /// Records the response time of a call to the platform's store.
    pub fn fleet_store_answered(&self, took: time::Duration) {
        self.fleet_store_time.record(took.as_secs_f64(), &[]);
    }

    /// Exports the calls to the users' platform from the counts of its client.
    pub fn observe_platform(
        &self,
        counts: impl Fn() -> [(&'static str, u64); 3] + Send + Sync + 'static,
    ) {
        self.provider
            .meter(SCOPE)
            .u64_observable_counter("figscale_platform_calls")
            .with_description("Calls to the users' platform, those unanswered, connections opened.")
            .with_callback(move |out| {
                for (kind, number) in counts() {
                    out.observe(number, &[KeyValue::new("kind", kind)]);
                }
            })
            .build();
    }

    /// Sets the revision of the catalogue in force in this process.
    pub fn catalogue_adopted(&self, revision: ids::Revision) {
        self.catalogue_revision.record(revision.0, &[]);
    }
}

fn kind(call: platform::CallKind) -> KeyValue {
    KeyValue::new("kind", format!("{call:?}").to_lowercase())
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
