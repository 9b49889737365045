//! Reading of JSON documents with comments.
//!
//! Settings, catalogues and jobs are read the same way, so that every refusal
//! has one form: `FILE:LINE:COLUMN: FIELD: what was expected`. Comments are
//! blanked out by a library before parsing, which keeps lines and columns. A
//! document is parsed a second time when a place within it is asked for; that
//! happens only on the way to an error.

use std::error;
use std::fmt;
use std::fs;
use std::io::Read as _;
use std::path;

use indexmap::IndexMap;
use json_comments::StripComments;
use serde::de;
use serde_json::value;

use super::duplicates;

/// Largest document that is read, in bytes.
pub const MAX_DOCUMENT_BYTES: u64 = 1 << 20;

/// Most faults that one error shows; each costs a look through the document.
const MAX_FAULTS_SHOWN: usize = 20;

/// A place in a document, both counted from 1, columns in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

impl Place {
    const START: Self = Self { line: 1, column: 1 };

    fn at_offset(text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before.len() - line_start + 1,
        }
    }
}

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    name: String,
    faults: Vec<Fault>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Fault {
    place: Option<Place>,
    text: String,
}

impl DocumentError {
    /// A document that cannot be read at all.
    fn unreadable(name: &str, text: String) -> Self {
        let fault = Fault { place: None, text };
        Self {
            name: name.to_owned(),
            faults: vec![fault],
        }
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.faults.iter().enumerate() {
            if number > 0 {
                writeln!(f)?;
            }
            f.write_str(&self.name)?;
            if let Some(place) = fault.place {
                write!(f, ":{}:{}", place.line, place.column)?;
            }
            write!(f, ": {}", fault.text)?;
        }
        Ok(())
    }
}

impl error::Error for DocumentError {}

/// A document whose comments are blanked out.
#[derive(Clone, Debug)]
pub struct Document {
    name: String,
    text: String,
}

impl Document {
    /// Reads a file.
    pub fn read(file: &path::Path) -> Result<Self, DocumentError> {
        let name = file.display().to_string();
        let unreadable = |error| DocumentError::unreadable(&name, format!("cannot read: {error}"));
        let length = fs::metadata(file).map_err(unreadable)?.len();
        if length > MAX_DOCUMENT_BYTES {
            let text = format!("has {length} bytes: expected {MAX_DOCUMENT_BYTES} at most");
            return Err(DocumentError::unreadable(&name, text));
        }
        let text = fs::read_to_string(file).map_err(unreadable)?;
        Self::from_text(&name, &text)
    }

    /// Takes a text, with the name that errors give it.
    pub fn from_text(name: &str, text: &str) -> Result<Self, DocumentError> {
        let mut blanked = String::with_capacity(text.len());
        let stripped = StripComments::new(text.as_bytes()).read_to_string(&mut blanked);
        if stripped.is_err() {
            let fault = Fault {
                place: Some(place_of_bad_comment(text)),
                text: "expected a comment, `// ...` or `/* ... */`, that is closed".to_owned(),
            };
            return Err(DocumentError {
                name: name.to_owned(),
                faults: vec![fault],
            });
        }
        Ok(Self {
            name: name.to_owned(),
            text: blanked,
        })
    }

