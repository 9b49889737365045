//! A small deployment: the platform's store and advisory service, runners, and entry
//! instances as processes, with the figures of the site fssc-figscale.

use std::env;
use std::future;
use std::path;
use std::process;
use std::time;

use figscale_platform_standin::advice;
use figscale_platform_standin::store;
use serde_json::json;

use crate::client;
use crate::entry;
use crate::record;
use crate::runner;

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/q/";
const SERVICE: &str = "shoreproc";
const ENTRIES: usize = 6;
const RUNNERS: usize = 48;
const RUNNERS_OF_A_RACK: usize = 6;
/// Time before traffic begins, as in the site.
const LEAD: time::Duration = time::Duration::from_secs(5);
/// A client's time limit.
pub const CLIENT_WAIT: time::Duration = time::Duration::from_secs(3);

pub struct Deployment {
    pub store: store::Handle,
    pub runners: Vec<runner::Runner>,
    pub entries: Vec<entry::Entry>,
    pub events: runner::Events,
    pub record: record::Record,
}

/// Runs a case: `run` returns the breaches of the rule, or why the case couldn't run.
/// Arguments of the program are the record's file and a temporary folder.
pub async fn main<F: future::Future<Output = Result<Vec<String>, String>>>(
    rule: &str,
    run: impl FnOnce(Deployment, bool) -> F,
) -> ! {
    let mut args = env::args().skip(1);
    let record_file = path::PathBuf::from(args.next().expect("record file"));
    let directory = path::PathBuf::from(args.next().expect("temporary folder"));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&record_file).expect("no record");
    let outcome = match Deployment::start(&directory, &record).await {
        Ok(deployment) => run(deployment, trouble).await,
        Err(why) => Err(why),
    };
    let (text, code) = match outcome {
        Ok(broken) if broken.is_empty() => (format!("held: {rule}"), 0),
        Ok(broken) => {
            for text in &broken {
                record.line(format_args!("BROKEN {rule} {text}"));
            }
            (format!("broken {} times: {rule}", broken.len()), 1)
        }
        Err(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    process::exit(code)
}

impl Deployment {
    async fn start(directory: &path::Path, record: &record::Record) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let store = store::start().await.map_err(text)?;
        let advice = advice::start().await.map_err(text)?;
        let config = json!({
            "version": 10,
            "routes": [{
                "name": "r-1", "host": HOST, "prefix": PREFIX, "service": SERVICE,
                "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000,
                "priority": 2, "max_attempts": 4, "stretch": 4.0,
            }],
            "services": [{"name": SERVICE, "admission_check": false}],
            "limits": {},
        });
        store.put("op/config", config.to_string().as_bytes());
        let events = runner::Events::default();
        let mut runners = Vec::new();
        for number in 0..RUNNERS {
            let plan = runner::Plan {
                id: format!("run{number:02}"),
                service: SERVICE.to_owned(),
                zone: format!("hall-{}", number % 4),
                labels: vec!["a".to_owned(), format!("r1-{}", number / RUNNERS_OF_A_RACK)],
                cpu: 64_000,
                mem_mb: 262_144,
                hold_max_ms: 10_000,
            };
            let started = runner::start(plan, &store, events.clone(), record.clone()).await;
            runners.push(started.map_err(text)?);
        }
        let bounds = entry::Bounds {
            hold_max_ms: 10_000,
            stop_timeout_ms: 400,
            contact_ms: 3_000,
            checkpoint_s: 2,
            restore_ms: 100,
        };
        let new =
            |number| entry::Entry::new(number, store.address, advice.address, &bounds, directory);
        let mut entries: Vec<entry::Entry> = (0..ENTRIES).map(new).collect();
        entries.iter_mut().for_each(entry::Entry::launch);
        let deployment = Self {
            store,
            runners,
            entries,
            events,
            record: record.clone(),
        };
        deployment.wait_until_ready().await?;
        tokio::time::sleep(LEAD).await;
        Ok(deployment)
    }

    async fn wait_until_ready(&self) -> Result<(), String> {
        let begun = time::Instant::now();
        while begun.elapsed() < time::Duration::from_secs(20) {
            tokio::time::sleep(time::Duration::from_millis(200)).await;
            let (mut ready, mut leads) = (true, false);
            for entry in &self.entries {
                ready &= entry.is_ready().await;
                leads |= entry.leads().await;
            }
            if ready && leads {
                return Ok(());
            }
        }
        Err("the instances did not get ready".to_owned())
    }

    /// Path of a job.
    pub fn path(job: u64) -> String {
        format!("{PREFIX}{job:016x}")
    }

    /// A call of a client through an entry instance.
    pub async fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> client::Answer {
        self.record.line(format_args!(
            "client   {method} {path} {body} to front-{entry}"
        ));
        let caller = self.entries[entry].caller;
        let answer = client::call(caller, method, HOST, path, body, CLIENT_WAIT).await;
        self.record.line(format_args!(
            "client   {method} {path} answered {} {}",
            answer.status, answer.body
        ));
        answer
    }

    /// Submits a job, again after each answer that tells to; an error if it is not accepted.
    pub async fn submit(&self, entry: usize, path: &str, body: &str) -> Result<(), String> {
        for _ in 0..5 {
            let answer = self.call(entry, "POST", path, body).await;
            if (200..300).contains(&answer.status) {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_secs(1)).await;
        }
        Err(format!("{path} was not accepted"))
    }

    /// The state of a job; empty if there is no answer.
    pub async fn state(&self, entry: usize, path: &str) -> String {
        let answer = self.call(entry, "GET", path, "").await;
        let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
        body["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Number of starts so far.
    pub fn starts(&self) -> u64 {
        let events = self.events.lock().unwrap();
        let starts = events
            .iter()
            .filter(|event| matches!(event, runner::Event::Start { .. }));
        starts.count() as u64
    }
}
