//! Guards against an invalid or too large catalogue being accepted in part, and
//! against errors that do not name the faulty field.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;

use std::fs;
use std::process;

use figscale_types::catalogue;
use figscale_types::operator;
use futures_util::future;
use harness::operator::change;

#[tokio::test(flavor = "multi_thread")]
async fn invalid_and_too_large_are_refused_whole() {
    let cell = harness::Cell::start(harness::Plan::default()).await;
    let operator = cell.operator(0);
    operator.apply(&change(0, 1)).await.unwrap();
    let before = cell.platform.read(catalogue::KEY).unwrap();

    let mut invalid = change(1, 0);
    invalid.catalogue.weights.packing = 7.0;
    let error = operator.apply(&invalid).await.unwrap_err();
    assert_eq!(error.kind, operator::ErrorKind::Invalid);
    let places: Vec<_> = error.message.lines().map(place).collect();
    assert_eq!(
        places,
        ["owners.underwriting-desk.weight", "weights.packing"]
    );

    let mut large = change(1, 2);
    let entry = large.catalogue.entries[0].clone();
    for number in 0..1_900 {
        let name = format!("an-entry-with-quite-a-long-name-{number:08}");
        let name = name.parse().unwrap();
        large.catalogue.entries.insert(name, entry.clone());
    }
    let error = operator.apply(&large).await.unwrap_err();
    assert_eq!(error.kind, operator::ErrorKind::Invalid);
    assert!(error.message.contains("expected at most"), "{error}");
    assert!(
        error.message.contains("the largest entry, entries."),
        "{error}"
    );

    assert_eq!(cell.platform.read(catalogue::KEY).unwrap(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_is_answered_with_a_retry_time() {
    let cell = harness::Cell::start(harness::Plan::default()).await;
    let operator = cell.operator(0);
    operator.apply(&change(0, 1)).await.unwrap();
    let before = cell.platform.read(catalogue::KEY).unwrap();
    cell.platform.change_faults(|faults| faults.outage = true);
    let requests: Vec<_> = (0..20).map(|number| change(1, number + 2)).collect();
    let answers = requests.iter().map(|request| operator.apply(request));
    let mut crowded = 0;
    for answer in future::join_all(answers).await {
        let error = answer.unwrap_err();
        assert_eq!(error.kind, operator::ErrorKind::Unavailable, "{error}");
        assert!(error.retry_after_ms.is_some(), "{error}");
        crowded += usize::from(error.message.starts_with("too many changes"));
    }
    assert_eq!(
        crowded, 4,
        "20 concurrent changes, of which 16 are admitted"
    );
    assert_eq!(cell.platform.read(catalogue::KEY).unwrap(), before);
}

fn place(line: &str) -> &str {
    line.split_once(": ").unwrap().0
}

#[test]
fn the_command_line_names_line_and_column() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("catalogue.jsonc");
    let text = include_str!("../../../examples/fraser-reach.jsonc")
        .replace("\"owner\": \"underwriting-desk\"", "\"owner\": \"nobody\"");
    fs::write(&file, text).unwrap();
    let output = process::Command::new(env!("CARGO_BIN_EXE_figscale"))
        .args(["catalogue", "check"])
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).unwrap();
    let expected = ":19:16: entries.cover-check.owner: unknown owner nobody";
    assert!(errors.contains(expected), "{errors}");
}
