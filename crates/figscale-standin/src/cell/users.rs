//! The two users: their catalogue, their requests and a job of each class.

use std::fmt;
use std::str;

use eyre::WrapErr as _;
use figscale::settings::document;
use figscale_types::catalogue;
use figscale_types::error;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::sizes;

use crate::load;

const FRASER_REACH: &str = include_str!("../../../../examples/fraser-reach.jsonc");
const FIRTH_SHORE: &str = include_str!("../../../../examples/firth-shore.jsonc");
const GIB: u64 = 1_024 * sizes::MIB;

/// A user of the system, with a cell of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Fraser Reach Municipal Marine Underwriting Office.
    FraserReach,
    /// Firth Shore Survey Consortium.
    FirthShore,
}

impl fmt::Display for User {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FraserReach => "fraser-reach",
            Self::FirthShore => "firth-shore",
        })
    }
}

impl str::FromStr for User {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::FraserReach, Self::FirthShore]
            .into_iter()
            .find(|user| user.to_string() == text)
            .ok_or_else(|| error::ParseError::new("user", text, "fraser-reach or firth-shore"))
    }
}

impl User {
    /// Its example catalogue.
    pub fn catalogue(self) -> eyre::Result<catalogue::Catalogue> {
        let (name, text) = match self {
            Self::FraserReach => ("examples/fraser-reach.jsonc", FRASER_REACH),
            Self::FirthShore => ("examples/firth-shore.jsonc", FIRTH_SHORE),
        };
        let document = document::Document::from_text(name, text).wrap_err(name)?;
        document.parse().wrap_err(name)
    }

    /// The service that its runners belong to.
    pub fn service(self) -> eyre::Result<ids::ServiceName> {
        let name = match self {
            Self::FraserReach => "hullrate",
            Self::FirthShore => "shoreproc",
        };
        Ok(name.parse()?)
    }

    /// Prefix of its failure domains.
    pub(super) fn domain_prefix(self) -> &'static str {
        match self {
            Self::FraserReach => "mainland",
            Self::FirthShore => "east-coast",
        }
    }

    /// What one of its workers holds.
    pub(super) fn worker_size(self) -> sizes::Resources {
        let memory_gib = match self {
            Self::FraserReach => 128,
            Self::FirthShore => 256,
        };
        size(64, memory_gib)
    }

    /// Its requests, as callers make them.
    pub fn classes(self) -> eyre::Result<Vec<load::Class>> {
        match self {
            Self::FraserReach => Ok(vec![
                class("cover-check", "brokers", 5.0, 10.0, true)?,
                class("quote", "brokers", 3.0, 40.0, true)?,
                class("renewal", "port-shippers", 1.0, 60.0, false)?,
                class("claim-check", "harbour-authority", 1.0, 80.0, true)?,
            ]),
            Self::FirthShore => Ok(vec![
                class("beach-marker-check", "harbour-trusts", 4.0, 15.0, true)?,
                class("survey-intake", "ardmore-survey", 2.0, 60.0, false)?,
                class("survey-intake", "kinnaird-survey", 2.0, 60.0, false)?,
                class("tide-lookup", "councils", 2.0, 100.0, true)?,
            ]),
        }
    }

    /// A job of each class: service, batch and gang.
    pub fn jobs(self) -> eyre::Result<Vec<jobs::JobSpec>> {
        match self {
            Self::FraserReach => Ok(vec![
                job("rate-tables", "underwriting-desk", 3, size(2, 4), HOUR_MS)?,
                job("fleet-repricing", "port-shippers", 12, size(4, 8), 1_500)?,
                job("accumulation-run", "brokers", 6, size(8, 16), 2_000)?,
            ]),
            Self::FirthShore => Ok(vec![
                job("tide-gauge-feed", "consortium", 3, size(2, 4), HOUR_MS)?,
                job("tide-comparison", "councils", 16, size(4, 12), 1_500)?,
                job("reconstruction", "lunan-survey", 6, size(16, 64), 2_500)?,
            ]),
        }
    }
}

const HOUR_MS: u64 = 3_600_000;

fn size(cores: u64, memory_gib: u64) -> sizes::Resources {
    sizes::Resources {
        cpu_millis: sizes::CpuMillis(cores * 1_000),
        memory_bytes: sizes::Bytes(memory_gib * GIB),
        accelerators: 0,
    }
}

fn class(
    entry: &str,
    owner: &str,
    weight: f64,
    mean_run_ms: f64,
    idempotent: bool,
) -> eyre::Result<load::Class> {
    Ok(load::Class {
        entry: entry.parse()?,
        owner: owner.parse()?,
        weight,
        mean_run_ms,
        idempotent,
        budget_ms: None,
        body_bytes: load::DEFAULT_BODY_BYTES,
        answer_bytes: load::DEFAULT_ANSWER_BYTES,
    })
}

fn job(
    entry: &str,
    owner: &str,
    tasks: u32,
    task: sizes::Resources,
    run_ms: u64,
) -> eyre::Result<jobs::JobSpec> {
    Ok(jobs::JobSpec {
        entry: entry.parse()?,
        owner: owner.parse()?,
        tasks,
        task,
        run_ms,
        deadline_ms: None,
        idempotent: true,
        checkpointable: true,
        command: String::new(),
    })
}
