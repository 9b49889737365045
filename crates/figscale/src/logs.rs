//! The log: one JSON object a line, by `flexi_logger`.
//!
//! Every line has `time` (UTC), `level` and `target`. A numbered event adds
//! `event`, `name` and its fields, as docs/EVENTS.md lists them; a line of a
//! library, of which only warnings and errors are written, adds `message`.

use std::io;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::kv;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::Value;

use crate::settings;

/// Target of every numbered event.
const EVENT_TARGET: &str = "figscale";

/// Starts the log; it ends when the handle is dropped.
pub fn start(settings: &settings::LogSettings) -> Result<LoggerHandle, FlexiLoggerError> {
    let level = settings.level.filter();
    let specification = LogSpecification::builder()
        .default(level.min(log::LevelFilter::Warn))
        .module(EVENT_TARGET, level)
        .build();
    let logger = Logger::with(specification).use_utc().format(write_line);
    let logger = match settings.target {
        settings::LogTarget::Stderr => logger.log_to_stderr(),
        settings::LogTarget::Stdout => logger.log_to_stdout(),
    };
    logger.start()
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
