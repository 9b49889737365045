//! The log is bounded, and logging never blocks.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::io;
use std::sync;
use std::thread;
use std::time;

use figscale::logs;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter as _;

/// An output that blocks while `stalled` is locked.
#[derive(Clone, Default)]
struct Output {
    written: sync::Arc<sync::Mutex<Vec<u8>>>,
    stalled: sync::Arc<sync::Mutex<()>>,
}

impl Output {
    fn lines(&self) -> Vec<serde_json::Value> {
        let written = self.written.lock().unwrap();
        let text = String::from_utf8(written.clone()).unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

impl io::Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _stalled = self.stalled.lock().unwrap();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(writer: &logs::BoundedWriter, lines: usize) {
    for _ in 0..lines {
        let record = log::Record::builder()
            .level(log::Level::Info)
            .target("figscale")
            .args(format_args!("SOMETHING"))
            .build();
        writer.write(&mut DeferredNow::new(), &record).unwrap();
    }
}

/// A reader of the log that stalls must not block the threads that log.
#[test]
fn a_stalled_reader_does_not_block_logging() {
    let output = Output::default();
    let stalled = output.stalled.clone();
    let held = stalled.lock().unwrap();
    let writer = logs::BoundedWriter::new(Box::new(output));
    let begun = time::Instant::now();
    write(&writer, 50_000);
    assert!(
        begun.elapsed() < time::Duration::from_secs(20),
        "{:?}",
        begun.elapsed()
    );
    drop(held);
}

#[test]
fn a_second_has_a_bounded_number_of_lines_and_the_rest_is_counted() {
    let output = Output::default();
    let writer = logs::BoundedWriter::new(Box::new(output.clone()));
    let many = logs::MAX_LINES_PER_S as usize * 5;
    let begun = time::Instant::now();
    write(&writer, many);
    let seconds = begun.elapsed().as_secs() as usize + 1;
    thread::sleep(time::Duration::from_millis(1_100));
    write(&writer, 1);
    writer.flush().unwrap();
    let lines = output.lines();
    let allowed = (seconds + 1) * (logs::MAX_LINES_PER_S as usize + 1);
    assert!(lines.len() <= allowed, "{} lines", lines.len());
    let dropped: usize = lines
        .iter()
        .filter(|line| line["name"] == "LINES_DROPPED")
        .map(|line| line["lines"].as_str().unwrap().parse::<usize>().unwrap())
        .sum();
    let written = lines
        .iter()
        .filter(|line| line["message"] == "SOMETHING")
        .count();
    assert_eq!(
        written + dropped,
        many + 1,
        "lines were lost without being counted"
    );
}
