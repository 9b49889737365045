//! A cell in which every part is a separate process, and a transcript of what its
//! users see. Everything that differs between runs is replaced by placeholders.

mod stand_in;

use std::fmt::Write as _;
use std::fs;
use std::net;
use std::process;

use figscale_standin::client;
use figscale_standin::ports;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::instances;
use nix::sys::signal;

use crate::harness;
use stand_in::Role;
use stand_in::StandIn;

/// Number of runners, and of workers.
const UPSTREAMS: usize = 2;

/// A running cell and the transcript so far.
pub(crate) struct Session {
    pub(crate) runners: Vec<StandIn>,
    pub(crate) entries: Vec<harness::process::Entry>,
    pub(crate) client: client::Client,
    pub(crate) platform_address: net::SocketAddr,
    _others: Vec<StandIn>,
    folder: tempfile::TempDir,
    text: String,
    /// Texts that differ between runs, with their placeholders.
    redactions: Vec<(String, String)>,
}

impl Session {
    /// Starts the stand-ins and two entry instances.
    pub(crate) fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut list = Vec::new();
        let mut runners = Vec::new();
        let mut others = Vec::new();
        for index in 0..UPSTREAMS {
            let id: ids::InstanceId = format!("runner-{index}").parse().unwrap();
            let runner = StandIn::start(&Role::Runner { id: id.clone() });
            list.push(runner_line(id, runner.address));
            runners.push(runner);
            let id: ids::InstanceId = format!("worker-{index}").parse().unwrap();
            let worker = StandIn::start(&Role::Worker { id: id.clone() });
            list.push(worker_line(id, worker.address, index));
            others.push(worker);
        }
        let platform_address = ports::free_address().unwrap();
        let entries: Vec<_> = (0..2)
            .map(|index| harness::process::Entry::new(index, platform_address, folder.path()))
            .collect();
        for (index, entry) in entries.iter().enumerate() {
            let id = entry.name.parse().unwrap();
            list.push(harness::instance(id, entry.peer_address, index));
        }
        let file = folder.path().join("instances.json");
        fs::write(&file, serde_json::to_string(&list).unwrap()).unwrap();
        others.push(StandIn::start(&Role::Platform {
            listen: platform_address,
            instances: file,
        }));
        let mut session = Self {
            runners,
            entries,
            client: client::Client::default(),
            platform_address,
            _others: others,
            folder,
            text: String::new(),
            redactions: Vec::new(),
        };
        session.redact_addresses();
        session.launch();
        session
    }

    fn redact_addresses(&mut self) {
        let folder = self.folder.path().to_str().unwrap().to_owned();
        self.redact(folder, "FOLDER");
        for entry in &self.entries {
            let redactions = [
                (entry.caller_address, "CALLERS"),
                (entry.peer_address, "PEERS"),
                (entry.operator_address, "OPERATORS"),
            ];
            for (address, name) in redactions {
                let name = format!("{name}-OF-{}", entry.name.to_uppercase());
                self.redactions.push((address.to_string(), name));
            }
        }
    }

    fn launch(&mut self) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let domain = harness::DOMAINS[index % harness::DOMAINS.len()];
            let settings = entry.settings(domain).to_string();
            fs::write(&entry.settings_file, settings).unwrap();
            entry.launch();
        }
    }

    /// Replaces `text` by `shown` in the transcript.
    pub(crate) fn redact(&mut self, text: impl Into<String>, shown: &str) {
        self.redactions.push((text.into(), shown.to_owned()));
    }

    /// Writes a file into the folder of the session and returns its path.
    pub(crate) fn file(&self, name: &str, content: &str) -> String {
        let file = self.folder.path().join(name);
        fs::write(&file, content).unwrap();
        file.to_str().unwrap().to_owned()
    }

    /// The settings file of an entry instance.
    pub(crate) fn settings_file(&self, index: usize) -> String {
        self.entries[index]
            .settings_file
            .to_str()
            .unwrap()
            .to_owned()
    }

    /// A client of the operator address of an entry instance.
    pub(crate) fn operator(&self, index: usize) -> harness::operator::Operator {
        harness::operator::Operator::new(self.client.clone(), self.entries[index].operator_address)
    }

    /// The length of the transcript so far.
    pub(crate) fn mark(&self) -> usize {
        self.text.len()
    }

    /// Removes what was written after a mark.
    pub(crate) fn truncate(&mut self, mark: usize) {
        self.text.truncate(mark);
    }

    /// Starts a section.
    pub(crate) fn heading(&mut self, words: &str) {
        let _ = writeln!(self.text, "\n# {words}");
    }

    /// Writes a line with a result of the test itself.
    pub(crate) fn note(&mut self, line: &str) {
        let _ = writeln!(self.text, "{line}");
    }

    /// Runs `figscale` against an entry instance and records its output.
    pub(crate) fn figscale(&mut self, index: usize, words: &[&str]) {
        let entry = self.entries[index].operator_address.to_string();
        let _ = writeln!(self.text, "\n$ figscale {}", words.join(" "));
        let output = process::Command::new(env!("CARGO_BIN_EXE_figscale"))
            .args(["--entry", &entry])
            .args(words)
            .output()
            .unwrap();
        for stream in [&output.stdout, &output.stderr] {
            let said = String::from_utf8_lossy(stream);
            self.text.push_str(&said);
            if !said.is_empty() && !said.ends_with('\n') {
                self.text.push('\n');
            }
        }
        let _ = writeln!(self.text, "(exit code {})", output.status.code().unwrap());
    }

    /// Sends a caller's request and records the request and the response.
    pub(crate) async fn request(
        &mut self,
        index: usize,
        path: &str,
        fields: &[(&'static str, &str)],
        body: &str,
    ) -> client::Answer {
        let entry = &self.entries[index];
        let mut call = client::Call::post(entry.caller_address, path).body(body.to_owned());
        let _ = writeln!(self.text, "\n> POST {path} at {}", entry.name);
        let given: Vec<&str> = fields.iter().map(|(_, value)| *value).collect();
        for (name, value) in fields {
            call = call.header(name, value);
            let _ = writeln!(self.text, "> {name}: {value}");
        }
        let _ = writeln!(self.text, "> ({} bytes)", body.len());
        let answer = self
            .client
            .send_within(harness::CONDITION_TIMEOUT, call)
            .await
            .unwrap();
        let id = answer.header(headers::REQUEST_ID).to_owned();
        if !id.is_empty() && !given.contains(&id.as_str()) {
            self.redact(id, "MADE-BY-THE-ENTRY-INSTANCE");
        }
        self.write_answer(&answer);
        answer
    }

    fn write_answer(&mut self, answer: &client::Answer) {
        let _ = writeln!(self.text, "< {}", answer.status);
        for name in [
            headers::VERDICT,
            headers::REQUEST_ID,
            headers::SERVED_BY,
            headers::RUNNER,
            "retry-after",
        ] {
            if !answer.header(name).is_empty() {
                let _ = writeln!(self.text, "< {name}: {}", answer.header(name));
            }
        }
        if !answer.status.is_success() {
            let _ = writeln!(self.text, "{}", answer.text());
        }
    }

    /// Requests a planned stop of all entry instances and records their exit codes.
    pub(crate) async fn stop(&mut self) {
        for entry in &mut self.entries {
            entry.signal(signal::Signal::SIGTERM);
            let began = std::time::Instant::now();
            let status = loop {
                if let Some(status) = entry.try_wait() {
                    break status;
                }
                assert!(
                    began.elapsed() < harness::CONDITION_TIMEOUT,
                    "the entry instance did not end"
                );
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            };
            let _ = writeln!(
                self.text,
                "{} ended after SIGTERM (exit code {})",
                entry.name,
                status.code().unwrap()
            );
        }
    }

    /// The transcript with placeholders, the same in every run.
    pub(crate) fn transcript(&self) -> String {
        let redact = |text: String, (from, to): &(String, String)| text.replace(from, to);
        self.redactions.iter().fold(self.text.clone(), redact)
    }
}

/// Both runners are in the same rack and thus in one shard, so that one entry
/// instance holds both.
fn runner_line(id: ids::InstanceId, address: net::SocketAddr) -> instances::Instance {
    instances::Instance {
        role: instances::Role::Runner,
        service: Some(harness::SERVICE.parse().unwrap()),
        slots: 8,
        connections: 60,
        ..harness::instance(id, address, 1)
    }
}

fn worker_line(id: ids::InstanceId, address: net::SocketAddr, index: usize) -> instances::Instance {
    instances::Instance {
        role: instances::Role::Worker,
        capacity: figscale_standin::worker::Config::default().capacity,
        ..harness::instance(id, address, index)
    }
}
