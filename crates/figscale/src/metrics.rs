//! Counters, gauges and histograms of a process, by opentelemetry.
//!
//! Read in the Prometheus text form on the operator address. Services call the
//! method named by what happened and need know nothing of instruments. Labels
//! are bounded by the catalogue and the platform's list: no request id, job id
//! or caller's text becomes one. The library's own process collector adds
//! processor time, resident memory, threads and open files.

use std::fmt;
use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::verdict;
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::process_collector;

/// Bounds of the histogram of waits, in seconds.
const WAIT_BOUNDS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.3, 10.0,
];
/// Bounds of the histogram of placement decisions, in seconds.
const DECISION_BOUNDS_S: [f64; 9] = [
    0.000_01, 0.000_025, 0.000_05, 0.000_1, 0.000_25, 0.001, 0.002_5, 0.005, 0.01,
];

/// A kind of call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Read of a key.
    Get,
    /// Compare-and-swap of a key, or its deletion.
    Put,
    /// Wait for a change.
    Watch,
    /// List of keys.
    Keys,
    /// Grant, renewal or end of a lease.
    Lease,
    /// Read of the instance list.
    Instances,
}

impl StoreCall {
    fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Watch => "watch",
            Self::Keys => "keys",
            Self::Lease => "lease",
            Self::Instances => "instances",
        }
    }
}

/// Slots of a service's runners that this process hands out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// May be given to a request.
    pub free: u64,
    /// Run a request.
    pub busy: u64,
    /// May still run a request of an earlier holder.
    pub quarantined: u64,
}

/// The meters of a process.
pub struct Metrics {
    registry: prometheus::Registry,
    // Instruments are dead once their provider is dropped.
    _provider: SdkMeterProvider,
    requests: metrics::Counter<u64>,
    request_wait: metrics::Histogram<f64>,
    queue_len: metrics::Gauge<u64>,
    slots: metrics::Gauge<u64>,
    store_calls: metrics::Counter<u64>,
    store_bytes: metrics::Counter<u64>,
    peer_messages: metrics::Counter<u64>,
    peer_bytes: metrics::Counter<u64>,
    claims_held: metrics::Gauge<u64>,
    tasks: metrics::Gauge<u64>,
    placements: metrics::Counter<u64>,
    placement_decision: metrics::Histogram<f64>,
    catalogue_revision: metrics::Gauge<u64>,
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
        let meter = provider.meter("figscale");
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
            store_calls: counter("figscale_store_calls", "Calls to the store."),
            store_bytes: counter(
                "figscale_store_bytes",
                "Bytes of bodies to and from the store.",
            ),
            peer_messages: counter("figscale_peer_messages", "Calls to other entry instances."),
            peer_bytes: counter(
                "figscale_peer_bytes",
                "Bytes of messages to and from other entry instances.",
            ),
            claims_held: gauge("figscale_claims_held", "Shards that this process holds."),
            tasks: gauge("figscale_tasks", "Tasks that this process looks after."),
            placements: counter("figscale_placements", "Tasks placed on a worker."),
            placement_decision: seconds(
                "figscale_placement_decision_seconds",
                "Time to choose a worker.",
                &DECISION_BOUNDS_S,
            ),
            catalogue_revision: gauge(
                "figscale_catalogue_revision",
                "Catalogue revision in force here.",
            ),
            registry,
            _provider: provider,
        }
    }
}

/// A provider that is read through the registry.
///
/// Where one part cannot be registered the process goes on without it: it has
/// work to do that does not depend on being measured.
fn provider(registry: &prometheus::Registry) -> SdkMeterProvider {
    let process = process_collector::ProcessCollector::for_self();
    if let Err(error) = registry.register(Box::new(process)) {
        log::warn!("no process metrics: {error}");
    }
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .scope_info_enabled(false)
        .build();
    match exporter {
        Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
        Err(error) => {
            log::warn!("no metrics: {error}");
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
    /// All instruments in the Prometheus text form.
    pub fn render(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }

    /// A request got its final answer.
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

    /// A request was dispatched after it had waited this long.
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

    /// So many requests wait now.
    pub fn queue_changed(&self, len: usize) {
        self.queue_len.record(count(len), &[]);
    }

    /// The slots of a service are in these states now.
    pub fn slots_changed(&self, service: &ids::ServiceName, slots: Slots) {
        let record = |state, number| {
            let labels = [
                KeyValue::new("service", service.to_string()),
                KeyValue::new("state", state),
            ];
            self.slots.record(number, &labels);
        };
        record("free", slots.free);
        record("busy", slots.busy);
        record("quarantined", slots.quarantined);
    }

    /// A call to the store ended; sizes are those of the bodies, in bytes.
    pub fn store_called(&self, call: StoreCall, succeeded: bool, sent: usize, received: usize) {
        let kind = KeyValue::new("kind", call.as_str());
        let outcome = if succeeded { "ok" } else { "error" };
        let labels = [kind.clone(), KeyValue::new("outcome", outcome)];
        self.store_calls.add(1, &labels);
        add_bytes(&self.store_bytes, kind, sent, received);
    }

    /// A call to another entry instance ended; sizes in bytes.
    pub fn peer_called(&self, service: &str, succeeded: bool, sent: usize, received: usize) {
        let service = KeyValue::new("service", service.to_owned());
        let outcome = if succeeded { "ok" } else { "error" };
        let labels = [service.clone(), KeyValue::new("outcome", outcome)];
        self.peer_messages.add(1, &labels);
        add_bytes(&self.peer_bytes, service, sent, received);
    }

    /// So many shards are held now.
    pub fn claims_changed(&self, held: usize) {
        self.claims_held.record(count(held), &[]);
    }

    /// So many tasks run and wait now.
    pub fn tasks_changed(&self, running: usize, queued: usize) {
        let state = |state| [KeyValue::new("state", state)];
        self.tasks.record(count(running), &state("running"));
        self.tasks.record(count(queued), &state("queued"));
    }

    /// A task was placed; the choice of its worker took this long.
    pub fn task_placed(&self, urgency: catalogue::Urgency, decision: time::Duration) {
        let labels = [urgency_label(urgency)];
        self.placements.add(1, &labels);
        self.placement_decision.record(decision.as_secs_f64(), &[]);
    }

    /// A catalogue came into force here.
    pub fn catalogue_adopted(&self, revision: ids::Revision) {
        self.catalogue_revision.record(revision.0, &[]);
    }
}

fn add_bytes(counter: &metrics::Counter<u64>, label: KeyValue, sent: usize, received: usize) {
    let direction = |word| [label.clone(), KeyValue::new("direction", word)];
    counter.add(count(sent), &direction("sent"));
    counter.add(count(received), &direction("received"));
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
