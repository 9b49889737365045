//! Commands that contact no entry instance: checking settings, listing events.

use std::fmt::Write as _;
use std::path;

use serde::Serialize;

use super::Failure;
use super::Outcome;
use crate::events;
use crate::settings;

#[derive(Serialize)]
struct EventLine {
    event: u16,
    name: &'static str,
    level: &'static str,
    help: &'static str,
}

pub(super) fn check_settings(file: &path::Path) -> Outcome {
    let settings = settings::Settings::load(file).map_err(Failure::usage)?;
    Ok(format!(
        "{}: good settings for {}",
        file.display(),
        settings.member
    ))
}

pub(super) fn list_events(json: bool) -> Outcome {
    let all = events::all();
    if json {
        let lines: Vec<_> = all.iter().map(event_line).collect();
        return Ok(super::pretty(&lines));
    }
    let mut text = String::new();
    for event in all {
        let line = event_line(&event);
        let _ = writeln!(
            text,
            "{} {:5} {}: {}",
            line.event, line.level, line.name, line.help
        );
    }
    Ok(text)
}

fn event_line(event: &events::Event) -> EventLine {
    EventLine {
        event: event.code,
        name: event.name,
        level: event.level.as_str(),
        help: event.help,
    }
}
