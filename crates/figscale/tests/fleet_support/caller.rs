//! A caller of a fleet that keeps its connections open and goes on while instances
//! come and go.

use std::net;
use std::sync;
use std::time;

use figscale_platform_standin::ledger;
use figscale_standin::client;
use tokio::io::AsyncWriteExt as _;

/// Time limit of a call.
const TIME_LIMIT: time::Duration = time::Duration::from_secs(3);

/// A caller; clones share the connections.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(super) instances: Vec<net::SocketAddr>,
    pub(super) client: client::Client,
    pub(super) ledger: sync::Arc<ledger::Ledger>,
}

impl Caller {
    /// The same caller with connections of its own.
    pub(crate) fn with_new_connections(&self) -> Self {
        Self {
            client: client::Client::default(),
            ..self.clone()
        }
    }

    /// Makes a call; `None` if there is no answer within the time limit.
    async fn send(&self, call: client::Call) -> Option<client::Answer> {
        let call = super::with_host_and_limit(call, TIME_LIMIT);
        let answer = tokio::time::timeout(TIME_LIMIT, self.client.send(call)).await;
        answer.ok()?.ok()
    }

    /// Submits a job; returns the status of the answer, if there is one.
    pub(crate) async fn submit(
        &self,
        instance: usize,
        job: u64,
        tasks: u32,
        spec: &str,
    ) -> Option<u16> {
        let (path, body) = super::job_call(job, tasks, spec);
        let call = client::Call::post(self.instances[instance], &path).body(body);
        Some(self.send(call).await?.status.as_u16())
    }

    /// Sends a submission on a connection of its own and closes that after a while,
    /// without reading an answer.
    pub(crate) async fn submit_and_leave(&self, instance: usize, job: u64, wait: time::Duration) {
        let (path, body) = super::job_call(job, 1, "50");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\n{}: 3000\r\ncontent-length: {}\r\n\r\n",
            super::HOST,
            super::ingress::DEADLINE_HEADER,
            body.len()
        );
        let socket = tokio::net::TcpStream::connect(self.instances[instance]).await;
        let mut socket = socket.unwrap();
        socket.write_all((head + &body).as_bytes()).await.unwrap();
        tokio::time::sleep(wait).await;
    }

    /// Cancels a job, and records an acknowledgement; returns the status of the answer,
    /// if there is one.
    pub(crate) async fn cancel(&self, instance: usize, job: u64) -> Option<u16> {
        let call = client::Call::delete(self.instances[instance], super::path_of(job));
        let status = self.send(call).await?.status.as_u16();
        if matches!(status, 200 | 410) {
            self.ledger.record_cancel(&format!("{job:016x}"));
        }
        Some(status)
    }

    /// Asks for the state of a job, and records the answer; `None` if there is no
    /// state in it.
    pub(crate) async fn state(&self, instance: usize, job: u64) -> Option<String> {
        let asked_at = time::Instant::now();
        let call = client::Call::get(self.instances[instance], super::path_of(job));
        let answer = self.send(call).await?;
        super::record_state(&self.ledger, &format!("{job:016x}"), &answer, asked_at);
        let body: serde_json::Value = answer.json().ok()?;
        body["state"].as_str().map(str::to_owned)
    }
}
