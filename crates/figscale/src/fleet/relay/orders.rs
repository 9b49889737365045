//! Orders of a leader to its relays, and the answers.
//!
//! They are sent as bincode, so the order of variants and fields is part of the
//! protocol.

use std::time;

use figscale_platform::CallError;
use figscale_platform::workers;
use figscale_types::fleet;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

/// A call to a worker that the relay makes in place of the leader.
#[derive(Clone, Debug)]
pub(in crate::fleet) struct Order {
    pub(in crate::fleet) worker: workers::WorkerAddress,
    pub(in crate::fleet) call: Call,
}

/// The call to make.
#[derive(Clone, Debug)]
pub(in crate::fleet) enum Call {
    Report(workers::ReportRequest),
    Start {
        epoch: fleet::Epoch,
        order: fleet::StartOrder,
    },
}

impl Call {
    /// Time for which the worker may hold back its answer.
    pub(super) fn wait(&self) -> time::Duration {
        match self {
            Self::Report(request) => request.wait,
            Self::Start { .. } => time::Duration::ZERO,
        }
    }
}

/// The result of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::fleet) enum Answer {
    Report(Result<workers::ReportOutcome, CallError>),
    Start(Result<fleet::StartOutcome, CallError>),
}

impl Answer {
    /// Whether the leader needs the answer at once. A report without ended tasks
    /// only shows that the worker responds.
    pub(super) fn is_urgent(&self) -> bool {
        match self {
            Self::Report(Ok(workers::ReportOutcome::Report(report))) => !report.finished.is_empty(),
            Self::Report(_) | Self::Start(_) => true,
        }
    }
}

/// A batch of answers, each with the number of its order.
pub(super) type Answers = Vec<(u64, Answer)>;

/// A batch of orders to a relay. Task descriptions that several orders share are
/// sent once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Batch {
    texts: IndexSet<String>,
    orders: Vec<Packed>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Packed {
    number: u64,
    worker: workers::WorkerAddress,
    call: PackedCall,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum PackedCall {
    Report(workers::ReportRequest),
    Start {
        epoch: fleet::Epoch,
        task: fleet::TaskId,
        attempt: u32,
        /// Index of the task description in `texts` of the batch.
        text: usize,
        expires_clock_ms: u64,
        checkpoint: String,
        ticket: Option<String>,
    },
}

impl Batch {
    pub(super) fn push(&mut self, number: u64, order: Order) {
        let call = match order.call {
            Call::Report(request) => PackedCall::Report(request),
            Call::Start { epoch, order } => PackedCall::Start {
                epoch,
                task: order.task,
                attempt: order.attempt,
                text: self.texts.insert_full(order.spec).0,
                expires_clock_ms: order.expires_clock_ms,
                checkpoint: order.checkpoint,
                ticket: order.ticket,
            },
        };
        self.orders.push(Packed {
            number,
            worker: order.worker,
            call,
        });
    }

    pub(super) fn len(&self) -> usize {
        self.orders.len()
    }

    /// The orders with their numbers. An order whose `text` index is out of range is
    /// dropped, and the leader makes its call directly.
    pub(super) fn unpack(self) -> impl Iterator<Item = (u64, Order)> {
        let texts = self.texts;
        self.orders.into_iter().filter_map(move |packed| {
            let call = match packed.call {
                PackedCall::Report(request) => Call::Report(request),
                PackedCall::Start {
                    epoch,
                    task,
                    attempt,
                    text,
                    expires_clock_ms,
                    checkpoint,
                    ticket,
                } => Call::Start {
                    epoch,
                    order: fleet::StartOrder {
                        task,
                        attempt,
                        spec: texts.get_index(text)?.clone(),
                        expires_clock_ms,
                        checkpoint,
                        ticket,
                    },
                },
            };
            let worker = packed.worker;
            Some((packed.number, Order { worker, call }))
        })
    }
}
