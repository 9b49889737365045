//! What a leader tells its relays, and what they answer.

use figscale_platform::CallError;
use figscale_platform::workers;
use figscale_types::fleet;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

/// A call of a worker, as the leader would make it.
#[derive(Clone, Debug)]
pub(in crate::fleet) struct Order {
    pub(in crate::fleet) worker: workers::WorkerAddress,
    pub(in crate::fleet) call: Call,
}

/// Which call.
#[derive(Clone, Debug)]
pub(in crate::fleet) enum Call {
    Report(workers::ReportRequest),
    Start {
        epoch: fleet::Epoch,
        order: fleet::StartOrder,
    },
}

/// What a call brought.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::fleet) enum Answer {
    Report(Result<workers::ReportOutcome, CallError>),
    Start(Result<fleet::StartOutcome, CallError>),
}

impl Answer {
    /// Whether somebody waits for it; a report in which nothing has ended only
    /// says that the worker is there.
    pub(super) fn is_urgent(&self) -> bool {
        match self {
            Self::Report(Ok(workers::ReportOutcome::Report(report))) => !report.finished.is_empty(),
            Self::Report(_) | Self::Start(_) => true,
        }
    }
}

/// Answers, each with the number of its order.
pub(super) type Answers = Vec<(u64, Answer)>;

/// Orders on their way to a relay; texts that several share are sent once.
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
        /// Position among the batch's texts.
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

    /// The orders with their numbers; one that names a text that is not there is
    /// left out, and the leader makes its call itself.
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
