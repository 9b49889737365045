//! Compares docs/EVENTS.md with the events in the code; checks the form of log lines.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;
use std::fs;
use std::path;

use figscale::events;
use figscale::logs;
use flexi_logger::DeferredNow;

fn row(event: &events::Event) -> String {
    format!(
        "| {} | {} | {} | {} |",
        event.code,
        event.name,
        event.level.as_str().to_lowercase(),
        event.help
    )
}

fn page_rows() -> BTreeSet<String> {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    fs::read_to_string(file)
        .unwrap()
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(str::to_owned)
        .collect()
}

fn code_rows() -> BTreeSet<String> {
    events::all().iter().map(row).collect()
}

#[test]
fn every_event_is_on_the_page() {
    let missing: Vec<_> = code_rows().difference(&page_rows()).cloned().collect();
    assert!(
        missing.is_empty(),
        "add to docs/EVENTS.md:\n{}",
        missing.join("\n")
    );
}

#[test]
fn every_row_of_the_page_is_an_event() {
    let extra: Vec<_> = page_rows().difference(&code_rows()).cloned().collect();
    assert!(
        extra.is_empty(),
        "remove from docs/EVENTS.md:\n{}",
        extra.join("\n")
    );
}

/// Event numbers and names are unique, numbers are in the range of their area, and
/// every event has a help text.
#[test]
fn numbers_are_unique_and_in_their_area() {
    let areas = [
        (1_000, events::process::ALL),
        (2_000, events::claims::ALL),
        (3_000, events::catalogue::ALL),
        (4_000, events::requests::ALL),
        (5_000, events::jobs::ALL),
        (6_000, events::fleet::ALL),
    ];
    let mut codes = BTreeSet::new();
    let mut names = BTreeSet::new();
    for (first, area) in areas {
        for event in area {
            assert!((first..first + 1_000).contains(&event.code), "{event:?}");
            assert!(codes.insert(event.code), "{event:?}");
            assert!(names.insert(event.name), "{event:?}");
            assert!(event.help.ends_with('.'), "{event:?}");
        }
    }
    assert_eq!(codes.len(), events::all().len());
}

fn written(record: &log::Record<'_>) -> serde_json::Value {
    let mut line = Vec::new();
    logs::write_line(&mut line, &mut DeferredNow::new(), record).unwrap();
    assert!(!line.contains(&b'\n'));
    serde_json::from_slice(&line).unwrap()
}

#[test]
fn event_line_has_number_and_fields() {
    let fields = [
        ("event", log::kv::Value::from(1_102_u16)),
        ("peer", log::kv::Value::from("entry-b#7")),
        (
            "level",
            log::kv::Value::from("a field named as the line's own"),
        ),
    ];
    let line = written(
        &log::Record::builder()
            .level(log::Level::Warn)
            .target("figscale")
            .args(format_args!("PEER_LINK_BROKEN"))
            .key_values(&fields)
            .build(),
    );
    assert_eq!(line["event"], 1_102);
    assert_eq!(line["name"], "PEER_LINK_BROKEN");
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["peer"], "entry-b#7");
    assert!(line["time"].as_str().unwrap().ends_with("+00:00"));
}

/// The message of a library stays on one line even if it contains line breaks.
#[test]
fn library_line_is_a_message() {
    let line = written(
        &log::Record::builder()
            .level(log::Level::Error)
            .target("hyper")
            .args(format_args!("two\nlines \"quoted\""))
            .build(),
    );
    assert_eq!(line["message"], "two\nlines \"quoted\"");
    assert_eq!(line["target"], "hyper");
    assert!(line.get("event").is_none());
}
