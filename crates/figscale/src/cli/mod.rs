//! The command line.
//!
//! `serve` runs an entry instance; the other commands read local files or call
//! the operator address of an entry instance. A command returns its text for
//! standard output, or a failure: a message for standard error and an exit code
//! that scripts may rely on (docs/API.md).

mod args;
mod catalogue;
mod client;
mod jobs;
mod local;
mod serve;

use std::env;
use std::fmt;
use std::io;
use std::io::Write as _;

use argh::FromArgs as _;

/// Success.
pub const EXIT_OK: i32 = 0;
/// Refused or failed.
pub const EXIT_FAILED: i32 = 1;
/// Wrong usage or bad input.
pub const EXIT_USAGE: i32 = 2;
/// Conflict with a change that was made before.
pub const EXIT_CONFLICT: i32 = 3;
/// Unavailable at present; nothing took effect.
pub const EXIT_UNAVAILABLE: i32 = 4;
/// Result unknown: the change may have taken effect.
pub const EXIT_UNKNOWN: i32 = 5;

/// A command that did not succeed.
#[derive(Debug)]
pub(crate) struct Failure {
    code: i32,
    message: String,
}

impl Failure {
    pub(crate) fn new(code: i32, message: impl fmt::Display) -> Self {
        Self {
            code,
            message: message.to_string(),
        }
    }

    pub(crate) fn usage(message: impl fmt::Display) -> Self {
        Self::new(EXIT_USAGE, message)
    }
}

/// Output of a command, or why it failed.
pub(crate) type Outcome = Result<String, Failure>;

/// Runs the command line and returns the exit code.
pub fn run() -> i32 {
    let words: Vec<String> = env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let arguments = words.get(1..).unwrap_or_default();
    match args::Args::from_args(&["figscale"], arguments) {
        Ok(args) => finish(dispatch(args)),
        Err(early) => report_early_exit(&early),
    }
}

/// Prints help if it was requested, or an error of usage; returns the exit code.
fn report_early_exit(early: &argh::EarlyExit) -> i32 {
    if early.status.is_ok() {
        print_text(&early.output);
        return EXIT_OK;
    }
    eprintln!("{}", early.output.trim_end());
    if early.output.contains("--entry") || early.output.contains("--json") {
        eprintln!("--entry, --json and --timeout-ms stand before the command.");
    }
    EXIT_USAGE
}

fn finish(outcome: Outcome) -> i32 {
    match outcome {
        Ok(text) if text.is_empty() => EXIT_OK,
        Ok(text) => {
            print_text(&text);
            EXIT_OK
        }
        Err(failure) => {
            eprintln!("{}", failure.message);
            failure.code
        }
    }
}

/// Prints to standard output. Errors are ignored: a reader such as `head` may
/// close the pipe early.
fn print_text(text: &str) {
    let _ = writeln!(io::stdout(), "{}", text.trim_end());
}

fn dispatch(args: args::Args) -> Outcome {
    let args::Args {
        entry,
        json,
        timeout_ms,
        command,
    } = args;
    let client = || client::Client::new(entry.as_deref(), timeout_ms);
    match command {
        args::Command::Serve(args) => serve::run(&args.settings),
        args::Command::Settings(args) => match args.command {
            args::SettingsCommand::Check(args) => local::check_settings(&args.file),
        },
        args::Command::Events(_) => local::list_events(json),
        args::Command::Catalogue(args) => catalogue::run(args.command, client, json),
        args::Command::Job(args) => jobs::run(args.command, &client()?, json),
        args::Command::Dump(_) => dump(&client()?),
    }
}

/// Prints the state of one process. The output is always indented JSON, with or
/// without `--json`.
fn dump(client: &client::Client) -> Outcome {
    let dump: serde_json::Value = client.get("/v1/dump")?;
    Ok(pretty(&dump))
}

pub(crate) fn pretty(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|error| error.to_string())
}
