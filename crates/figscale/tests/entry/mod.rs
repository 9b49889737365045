//! The operators' HTTP API of an instance without the real services behind it.

use std::future;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use figscale::metrics;
use figscale::operator;
use figscale::serve;
use figscale::settings;
use figscale::settings::document;
use figscale::state;
use figscale_types::catalogue;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::verdict;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio::task;

/// Timeout of any operation.
const OPERATION_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The operators' HTTP API of a process in which no service was started.
pub(crate) struct Entry {
    pub(crate) context: state::Context,
    address: net::SocketAddr,
    server: Option<operator::Server>,
    runtime: tokio::runtime::Runtime,
}

/// An HTTP answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    headers: http::HeaderMap,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|value| value.to_str().unwrap())
    }
}

impl Entry {
    pub(crate) fn start() -> Self {
        Self::start_with(|_| ())
    }

    pub(crate) fn start_with(change: impl FnOnce(&mut settings::Settings)) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let text = include_str!("../data/settings/good-smallest.json");
        let document = document::Document::from_text("good", text).unwrap();
        let mut settings = settings::Settings::from_document(&document).unwrap();
        change(&mut settings);
        let clock = sync::Arc::new(clock::SystemClock);
        let context = serve::context(settings, clock, runtime.handle().clone());
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let server = Some(operator::start(&context, listener));
        Self {
            context,
            address,
            server,
            runtime,
        }
    }

    pub(crate) fn block_on<F: future::Future>(&self, work: F) -> F::Output {
        let limited = async { tokio::time::timeout(OPERATION_TIMEOUT, work).await };
        self.runtime.block_on(limited).expect("done in time")
    }

    pub(crate) fn get(&self, path: &str) -> Answer {
        self.send_request("GET", path, Bytes::new())
    }

    pub(crate) fn post(&self, path: &str, body: String) -> Answer {
        self.send_request("POST", path, body)
    }

    pub(crate) fn send_request(&self, method: &str, path: &str, body: impl Into<Bytes>) -> Answer {
        self.block_on(send_request(self.address, method, path, body.into()))
    }

    pub(crate) fn spawn_post(&self, path: &str, body: String) -> task::JoinHandle<Answer> {
        let address = self.address;
        let path = path.to_owned();
        self.runtime
            .spawn(async move { send_request(address, "POST", &path, body.into()).await })
    }

    /// Starts to shut down the server.
    pub(crate) fn spawn_shutdown(&mut self) -> task::JoinHandle<()> {
        let server = self.server.take().unwrap();
        self.runtime.spawn(server.end())
    }

    /// Waits until no more connections are accepted.
    pub(crate) fn wait_until_refused(&self) {
        self.block_on(async {
            while tokio::net::TcpStream::connect(self.address).await.is_ok() {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
        });
    }
}

async fn send_request(address: net::SocketAddr, method: &str, path: &str, body: Bytes) -> Answer {
    let client = legacy::Client::builder(TokioExecutor::new()).build_http();
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(body))
        .unwrap();
    let answer = client.request(request).await.unwrap();
    let (head, body) = answer.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8(body.to_vec()).unwrap(),
    }
}

/// Reports one sample of each metric.
pub(crate) fn report_everything(metrics: &metrics::Metrics) {
    let entry: ids::EntryName = "hullrate/quote".parse().unwrap();
    let urgency = catalogue::Urgency::Interactive;
    let latency = time::Duration::from_millis(3);
    metrics.request_answered(&entry, urgency, verdict::Verdict::Ran);
    metrics.request_dispatched(&entry, urgency, latency);
    metrics.queue_changed(7);
    let slots = metrics::Slots { free: 5, taken: 3 };
    metrics.slots_changed(&"hullrate".parse().unwrap(), slots);
    metrics.tasks_changed(4, 9);
    metrics.task_start_sent();
}
