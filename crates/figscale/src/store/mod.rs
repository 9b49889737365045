//! Client of the platform's key-value service and instance list.
//!
//! The protocol is in `figscale_types::platform`. Every call is counted by
//! kind, rate-limited by a budget that all entry instances share, and bounded in
//! time. The client never retries a call: the verdict of an error tells whether
//! a write may have taken effect, and only the caller knows how to find out.
//! Callers space their retries with [`Backoff`].
//!
//! Calls that grant, renew or revoke a lease do not wait for the budget, since a
//! lease that expires costs more calls than the wait saves; they are charged
//! to it nevertheless.

mod budget;
mod count;
mod error;
mod http;

use std::net;
use std::sync;
use std::time;

use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::mutex;
use figscale_types::platform;

pub use budget::Budget;
pub use count::Counts;
pub use count::Usage;
pub use error::StoreError;
pub use error::StoreErrorKind;
pub use figscale_core::backoff::Backoff;

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of the key.
    pub revision: ids::Revision,
    /// Its value.
    pub value: Vec<u8>,
}

/// The store client.
pub struct Store {
    http: http::HttpClient,
    name: String,
    clock: clock::SharedClock,
    timeout: time::Duration,
    budget: sync::Mutex<Budget>,
    counts: sync::Mutex<Counts>,
    listed: sync::Mutex<Option<CachedInstances>>,
}

/// The instance list as last received, with its entity tag.
#[derive(Clone, Debug)]
struct CachedInstances {
    entity_tag: String,
    list: sync::Arc<instances::InstanceList>,
}

impl Store {
    /// Creates a client of the platform at `address`.
    pub fn new(
        address: net::SocketAddr,
        settings: &crate::settings::StoreSettings,
        clock: clock::SharedClock,
    ) -> Self {
        let budget = Budget::new(settings.budget_calls_per_s, clock.now());
        Self {
            http: http::HttpClient::new(address),
            name: "-".to_owned(),
            clock,
            timeout: time::Duration::from_millis(settings.timeout_ms),
            budget: sync::Mutex::new(budget),
            counts: sync::Mutex::default(),
            listed: sync::Mutex::default(),
        }
    }

    /// Sends the client's name with every call, for the platform's accounting.
    pub fn with_client_name(mut self, member: &ids::MemberId) -> Self {
        self.name = member.to_string();
        self
    }

    /// Sets the number of entry instances that share the budget.
    pub fn share_among(&self, members: usize) {
        mutex::lock(&self.budget).share_among(members, self.clock.now());
    }

    /// The calls and bytes so far, by kind of call.
    pub fn counts(&self) -> Counts {
        mutex::lock(&self.counts).clone()
    }

