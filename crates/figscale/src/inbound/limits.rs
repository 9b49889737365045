//! Limits of a listener, derived from the settings and the size of the machine.
//!
//! The settings bound connections and bodies in total. A small machine bounds them
//! further, so that what clients hold leaves memory and descriptors for the process
//! itself: its state, and its connections to peers, the store and the workers.

use std::time;

use crate::settings;

/// Share of the machine's descriptors for callers, and likewise for peers.
const DESCRIPTORS_DIVISOR: u64 = 3;
/// Share of the machine's memory for the connections of callers.
const CONNECTION_MEMORY_DIVISOR: u64 = 5;
/// Share of the machine's memory for the bodies of callers' requests.
const BODY_MEMORY_DIVISOR: u64 = 8;
/// Memory of a connection besides its buffers: its task and its parsed request.
const CONNECTION_STATE_BYTES: u64 = 16_384;
/// The kernel reserves twice the size that a program asks for.
const KERNEL_BUFFER_FACTOR: u64 = 2;

/// Most connections of the balancer, whose checks take turns.
const MAX_BALANCER_CONNECTIONS: usize = 32;
/// Most connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 128;
/// Memory for the bodies of operators' requests.
const OPERATOR_BODY_MEMORY_BYTES: u64 = 4 << 20;

/// What the clients of one listener may hold.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// Name of the listener in metrics and in the log.
    pub(crate) listener: &'static str,
    /// Most connections.
    pub(crate) max_connections: usize,
    /// Largest head of a request.
    pub(crate) max_head_bytes: usize,
    /// Most headers of a request.
    pub(crate) max_headers: usize,
    /// Time for a head to arrive, from its first byte.
    pub(crate) head_timeout: time::Duration,
    /// Time for a body to arrive.
    pub(crate) body_timeout: time::Duration,
    /// Time for a client to accept any part of an answer.
    pub(crate) write_timeout: time::Duration,
    /// Memory for the bodies of all requests.
    pub(crate) body_memory_bytes: u64,
}

impl Limits {
    /// Limits for callers.
    pub(crate) fn callers(settings: &settings::Settings) -> Self {
        Self::within(&settings.traffic, &settings.machine)
    }

    fn within(traffic: &settings::TrafficSettings, machine: &settings::MachineSettings) -> Self {
        let memory_bytes = machine.memory_bytes();
        let buffers_bytes =
            2 * traffic.max_head_bytes as u64 + KERNEL_BUFFER_FACTOR * traffic.receive_buffer_bytes;
        let by_memory =
            memory_bytes / CONNECTION_MEMORY_DIVISOR / (buffers_bytes + CONNECTION_STATE_BYTES);
        let by_descriptors = machine.max_descriptors / DESCRIPTORS_DIVISOR;
        let by_machine = usize::try_from(by_memory.min(by_descriptors)).unwrap_or(usize::MAX);
        Self {
            listener: "callers",
            max_connections: traffic.max_connections.min(by_machine).max(1),
            max_head_bytes: traffic.max_head_bytes,
            max_headers: traffic.max_headers,
            head_timeout: time::Duration::from_millis(traffic.head_timeout_ms),
            body_timeout: time::Duration::from_millis(traffic.body_timeout_ms),
            write_timeout: time::Duration::from_millis(traffic.write_timeout_ms),
            body_memory_bytes: traffic
                .body_memory_bytes
                .min(memory_bytes / BODY_MEMORY_DIVISOR),
        }
    }

    /// Limits for the balancer's readiness checks, which have no bodies.
    pub(crate) fn balancer(settings: &settings::Settings) -> Self {
        Self {
            listener: "balancer",
            max_connections: MAX_BALANCER_CONNECTIONS,
            body_memory_bytes: 0,
            ..Self::callers(settings)
        }
    }

    /// Limits for operators.
    pub(crate) fn operators(settings: &settings::Settings) -> Self {
        Self {
            listener: "operators",
            max_connections: MAX_OPERATOR_CONNECTIONS,
            body_memory_bytes: OPERATOR_BODY_MEMORY_BYTES,
            ..Self::callers(settings)
        }
    }

    /// Limits for peers; their messages are limited by the protocol between them.
    pub(crate) fn peers(machine: &settings::MachineSettings) -> Self {
        let by_descriptors = machine.max_descriptors / DESCRIPTORS_DIVISOR;
        Self {
            listener: "peers",
            max_connections: usize::try_from(by_descriptors).unwrap_or(usize::MAX),
            ..Self::within(&settings::TrafficSettings::default(), machine)
        }
    }
}