    /// Parses the document.
    pub fn parse<T: de::DeserializeOwned>(&self) -> Result<T, DocumentError> {
        let mut json = serde_json::Deserializer::from_str(&self.text);
        let parsed = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let path = error.path().to_string();
            self.malformed(Some(&path), error.inner())
        })?;
        json.end().map_err(|error| self.malformed(None, &error))?;
        self.refuse_duplicates()?;
        Ok(parsed)
    }

    /// Refuses a name that stands twice in one object, of which a map would
    /// quietly keep the last.
    fn refuse_duplicates(&self) -> Result<(), DocumentError> {
        let mut json = serde_json::Deserializer::from_str(&self.text);
        let walked: Result<duplicates::Unique, _> = serde_path_to_error::deserialize(&mut json);
        walked.map(|_| ()).map_err(|error| {
            let path = error.path().to_string();
            self.malformed(Some(&path), error.inner())
        })
    }

    fn malformed(&self, path: Option<&str>, error: &serde_json::Error) -> DocumentError {
        let place = Place {
            line: error.line().max(1),
            column: error.column().max(1),
        };
        let message = without_place(error);
        let text = match path {
            Some(path) if path != "." && path != "?" => format!("{path}: {message}"),
            _ => message,
        };
        DocumentError {
            name: self.name.clone(),
            faults: vec![Fault {
                place: Some(place),
                text,
            }],
        }
    }

    /// Refuses a document that was parsed but is wrong in itself.
    ///
    /// A line names fields by their paths with dots and is placed at the first
    /// of them that stands in the document. Where none does, because a default
    /// is wrong beside what was set, it is placed at the innermost object
    /// around the first.
    pub fn refuse(&self, lines: &[String]) -> DocumentError {
        let fault = |line: &String| Fault {
            place: Some(self.place_of_line(line)),
            text: line.clone(),
        };
        let mut faults: Vec<Fault> = lines.iter().take(MAX_FAULTS_SHOWN).map(fault).collect();
        if lines.len() > MAX_FAULTS_SHOWN {
            faults.push(Fault {
                place: None,
                text: format!("and {} more", lines.len() - MAX_FAULTS_SHOWN),
            });
        }
        DocumentError {
            name: self.name.clone(),
            faults,
        }
    }

    fn place_of_line(&self, line: &str) -> Place {
        let found: Vec<Found<'_>> = line
            .split_whitespace()
            .map(|word| word.trim_matches([':', ',', ';', '`', '"', '(', ')']))
            .filter_map(|word| find(&self.text, word))
            .collect();
        let best = found.iter().find(|f| f.whole).or(found.first());
        best.map_or(Place::START, |found| self.place(found.part))
    }

    /// The place of a part of the text, which the library borrowed from it.
    fn place(&self, part: &str) -> Place {
        let offset = (part.as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
        Place::at_offset(&self.text, offset)
    }
}

/// The value that a path leads to, or the innermost one on the way.
struct Found<'a> {
    part: &'a str,
    whole: bool,
}

/// Follows a path whose names are joined by dots and may hold dots themselves;
/// `None` when not even its first name is there.
fn find<'a>(text: &'a str, path: &str) -> Option<Found<'a>> {
    let fields: IndexMap<String, &'a value::RawValue> = serde_json::from_str(text).ok()?;
    let mut best = None;
    for (name, value) in fields {
        let part = value.get();
        let found = match path.strip_prefix(name.as_str()) {
            Some("") => Found { part, whole: true },
            Some(rest) if rest.starts_with('.') => {
                find(part, &rest[1..]).unwrap_or(Found { part, whole: false })
            }
            _ => continue,
        };
        if found.whole {
            return Some(found);
        }
        best = Some(found);
    }
    best
}

/// Where the library gave up: after the last good byte, or, when it read to
/// the end for the end of a comment, where that comment begins.
fn place_of_bad_comment(text: &str) -> Place {
    let mut stripper = StripComments::new(text.as_bytes());
    let mut byte = [0];
    let mut good = 0;
    // One byte at a time, since a longer read fails as a whole.
    while stripper.read(&mut byte).is_ok_and(|length| length > 0) {
        good += 1;
    }
    let offset = if good == text.len() {
        text.rfind("/*").unwrap_or(good)
    } else {
        good
    };
    Place::at_offset(text, offset)
}

/// What the standard library says of an address, which names no form.
const BAD_ADDRESS: &str = "invalid socket address syntax";

/// The message of a JSON error without the place, which is shown in front.
fn without_place(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let place = format!(" at line {} column {}", error.line(), error.column());
    match message.strip_suffix(&place) {
        Some(BAD_ADDRESS) => format!("{BAD_ADDRESS}, expected IP:PORT like 127.0.0.1:7101"),
        Some(message) => message.to_owned(),
        None => message,
    }
}
