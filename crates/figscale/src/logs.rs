//! The log: one JSON object a line, by `flexi_logger`.
//!
//! Every line has `time` (UTC), `level` and `target`. A numbered event adds
//! `event`, `name` and its fields, as docs/EVENTS.md lists them; a line of a
//! library, of which only warnings and errors are written, adds `message`.
//!
//! The log never holds up the work. Lines go through a bounded queue to a
//! thread that writes them; a reader that stalls costs lines and no time. Their
//! number is bounded as well, since in an overload every request has a line.
//! What was left out is counted, and the count is a line of its own.

use std::io;
use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use figscale_types::mutex;
use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers;
use log::kv;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::Value;

use crate::events;
use crate::settings;

/// Target of every numbered event.
const EVENT_TARGET: &str = "figscale";
/// Lines written in any one second at most. A leader wrote 597 lines of 118 KB
/// together in the busiest second of a day with a burst and a slow store.
pub const MAX_LINES_PER_S: u32 = 1_000;
/// Lines that wait for the writing thread at most, about two seconds of them.
const MAX_WAITING_LINES: usize = 2_000;
/// Longest wait for the last lines when the process ends.
const FLUSH_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Starts the log; it ends when the handle is dropped.
pub fn start(settings: &settings::LogSettings) -> Result<LoggerHandle, FlexiLoggerError> {
    let level = settings.level.filter();
    let specification = LogSpecification::builder()
        .default(level.min(log::LevelFilter::Warn))
        .module(EVENT_TARGET, level)
        .build();
    let out: Box<dyn io::Write + Send> = match settings.target {
        settings::LogTarget::Stderr => Box::new(io::stderr()),
        settings::LogTarget::Stdout => Box::new(io::stdout()),
    };
    Logger::with(specification)
        .use_utc()
        .log_to_writer(Box::new(BoundedWriter::new(out)))
        .start()
}

enum Line {
    Text(Vec<u8>),
    /// Everything before it is written once this is answered.
    Flush(mpsc::SyncSender<()>),
}

/// Lines of the current second.
struct Second {
    begun: time::Instant,
    lines: u32,
}

/// A writer that drops lines rather than wait.
pub struct BoundedWriter {
    queue: mpsc::SyncSender<Line>,
    second: sync::Mutex<Second>,
    dropped: atomic::AtomicU64,
}

impl BoundedWriter {
    /// Writes to `out` on a thread of its own.
    pub fn new(out: Box<dyn io::Write + Send>) -> Self {
        let (queue, lines) = mpsc::sync_channel(MAX_WAITING_LINES);
        // Without the thread the queue is closed, and every line is dropped.
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &lines));
        let second = Second {
            begun: time::Instant::now(),
            lines: 0,
        };
        Self {
            queue,
            second: sync::Mutex::new(second),
            dropped: atomic::AtomicU64::new(0),
        }
    }

    /// Whether another line fits into this second; tells what was left out
    /// when a new one begins.
    fn admit(&self, now: &mut DeferredNow) -> bool {
        let mut second = mutex::lock(&self.second);
        if second.begun.elapsed() >= time::Duration::from_secs(1) {
            *second = Second {
                begun: time::Instant::now(),
                lines: 0,
            };
            self.tell_dropped(now);
        }
        second.lines += 1;
        second.lines <= MAX_LINES_PER_S
    }

    fn tell_dropped(&self, now: &mut DeferredNow) {
        let dropped = self.dropped.swap(0, atomic::Ordering::Relaxed);
        if dropped == 0 {
            return;
        }
        let event = events::fleet::LINES_DROPPED;
        let line = serde_json::json!({
            "time": now.format_rfc3339(), "level": event.level.as_str(), "target": EVENT_TARGET,
            "event": event.code, "name": event.name, "lines": dropped.to_string(),
        });
        self.send(format!("{line}\n").into_bytes());
    }

    fn send(&self, line: Vec<u8>) {
        if self.queue.try_send(Line::Text(line)).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

fn write_lines(mut out: Box<dyn io::Write + Send>, lines: &mpsc::Receiver<Line>) {
    while let Ok(line) = lines.recv() {
        match line {
            // A reader that has gone away is no reason to stop working.
            Line::Text(text) => {
                let _ = out.write_all(&text);
            }
            Line::Flush(done) => {
                let _ = out.flush();
                let _ = done.try_send(());
            }
        }
    }
}

impl writers::LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        if !self.admit(now) {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record)?;
        line.write_all(b"\n")?;
        self.send(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, wait) = mpsc::sync_channel(1);
        if self.queue.try_send(Line::Flush(done)).is_ok() {
            let _ = wait.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }

    fn shutdown(&self) {
        let _ = writers::LogWriter::flush(self);
    }
}

/// Writes one record as one JSON object, without the line end.
pub fn write_line(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let mut line = Map::new();
    line.insert("time".to_owned(), now.format_rfc3339().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("target".to_owned(), record.target().into());
    let is_event = record.key_values().get(kv::Key::from("event")).is_some();
    let text_field = if is_event { "name" } else { "message" };
    line.insert(text_field.to_owned(), record.args().to_string().into());
    let _ = record.key_values().visit(&mut Fields(&mut line));
    serde_json::to_writer(out, &line).map_err(io::Error::from)
}

struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or(Value::Null);
        // A field never hides the line's own.
        self.0.entry(key.as_str()).or_insert(value);
        Ok(())
    }
}
