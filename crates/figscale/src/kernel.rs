//! The micro-kernel: a registry through which services find each other by name.
//!
//! A service registers a mailbox under its name and gets the receiving end.
//! A client looks the name up and posts a typed message, with a [`Reply`] if it
//! expects an answer. The kernel also holds the callbacks that services
//! register: to dump their state, to update their gauges and to release a shard
//! gracefully.
//!
//! Mailboxes are bounded. A full mailbox refuses messages at once, so that an
//! overloaded service causes errors at its clients rather than growing memory.

use std::any;
use std::error;
use std::fmt;
use std::future;
use std::pin;
use std::sync;

use figscale_types::ids;
use figscale_types::mutex;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Capacity of a mailbox, in messages.
pub const MAILBOX_LEN: usize = 4_096;

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = pin::Pin<Box<dyn future::Future<Output = T> + Send>>;
type DumpFn = sync::Arc<dyn Fn() -> BoxFuture<serde_json::Value> + Send + Sync>;
type ReportFn = sync::Arc<dyn Fn() -> BoxFuture<()> + Send + Sync>;
type DrainFn = sync::Arc<dyn Fn(ids::ShardId) -> BoxFuture<Drained> + Send + Sync>;

/// Result of draining a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// Nothing is in progress on it any more.
    Clean,
    /// Something may still be in progress.
    Unclean,
}

/// Why a service could not be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// No service is registered under the name.
    Unknown(&'static str),
    /// Its mailbox is full.
    Full(&'static str),
    /// It ended before it replied.
    Gone(&'static str),
}

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(name) => write!(f, "service {name} is not registered"),
            Self::Full(name) => write!(f, "service {name} is overloaded"),
            Self::Gone(name) => write!(f, "service {name} has ended"),
        }
    }
}

impl error::Error for Unavailable {}

/// Sends the answer to a call. Dropping it ends the call with
/// [`Unavailable::Gone`].
#[derive(Debug)]
pub struct Reply<T>(oneshot::Sender<T>);

impl<T> Reply<T> {
    /// Sends the answer. It is no error if the client no longer waits for it.
    pub fn send(self, answer: T) {
        let _ = self.0.send(answer);
    }
}

/// The sending end of a service's mailbox.
#[derive(Debug)]
pub struct Address<M> {
    name: &'static str,
    sender: mpsc::Sender<M>,
}

impl<M> Clone for Address<M> {
    fn clone(&self) -> Self {
        Self {
            name: self.name,
            sender: self.sender.clone(),
        }
    }
}

impl<M> Address<M> {
    /// Posts a message without waiting for capacity.
    pub fn post(&self, message: M) -> Result<(), Unavailable> {
        self.sender.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => Unavailable::Full(self.name),
            mpsc::error::TrySendError::Closed(_) => Unavailable::Gone(self.name),
        })
    }

    /// Posts the message that `make` builds with a reply, and waits for the answer.
    pub async fn call<R>(&self, make: impl FnOnce(Reply<R>) -> M) -> Result<R, Unavailable> {
        let (sender, receiver) = oneshot::channel();
        self.post(make(Reply(sender)))?;
        receiver.await.map_err(|_| Unavailable::Gone(self.name))
    }
}

/// The receiving end of a service's mailbox.
pub type Inbox<M> = mpsc::Receiver<M>;

/// The service registry of a process.
#[derive(Default)]
pub struct Kernel {
    addresses: sync::Mutex<IndexMap<&'static str, Box<dyn any::Any + Send>>>,
    dumps: sync::Mutex<IndexMap<&'static str, DumpFn>>,
    reports: sync::Mutex<IndexMap<&'static str, ReportFn>>,
    drains: sync::Mutex<IndexMap<&'static str, DrainFn>>,
}

impl Kernel {
    /// Registers a service and returns the receiving end of its mailbox.
    pub fn register<M: Send + 'static>(&self, name: &'static str) -> Inbox<M> {
        let (sender, receiver) = mpsc::channel(MAILBOX_LEN);
        let address = Address { name, sender };
        mutex::lock(&self.addresses).insert(name, Box::new(address));
        receiver
    }

    /// Finds a service by its name and the type of its messages.
    pub fn find<M: Send + 'static>(&self, name: &'static str) -> Result<Address<M>, Unavailable> {
        mutex::lock(&self.addresses)
            .get(name)
            .and_then(|address| address.downcast_ref::<Address<M>>())
            .cloned()
            .ok_or(Unavailable::Unknown(name))
    }

    /// Registers the callback that dumps the state of a service.
    pub fn register_dump(
        &self,
        name: &'static str,
        dump: impl Fn() -> BoxFuture<serde_json::Value> + Send + Sync + 'static,
    ) {
        mutex::lock(&self.dumps).insert(name, sync::Arc::new(dump));
    }

    /// Dumps the state of every service that has registered a dump.
    pub async fn dump(&self) -> serde_json::Value {
        let dumps = mutex::lock(&self.dumps).clone();
        let mut all = serde_json::Map::new();
        for (name, dump) in dumps {
            all.insert(name.to_owned(), dump().await);
        }
        serde_json::Value::Object(all)
    }

    /// Registers the callback that updates the gauges of a service.
    ///
    /// Gauges change much more often than they are read, so they are set when
    /// metrics are rendered rather than at every change.
    pub fn register_report(
        &self,
        name: &'static str,
        report: impl Fn() -> BoxFuture<()> + Send + Sync + 'static,
    ) {
        mutex::lock(&self.reports).insert(name, sync::Arc::new(report));
    }

    /// Updates the gauges of every service.
    pub async fn report(&self) {
        let reports = mutex::lock(&self.reports).clone();
        for report in reports.values() {
            report().await;
        }
    }

    /// Registers the callback that drains shards whose id begins with `prefix`.
    pub fn register_drain(
        &self,
        prefix: &'static str,
        drain: impl Fn(ids::ShardId) -> BoxFuture<Drained> + Send + Sync + 'static,
    ) {
        mutex::lock(&self.drains).insert(prefix, sync::Arc::new(drain));
    }

    /// Stops the use of a shard and waits until nothing is in progress on it.
    ///
    /// A shard for which no callback is registered is clean.
    pub async fn drain(&self, shard: ids::ShardId) -> Drained {
        let drain = mutex::lock(&self.drains)
            .iter()
            .find(|(prefix, _)| shard.as_str().starts_with(**prefix))
            .map(|(_, drain)| drain.clone());
        match drain {
            Some(drain) => drain(shard).await,
            None => Drained::Clean,
        }
    }
}
