//! The log: one JSON object per line, written through `flexi_logger`.
//!
//! Every line has `time` (UTC), `level` and `target`. A numbered event adds
//! `event`, `name` and its fields, as docs/EVENTS.md lists them. A record of
//! a library has `message` instead; only its warnings and errors are written.
//!
//! Logging never blocks the caller. Lines pass through a bounded queue to a
//! writer thread; if the reader of the output stalls, lines are dropped. The
//! rate of lines is limited as well, since under overload every request logs a
//! line. Dropped lines are counted, and the count is logged as an event.

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
/// Maximum number of lines per second. In the busiest second of a day with a
/// burst of load and a slow store, a leader wrote 597 lines, 118 KB in total.
pub const MAX_LINES_PER_S: u32 = 1_000;
/// Maximum number of lines queued for the writer thread, about two seconds of
/// output.
const MAX_QUEUED_LINES: usize = 2_000;
/// Maximum time to wait for queued lines to be written, also at process exit.
const FLUSH_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Starts logging, which ends when the handle is dropped.
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
    /// Signalled once all lines queued before it have been written.
    Flush(mpsc::SyncSender<()>),
}

/// Count of the lines in the current second.
struct Second {
    begun: time::Instant,
    lines: u32,
}

/// A log writer that drops lines rather than block.
pub struct BoundedWriter {
    queue: mpsc::SyncSender<Line>,
    second: sync::Mutex<Second>,
    dropped: atomic::AtomicU64,
}

impl BoundedWriter {
    /// Starts a thread that writes to `out`.
    pub fn new(out: Box<dyn io::Write + Send>) -> Self {
        let (queue, lines) = mpsc::sync_channel(MAX_QUEUED_LINES);
        // If the thread cannot be started, the queue is closed and every line is dropped.
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

    /// Whether another line is allowed in this second. Logs the number of dropped
    /// lines when a new second begins.
    fn admit(&self, now: &mut DeferredNow) -> bool {
        let mut second = mutex::lock(&self.second);
        if second.begun.elapsed() >= time::Duration::from_secs(1) {
            *second = Second {
                begun: time::Instant::now(),
                lines: 0,
            };
            self.log_dropped(now);
        }
        second.lines += 1;
        second.lines <= MAX_LINES_PER_S
    }

    fn log_dropped(&self, now: &mut DeferredNow) {
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
            // Write errors are ignored: the process continues without its log.
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

/// Writes one record as a JSON object, without a line terminator.
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
        // A field of the record never replaces a field of the line.
        self.0.entry(key.as_str()).or_insert(value);
        Ok(())
    }
}
