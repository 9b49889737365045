//! Settings of requests.

use serde::Deserialize;
use serde::Serialize;

use super::Problems;

/// Requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Maximum size of the head of a request. Default 32,768 bytes, 8,192 to 1,048,576.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request. Default 64, 16 to 1,000.
    pub max_headers: usize,
    /// Timeout for receiving the head of a request. Default 5,000, 50 to 60,000.
    pub head_timeout_ms: u64,
    /// Timeout for receiving the body of a request. Default 15,000, 50 to 600,000.
    pub body_timeout_ms: u64,
    /// Timeout for a client to accept any part of a response. Default 10,000, 50 to 600,000.
    pub write_timeout_ms: u64,
    /// Receive buffer of a connection. Default 16,384 bytes, 4,096 to 16,777,216.
    pub receive_buffer_bytes: u64,
    /// Maximum total size of the request bodies in memory; an eighth of the machine's
    /// memory at most. Default 134,217,728 bytes, 1 MiB to 16 GiB.
    pub body_memory_bytes: u64,
    /// Maximum number of connections of callers; their buffers take a fifth of the
    /// machine's memory at most, and they a third of its descriptors. Default 4,096, 1 to 1,000,000.
    pub max_connections: usize,
    /// Answers up to this size are buffered until they are complete. Default 262,144
    /// bytes, 0 to 16,777,216.
    pub hold_bytes: usize,
    /// Timeout for connecting to a runner. Default 1,000, 10 to 60,000.
    pub connect_timeout_ms: u64,
    /// Maximum time that a request waits for a shard to get a holder. Default 3,000, 0 to 60,000.
    pub holder_wait_ms: u64,
    /// Minimum time between two pushes of slot counts. Default 20, 1 to 1,000.
    pub push_ms: u64,
    /// Maximum time between two pushes of slot counts. Default 500, 10 to 10,000.
    pub refresh_ms: u64,
    /// Time between requests for a report of a runner. Default 500, 10 to 60,000.
    pub report_ms: u64,
    /// Time after which a message has either arrived or will never arrive. Default 1,000, 10 to 60,000.
    pub settle_ms: u64,
    /// Tolerated difference of clocks in request ids. Default 1,000, 1 to 60,000.
    pub clock_tolerance_ms: u64,
    /// Maximum number of request ids remembered by each home. Default 200,000, 100 to 10,000,000.
    pub ids_per_home: usize,
    /// Share of the slots that best-effort work leaves free while there are
    /// interactive requests. Default 0.1, 0 to 0.9.
    pub reserve_share: f64,
    /// Retries added to the retry budget by each first attempt. Default 0.1, 0 to 1.
    pub retry_ratio: f64,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 32_768,
            max_headers: 64,
            head_timeout_ms: 5_000,
            body_timeout_ms: 15_000,
            write_timeout_ms: 10_000,
            receive_buffer_bytes: 16_384,
            body_memory_bytes: 128 << 20,
            max_connections: 4_096,
            hold_bytes: 262_144,
            connect_timeout_ms: 1_000,
            holder_wait_ms: 3_000,
            push_ms: 20,
            refresh_ms: 500,
            report_ms: 500,
            settle_ms: 1_000,
            clock_tolerance_ms: 1_000,
            ids_per_home: 200_000,
            reserve_share: 0.1,
            retry_ratio: 0.1,
        }
    }
}

impl TrafficSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        self.check_front(problems);
        self.check_holder(problems);
        if self.push_ms > self.refresh_ms {
            problems.add(format!(
                "traffic.push_ms is {}: expected traffic.refresh_ms ({}) at most",
                self.push_ms, self.refresh_ms
            ));
        }
    }

    fn check_front(&self, problems: &mut Problems) {
        let head = self.max_head_bytes;
        problems.bound("traffic.max_head_bytes", head, 8_192, 1 << 20);
        let write = self.write_timeout_ms;
        problems.bound("traffic.write_timeout_ms", write, 50, 600_000);
        let buffer = self.receive_buffer_bytes;
        problems.bound("traffic.receive_buffer_bytes", buffer, 4_096, 16 << 20);
        problems.bound("traffic.max_headers", self.max_headers, 16, 1_000);
        problems.bound("traffic.head_timeout_ms", self.head_timeout_ms, 50, 60_000);
        problems.bound("traffic.body_timeout_ms", self.body_timeout_ms, 50, 600_000);
        let memory = self.body_memory_bytes;
        problems.bound("traffic.body_memory_bytes", memory, 1 << 20, 16 << 30);
        let connections = self.max_connections;
        problems.bound("traffic.max_connections", connections, 1, 1_000_000);
        problems.bound("traffic.hold_bytes", self.hold_bytes, 0, 16 << 20);
        let tolerance = self.clock_tolerance_ms;
        problems.bound("traffic.clock_tolerance_ms", tolerance, 1, 60_000);
    }

    fn check_holder(&self, problems: &mut Problems) {
        let connect = self.connect_timeout_ms;
        problems.bound("traffic.connect_timeout_ms", connect, 10, 60_000);
        problems.bound("traffic.holder_wait_ms", self.holder_wait_ms, 0, 60_000);
        problems.bound("traffic.push_ms", self.push_ms, 1, 1_000);
        problems.bound("traffic.refresh_ms", self.refresh_ms, 10, 10_000);
        problems.bound("traffic.report_ms", self.report_ms, 10, 60_000);
        problems.bound("traffic.settle_ms", self.settle_ms, 10, 60_000);
        let ids = self.ids_per_home;
        problems.bound("traffic.ids_per_home", ids, 100, 10_000_000);
        problems.bound("traffic.reserve_share", self.reserve_share, 0.0, 0.9);
        problems.bound("traffic.retry_ratio", self.retry_ratio, 0.0, 1.0);
    }
}
