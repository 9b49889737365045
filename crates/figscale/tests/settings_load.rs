//! Settings and catalogue files: what is accepted and how the rest is refused.
//!
//! Each file under `data` is a case; the golden file beside holds the whole
//! verdict. Names begin with `good` or `bad`.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::path;
use std::process;

use figscale::settings;
use figscale::settings::document;
use figscale_types::catalogue;
use rstest::rstest;

fn stem(file: &path::Path) -> String {
    file.file_stem().unwrap().to_string_lossy().into_owned()
}

/// Reads a file under a name without its directory, so that errors are the
/// same on every machine.
fn document(file: &path::Path) -> Result<document::Document, document::DocumentError> {
    let text = std::fs::read_to_string(file).unwrap();
    document::Document::from_text("FILE", &text)
}

fn check_name(file: &path::Path, accepted: bool) {
    assert_eq!(stem(file).starts_with("good"), accepted, "{file:?}");
}

#[rstest]
fn settings_file(#[files("tests/data/settings/*.json")] file: path::PathBuf) {
    let loaded = document(&file).and_then(|d| settings::Settings::from_document(&d));
    check_name(&file, loaded.is_ok());
    let verdict = match loaded {
        Ok(settings) => serde_json::to_string_pretty(&settings.without_secrets()).unwrap(),
        Err(error) => error.to_string(),
    };
    if stem(&file).starts_with("bad") {
        insta::assert_snapshot!(format!("settings-{}", stem(&file)), verdict);
    }
}

#[rstest]
fn catalogue_file(#[files("tests/data/catalogue/*.json")] file: path::PathBuf) {
    let loaded = document(&file).and_then(|d| d.parse::<catalogue::Catalogue>());
    check_name(&file, loaded.is_ok());
    if let Err(error) = loaded {
        insta::assert_snapshot!(format!("catalogue-{}", stem(&file)), error);
    }
}

/// `settings check` and `serve` give the same verdict in the same words.
#[rstest]
fn check_and_serve_agree(#[files("tests/data/settings/bad-*.json")] file: path::PathBuf) {
    let checked = figscale(&["settings", "check"], &file);
    let served = figscale(&["serve", "--settings"], &file);
    assert_eq!(checked.status.code(), Some(2));
    assert_eq!(served.status.code(), Some(2));
    assert_eq!(checked.stderr, served.stderr);
    assert!(checked.stdout.is_empty());
}

#[test]
fn missing_file_is_named() {
    let file = path::Path::new("no-such-directory/settings.json");
    for arguments in [["settings", "check"], ["serve", "--settings"]] {
        let output = figscale(&arguments, file);
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            text.starts_with("no-such-directory/settings.json: cannot read: "),
            "{text}"
        );
    }
}

#[test]
fn oversize_file_is_refused_unread() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("large.json");
    std::fs::write(&file, vec![b' '; (1 << 20) + 1]).unwrap();
    let error = document::Document::read(&file).unwrap_err().to_string();
    assert!(error.ends_with("has 1048577 bytes: expected 1048576 at most"));
}

/// The secret stands in no error and in no dump.
#[test]
fn token_is_never_shown() {
    let file = path::Path::new("tests/data/settings/bad-token.json");
    let error = settings::Settings::load(file).unwrap_err().to_string();
    assert!(!error.contains("short"), "{error}");

    let good = path::Path::new("tests/data/settings/good-smallest.json");
    let settings = settings::Settings::load(good).unwrap();
    let shown = serde_json::to_string(&settings.without_secrets()).unwrap();
    assert!(!shown.contains(&settings.peer_token), "{shown}");
}

fn figscale(arguments: &[&str], file: &path::Path) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_figscale"))
        .args(arguments)
        .arg(file)
        .output()
        .unwrap()
}
