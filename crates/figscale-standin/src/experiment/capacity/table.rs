//! The measured rows as a Markdown table, with a fitted line for each series.

use std::fmt::Write as _;

use indexmap::IndexMap;
use serde::Serialize;

use super::fit;
use super::measure;

/// A column of the table.
type Column = (&'static str, fn(&measure::Row) -> f64);

const COLUMNS: &[Column] = &[
    ("cpu %", |row| row.cpu_percent),
    ("most cpu %", |row| row.cpu_percent_most),
    ("control thread %", |row| row.control_cpu_percent),
    ("MB", |row| row.resident_mb),
    ("most MB", |row| row.resident_mb_most),
    ("store KB/s", |row| row.store_kb_per_s),
    ("peers KB/s", |row| row.peer_kb_per_s),
    ("workers KB/s", |row| row.worker_kb_per_s),
    ("writes/s, all", |row| row.store_writes_per_s_all),
    ("reads/s, all", |row| row.store_reads_per_s_all),
    ("refused, all", |row| row.store_refused_all as f64),
];

/// Series in which only the varied quantity causes load. In the others, polling
/// for the result costs as much as the measured operation, so no line is fitted
/// to the columns.
const SERIES_AT_A_STEADY_RATE: &[&str] = &[
    "entries at rest",
    "workers at rest",
    "requests/s",
    "changes/s",
    "task starts/s",
    "running tasks",
];

/// A line fitted to a column of a series.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Fitted {
    series: &'static str,
    column: String,
    line: fit::Line,
}

/// The lines fitted to the figures of every series.
pub(super) fn fit_all(rows: &[measure::Row]) -> Vec<Fitted> {
    let mut by_series = IndexMap::<_, Vec<&measure::Row>>::new();
    for row in rows {
        by_series.entry(row.series).or_default().push(row);
    }
    let mut all = Vec::new();
    for (series, rows) in by_series {
        if SERIES_AT_A_STEADY_RATE.contains(&series) {
            for (name, of) in COLUMNS {
                let points = rows.iter().map(|row| (row.size, of(row)));
                all.extend(fitted(series, name, points));
            }
        }
        let first = rows.first().map(|row| row.more.keys());
        let sizes = first.into_iter().flatten();
        for name in sizes.filter(|name| name.ends_with("bytes")) {
            let points = rows
                .iter()
                .filter_map(|row| Some((row.size, *row.more.get(name)?)));
            all.extend(fitted(series, name, points));
        }
    }
    all
}

fn fitted(
    series: &'static str,
    column: &str,
    points: impl Iterator<Item = (f64, f64)>,
) -> Option<Fitted> {
    let points: Vec<_> = points
        .map(|(size, value)| fit::Point { size, value })
        .collect();
    let line = fit::Line::through(&points)?;
    Some(Fitted {
        series,
        column: column.to_owned(),
        line,
    })
}

/// The rows and lines as Markdown.
pub(super) fn markdown(rows: &[measure::Row], lines: &[Fitted]) -> String {
    let mut text = String::new();
    write_rows(&mut text, rows);
    write_lines(&mut text, lines);
    text
}

fn write_rows(text: &mut String, rows: &[measure::Row]) {
    let names: Vec<_> = COLUMNS.iter().map(|(name, _)| *name).collect();
    let _ = writeln!(
        text,
        "| series | size | entries | workers | {} | load | more |",
        names.join(" | ")
    );
    let _ = writeln!(text, "|{}", " --- |".repeat(names.len() + 6));
    for row in rows {
        let _ = write!(
            text,
            "| {} | {} | {} | {} |",
            row.series,
            short(row.size),
            row.entries,
            row.workers
        );
        for (_, of) in COLUMNS {
            let _ = write!(text, " {} |", short(of(row)));
        }
        let more = row.more.iter();
        let more: Vec<_> = more
            .map(|(name, value)| format!("{name} {}", short(*value)))
            .collect();
        let _ = writeln!(text, " {} | {} |", short(row.load_average), more.join(", "));
    }
}

fn write_lines(text: &mut String, lines: &[Fitted]) {
    let _ = writeln!(
        text,
        "\n| series | figure | at rest + slope x size | residual |"
    );
    let _ = writeln!(text, "| --- | --- | --- | --- |");
    for Fitted {
        series,
        column,
        line,
    } in lines
    {
        let _ = writeln!(
            text,
            "| {series} | {column} | {} + {} x size | {} |",
            short(line.at_rest),
            short(line.slope),
            short(line.residual)
        );
    }
}

/// Formats a figure with three digits.
fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size < 0.01 => format!("{value:.2e}"),
        size if size < 1.0 => format!("{value:.3}"),
        size if size < 10.0 => format!("{value:.2}"),
        size if size < 100.0 => format!("{value:.1}"),
        _ => format!("{value:.0}"),
    }
}
