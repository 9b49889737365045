//! Settings and catalogue files: which are accepted, and the errors of the others.
//!
//! Each file under `data` is a case whose name begins with `good` or `bad`. A golden
//! file holds the complete error of each bad file.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::path;
use std::process;
use std::thread;
use std::time;

use figscale::settings;
use figscale::settings::document;
use figscale_types::catalogue;
use rstest::rstest;

/// Maximum time to wait for the process to reject a file.
const LIMIT: time::Duration = time::Duration::from_secs(30);

fn stem(file: &path::Path) -> String {
    file.file_stem().unwrap().to_string_lossy().into_owned()
}

/// Reads a file under the fixed name `FILE`, so that errors are the same on every
/// machine.
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

/// `settings check` and `serve` reject a file with the same message.
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

/// Neither errors nor dumps contain the secret.
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

/// Runs the program on a file. If it accepts the file and starts to serve, it is
/// killed after a while and thus has no exit code.
fn figscale(arguments: &[&str], file: &path::Path) -> process::Output {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_figscale"))
        .args(arguments)
        .arg(file)
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .unwrap();
    let start = time::Instant::now();
    while child.try_wait().unwrap().is_none() {
        if start.elapsed() > LIMIT {
            child.kill().unwrap();
        }
        thread::sleep(time::Duration::from_millis(2));
    }
    child.wait_with_output().unwrap()
}

/// A problem gets the position of the first field that it names and that is
/// present in the document.
#[rstest]
#[case::whole("a.b is 1: expected a.c at most", "2:15")]
#[case::second("a.none is 1: expected a.c at most", "2:23")]
#[case::parent("a.none is 1: expected 2", "2:8")]
#[case::dots_in_a_name("a.x.y.z: wrong", "3:19")]
#[case::nothing_there("none: wrong", "1:1")]
fn place_of_a_problem(#[case] line: &str, #[case] place: &str) {
    let text = "{\n  \"a\": { \"b\": 1, \"c\": 2,\n    \"x.y\": { \"z\": 3 } }\n}";
    let document = document::Document::from_text("FILE", text).unwrap();
    let error = document.refuse(&[line.to_owned()]);
    assert_eq!(error.to_string(), format!("FILE:{place}: {line}"));
}

#[test]
fn many_problems_are_counted() {
    let document = document::Document::from_text("FILE", "{}").unwrap();
    let lines: Vec<String> = (0..25).map(|n| format!("problem {n}")).collect();
    let error = document.refuse(&lines).to_string();
    assert_eq!(error.lines().count(), 21);
    assert!(error.ends_with("\nFILE: and 5 more"), "{error}");
}

/// Every number has a bound: an absurd value is rejected for each.
#[test]
fn every_number_is_bounded() {
    let text = std::fs::read_to_string("tests/data/settings/good-smallest.json").unwrap();
    let document = document::Document::from_text("FILE", &text).unwrap();
    let settings = settings::Settings::from_document(&document).unwrap();
    let whole = serde_json::to_value(&settings).unwrap();
    let mut numbers = Vec::new();
    find_numbers("", &whole, &mut numbers);
    assert!(numbers.len() >= 9, "{numbers:?}");
    for pointer in numbers {
        let mut absurd = whole.clone();
        *absurd.pointer_mut(&pointer).unwrap() = 1_000_000_000_000_000_u64.into();
        let document = document::Document::from_text("FILE", &absurd.to_string()).unwrap();
        let error = settings::Settings::from_document(&document).expect_err(&pointer);
        let field = pointer[1..].replace('/', ".");
        let expected = format!("{field} is 1000000000000000: expected ");
        assert!(error.to_string().contains(&expected), "{error}");
    }
}

/// Collects JSON pointers to all numbers.
fn find_numbers(pointer: &str, value: &serde_json::Value, found: &mut Vec<String>) {
    match value {
        serde_json::Value::Number(_) => found.push(pointer.to_owned()),
        serde_json::Value::Object(fields) => {
            for (name, value) in fields {
                find_numbers(&format!("{pointer}/{name}"), value, found);
            }
        }
        _ => (),
    }
}

/// The example files that the README refers to are valid.
#[test]
fn shipped_examples_are_good() {
    let examples = path::Path::new("../../examples");
    settings::Settings::load(&examples.join("settings.jsonc")).unwrap();
    for name in ["fraser-reach.jsonc", "firth-shore.jsonc"] {
        let checked = figscale(&["catalogue", "check"], &examples.join(name));
        assert_eq!(checked.status.code(), Some(0), "{name}");
    }
    for job in std::fs::read_dir(examples.join("jobs")).unwrap() {
        let job = document::Document::read(&job.unwrap().path()).unwrap();
        job.parse::<figscale_types::jobs::JobSpec>().unwrap();
    }
}