    /// Reads a key; `None` if it is absent.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let request = http::Request::read(format!("/v1/kv/{key}"));
        let answer = self
            .call(platform::CallKind::Get, request, self.timeout)
            .await?;
        answer.versioned()
    }

    /// Writes a key if its revision is `expected`; 0 means that it is absent.
    pub async fn put(
        &self,
        key: &str,
        expected: ids::Revision,
        value: Vec<u8>,
        lease: Option<ids::LeaseId>,
    ) -> Result<ids::Revision, StoreError> {
        if value.len() > platform::MAX_VALUE_BYTES {
            return Err(StoreError::not_run(StoreErrorKind::TooLarge));
        }
        let mut request = http::Request::write(hyper::Method::PUT, format!("/v1/kv/{key}"))
            .header(platform::IF_REVISION, expected.0)
            .body(value);
        if let Some(lease) = lease {
            request = request.header(platform::LEASE, lease.0);
        }
        let answer = self
            .call(platform::CallKind::Put, request, self.timeout)
            .await?;
        answer.written()
    }

    /// Deletes a key if its revision is `expected`.
    pub async fn delete(&self, key: &str, expected: ids::Revision) -> Result<(), StoreError> {
        let request = http::Request::write(hyper::Method::DELETE, format!("/v1/kv/{key}"))
            .header(platform::IF_REVISION, expected.0);
        let answer = self
            .call(platform::CallKind::Delete, request, self.timeout)
            .await?;
        answer.done()
    }

    /// Waits at most `wait` until the revision of a key is above `after`.
    ///
    /// Returns `None` if that did not happen in time, or early if the key is
    /// absent.
    pub async fn watch(
        &self,
        key: &str,
        after: ids::Revision,
        wait: time::Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={wait_ms}");
        let timeout = wait + self.timeout;
        let request = http::Request::read(path);
        let answer = self
            .call(platform::CallKind::Watch, request, timeout)
            .await?;
        answer.versioned()
    }

    /// Lists the keys under a prefix.
    pub async fn keys(&self, prefix: &str) -> Result<platform::KeyList, StoreError> {
        let request = http::Request::read(format!("/v1/keys?prefix={prefix}"));
        let answer = self
            .call(platform::CallKind::Keys, request, self.timeout)
            .await?;
        answer.json()
    }

    /// Grants a new lease.
    pub async fn grant(&self, ttl: time::Duration) -> Result<ids::LeaseId, StoreError> {
        let ttl_ms = clock::millis(ttl);
        let body = serde_json::to_vec(&platform::LeaseRequest { ttl_ms })
            .map_err(|e| StoreError::unavailable(e.to_string()))?;
        let request = http::Request::write(hyper::Method::POST, "/v1/leases".to_owned())
            .header("content-type", "application/json")
            .body(body);
        let answer = self
            .call(platform::CallKind::Grant, request, self.timeout)
            .await?;
        let granted: platform::LeaseAnswer = answer.json()?;
        Ok(granted.lease)
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: ids::LeaseId) -> Result<(), StoreError> {
        let request = http::Request::write(hyper::Method::PUT, format!("/v1/leases/{lease}"));
        let answer = self
            .call(platform::CallKind::Renew, request, self.timeout)
            .await?;
        answer.done()
    }

    /// Ends a lease and deletes its keys.
    pub async fn revoke(&self, lease: ids::LeaseId) -> Result<(), StoreError> {
        let request = http::Request::write(hyper::Method::DELETE, format!("/v1/leases/{lease}"));
        let answer = self
            .call(platform::CallKind::Revoke, request, self.timeout)
            .await?;
        answer.done()
    }

    /// Reads the instance list. It is transferred only if it has changed since the
    /// last read.
    ///
    /// For an unchanged list, the same `Arc` is returned.
    pub async fn instances(&self) -> Result<sync::Arc<instances::InstanceList>, StoreError> {
        let known = mutex::lock(&self.listed).clone();
        let mut request = http::Request::read("/v1/instances".to_owned());
        if let Some(known) = &known {
            request = request.header("if-none-match", &known.entity_tag);
        }
        let answer = self
            .call(platform::CallKind::Instances, request, self.timeout)
            .await?;
        match known {
            Some(known) if answer.is_unchanged() => Ok(known.list),
            _ => self.listed(answer),
        }
    }

    fn listed(
        &self,
        answer: http::Answer,
    ) -> Result<sync::Arc<instances::InstanceList>, StoreError> {
        let entity_tag = answer.entity_tag();
        let list: sync::Arc<instances::InstanceList> = sync::Arc::new(answer.json()?);
        let tagged = entity_tag.map(|entity_tag| CachedInstances {
            entity_tag,
            list: list.clone(),
        });
        *mutex::lock(&self.listed) = tagged;
        Ok(list)
    }

    async fn call(
        &self,
        kind: platform::CallKind,
        request: http::Request,
        timeout: time::Duration,
    ) -> Result<http::Answer, StoreError> {
        self.wait_for_budget(kind).await?;
        let request = request.header(platform::CLIENT, &self.name);
        let sent_bytes = request.len();
        let result = self.http.send(request, timeout).await;
        let received_bytes = result.as_ref().map_or(0, http::Answer::len);
        let failed = result.is_err();
        mutex::lock(&self.counts).add(kind, sent_bytes, received_bytes, failed);
        result
    }

    async fn wait_for_budget(&self, kind: platform::CallKind) -> Result<(), StoreError> {
        let now = self.clock.now();
        let wait = match kind {
            platform::CallKind::Grant | platform::CallKind::Renew | platform::CallKind::Revoke => {
                mutex::lock(&self.budget).charge(now);
                return Ok(());
            }
            _ => mutex::lock(&self.budget).reserve(now, self.timeout),
        };
        match wait {
            Some(wait) if wait.is_zero() => Ok(()),
            Some(wait) => {
                tokio::time::sleep(wait).await;
                Ok(())
            }
            None => Err(StoreError::not_run(StoreErrorKind::Busy)),
        }
    }
}
