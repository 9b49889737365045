//! Newtypes for ids, names and numbers.
//!
//! A name is at most [`MAX_NAME_LEN`] bytes of lower-case letters, digits and
//! `-_./`, so that it can be used in a path, a header, a log line and a metric
//! label without quoting. Parsing rejects anything else; the cost is that names
//! from outside are checked once more than strictly necessary.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// Longest name, in bytes.
pub const MAX_NAME_LEN: usize = 120;

fn check_name(kind: &'static str, text: &str) -> Result<(), error::ParseError> {
    let legal = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_./".contains(&b);
    if text.is_empty() || text.len() > MAX_NAME_LEN || !text.bytes().all(legal) {
        return Err(error::ParseError::new(
            kind,
            text,
            "1 to 120 of a-z, 0-9, '-', '_', '.', '/'",
        ));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = error::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name($kind, text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = error::ParseError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                check_name($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    };
}

name_type!(
    /// An entry instance by its stable name.
    MemberId, "member id"
);
name_type!(
    /// An instance in the platform: an entry instance, a runner or a worker.
    InstanceId, "instance id"
);
name_type!(
    /// A party that owns catalogue entries and is charged for their use.
    OwnerName, "owner name"
);
name_type!(
    /// An entry of the catalogue.
    EntryName, "entry name"
);
name_type!(
    /// A service whose processes are runners.
    ServiceName, "service name"
);
name_type!(
    /// A set of instances that fail together.
    FailureDomain, "failure domain"
);
name_type!(
    /// A rack within a failure domain.
    RackName, "rack name"
);
name_type!(
    /// A shard: the unit that has at most one holder.
    ShardId, "shard id"
);
name_type!(
    /// A job.
    JobId, "job id"
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next larger value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = error::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let number = text
                    .parse()
                    .map_err(|_| error::ParseError::new($kind, text, "a whole number"))?;
                Ok(Self(number))
            }
        }
    };
}

number_type!(
    /// Incarnation of a process: a new number after every start.
    Incarnation, "incarnation"
);
number_type!(
    /// Number of changes of a shard's holder; a higher epoch fences lower ones.
    Epoch, "epoch"
);
number_type!(
    /// Version of the catalogue or of a key in the store.
    Revision, "revision"
);
number_type!(
    /// Lease in the key-value service.
    LeaseId, "lease id"
);

/// One incarnation of an entry instance: its name and incarnation number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberKey {
    /// The stable name.
    pub id: MemberId,
    /// The incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for MemberKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.id, self.incarnation)
    }
}

/// A task of a job by its index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Position within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.job, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || error::ParseError::new("task id", text, "JOB:INDEX");
        let (job, index) = text.rsplit_once(':').ok_or_else(wrong)?;
        Ok(Self {
            job: job.parse()?,
            index: index.parse().map_err(|_| wrong())?,
        })
    }
}

impl TryFrom<String> for TaskId {
    type Error = error::ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<TaskId> for String {
    fn from(task: TaskId) -> String {
        task.to_string()
    }
}

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub uuid::Uuid);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = error::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let id = uuid::Uuid::parse_str(text)
                    .map_err(|_| error::ParseError::new($kind, text, "a UUID"))?;
                Ok(Self(id))
            }
        }

        // Text in every codec, so that documents stay readable.
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                let text = String::deserialize(input)?;
                text.parse().map_err(<D::Error as serde::de::Error>::custom)
            }
        }
    };
}

uuid_type!(
    /// A caller's request; a UUIDv7, whose time stamp bounds its age.
    RequestId, "request id"
);
uuid_type!(
    /// An operator's change; a retry uses the same id, so that the change is applied
    /// only once.
    ChangeId, "change id"
);
