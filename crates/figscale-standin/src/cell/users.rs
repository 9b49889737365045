//! The two users: their catalogue, their requests and a job of each class.

use std::fmt;
use std::str;

use figscale::settings::document;
use figscale_types::catalogue;
use figscale_types::error;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::sizes;
use serde::de;

use crate::load;

const GIB: u64 = 1_024 * sizes::MIB;

/// A file of the folder `examples`, included at build time.
#[derive(Clone, Copy)]
struct Example {
    name: &'static str,
    text: &'static str,
}

impl Example {
    fn parse<T: de::DeserializeOwned>(&self) -> eyre::Result<T> {
        let document = document::Document::from_text(self.name, self.text)?;
        Ok(document.parse()?)
    }
}

/// Includes a file of the folder `examples` by its name.
macro_rules! example {
    ($name:literal) => {
        Example {
            name: concat!("examples/", $name),
            text: include_str!(concat!("../../../../examples/", $name)),
        }
    };
}

const FRASER_REACH: Example = example!("fraser-reach.jsonc");
const FIRTH_SHORE: Example = example!("firth-shore.jsonc");
const FRASER_REACH_JOBS: &[Example] = &[
    example!("jobs/rate-tables.jsonc"),
    example!("jobs/fleet-repricing.jsonc"),
    example!("jobs/accumulation-run.jsonc"),
];
const FIRTH_SHORE_JOBS: &[Example] = &[
    example!("jobs/tide-gauge-feed.jsonc"),
    example!("jobs/tide-comparison.jsonc"),
    example!("jobs/reconstruction.jsonc"),
];

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
        match self {
            Self::FraserReach => FRASER_REACH.parse(),
            Self::FirthShore => FIRTH_SHORE.parse(),
        }
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

    /// Capacity of each of its workers.
    pub(super) fn worker_size(self) -> sizes::Resources {
        let memory_gib = match self {
            Self::FraserReach => 128,
            Self::FirthShore => 256,
        };
        sizes::Resources {
            cpu_millis: sizes::CpuMillis(64_000),
            memory_bytes: sizes::Bytes(memory_gib * GIB),
            accelerators: 0,
        }
    }

    /// Mix of the requests that its callers make.
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

    /// The file of its main job.
    pub fn job_file(self) -> &'static str {
        match self {
            Self::FraserReach => "examples/jobs/accumulation-run.jsonc",
            Self::FirthShore => "examples/jobs/reconstruction.jsonc",
        }
    }

    /// A job of each class: service, batch and gang.
    pub fn jobs(self) -> eyre::Result<Vec<jobs::JobSpec>> {
        let files = match self {
            Self::FraserReach => FRASER_REACH_JOBS,
            Self::FirthShore => FIRTH_SHORE_JOBS,
        };
        files.iter().map(|file| file.parse()).collect()
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
