//! The commands and their arguments, parsed with `argh`.
//!
//! Doc comments of the types and fields are the help texts that users see.

use std::path;

use argh::FromArgs;
use figscale_types::ids;

/// Cluster scheduler: entry instance and operator commands.
#[derive(FromArgs)]
pub(crate) struct Args {
    /// operator addresses of entry instances, IP:PORT, separated by commas;
    /// default: the environment variable FIGSCALE_ENTRY
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// print JSON, for scripts
    #[argh(switch)]
    pub(crate) json: bool,
    /// time limit of the whole command in milliseconds, default 15000
    #[argh(option, default = "15_000")]
    pub(crate) timeout_ms: u64,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Serve(Serve),
    Settings(Settings),
    Catalogue(Catalogue),
    Job(Job),
    Dump(Dump),
    Events(Events),
}

/// Run an entry instance until SIGTERM or SIGINT, then stop it gracefully.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// settings file, JSON with comments
    #[argh(option)]
    pub(crate) settings: path::PathBuf,
}

/// Check settings files.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct Settings {
    #[argh(subcommand)]
    pub(crate) command: SettingsCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum SettingsCommand {
    Check(SettingsCheck),
}

/// Check a settings file in the same way as `serve`.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct SettingsCheck {
    /// the file
    #[argh(positional)]
    pub(crate) file: path::PathBuf,
}

/// Read and change the catalogue.
#[derive(FromArgs)]
#[argh(subcommand, name = "catalogue")]
pub(crate) struct Catalogue {
    #[argh(subcommand)]
    pub(crate) command: CatalogueCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum CatalogueCommand {
    Check(CatalogueCheck),
    Show(CatalogueShow),
    Diff(CatalogueDiff),
    Apply(CatalogueApply),
    History(CatalogueHistory),
    Rollback(CatalogueRollback),
    Status(CatalogueStatus),
}

/// Check a catalogue file locally, without contacting an entry instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CatalogueCheck {
    /// catalogue file, JSON with comments
    #[argh(positional)]
    pub(crate) file: path::PathBuf,
}

/// Print the catalogue in force, or an earlier one.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct CatalogueShow {
    /// revision, default: the one in force
    #[argh(option)]
    pub(crate) at: Option<ids::Revision>,
}

/// Print what a file would change, and the base revision for `apply`.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct CatalogueDiff {
    /// the file
    #[argh(positional)]
    pub(crate) file: path::PathBuf,
}

/// Bring a catalogue file into force in the whole cell.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct CatalogueApply {
    /// the file
    #[argh(positional)]
    pub(crate) file: path::PathBuf,
    /// revision that the change is based on, as printed by `diff`; 0 for the first
    /// catalogue
    #[argh(option)]
    pub(crate) base: ids::Revision,
    /// author of the change, default: the environment variable USER
    #[argh(option)]
    pub(crate) author: Option<String>,
    /// reason for the change
    #[argh(option, default = "String::new()")]
    pub(crate) note: String,
    /// id of the change, to retry one whose result is unknown
    #[argh(option)]
    pub(crate) change: Option<ids::ChangeId>,
}

/// List the changes of the catalogue, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct CatalogueHistory {}

/// Bring an earlier catalogue into force again, as a new revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub(crate) struct CatalogueRollback {
    /// revision of the catalogue to restore
    #[argh(positional)]
    pub(crate) to: ids::Revision,
    /// revision in force when the rollback was decided; 0 for none
    #[argh(option)]
    pub(crate) base: ids::Revision,
    /// author of the change, default: the environment variable USER
    #[argh(option)]
    pub(crate) author: Option<String>,
    /// id of the change, to retry one whose result is unknown
    #[argh(option)]
    pub(crate) change: Option<ids::ChangeId>,
}

/// Print the revision in force at each entry instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct CatalogueStatus {}

/// Submit, inspect and cancel jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct Job {
    #[argh(subcommand)]
    pub(crate) command: JobCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum JobCommand {
    Submit(JobSubmit),
    Status(JobStatus),
    Cancel(JobCancel),
    List(JobList),
}

/// Submit a job and print its id.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct JobSubmit {
    /// job file, JSON with comments
    #[argh(positional)]
    pub(crate) file: path::PathBuf,
    /// job id, to retry a submission whose result is unknown; generated by default
    #[argh(option)]
    pub(crate) id: Option<ids::JobId>,
}

/// Print the state of a job and of its tasks.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct JobStatus {
    /// job id
    #[argh(positional)]
    pub(crate) id: ids::JobId,
}

/// Cancel a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct JobCancel {
    /// job id
    #[argh(positional)]
    pub(crate) id: ids::JobId,
}

/// List jobs, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct JobList {
    /// list only jobs of this owner
    #[argh(option)]
    pub(crate) owner: Option<ids::OwnerName>,
}

/// Print the state of one process as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {}

/// List the events that a process logs.
#[derive(FromArgs)]
#[argh(subcommand, name = "events")]
pub(crate) struct Events {}
