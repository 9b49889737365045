//! Parser of JSON documents with comments.
//!
//! Settings, catalogues and jobs are parsed in the same way, so that all errors
//! have the form `FILE:LINE:COLUMN: FIELD: what was expected`. A library replaces
//! comments by blanks before parsing, which preserves lines and columns. To find
//! the position of a field, the document is parsed again; this happens only for
//! error messages.

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

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: u64 = 1 << 20;

/// Maximum number of faults shown in an error; the position of each is found by
/// a search of the document.
const MAX_FAULTS_SHOWN: usize = 20;

/// A position in a document. Line and column are counted from 1, columns in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

impl Position {
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

/// Error of a document that is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    name: String,
    faults: Vec<Fault>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Fault {
    position: Option<Position>,
    text: String,
}

impl DocumentError {
    /// The error of a document that cannot be read.
    fn unreadable(name: &str, text: String) -> Self {
        let fault = Fault {
            position: None,
            text,
        };
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
            if let Some(position) = fault.position {
                write!(f, ":{}:{}", position.line, position.column)?;
            }
            write!(f, ": {}", fault.text)?;
        }
        Ok(())
    }
}

impl error::Error for DocumentError {}

/// A document whose comments are replaced by blanks.
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

    /// Creates a document from a text. `name` stands for the file in errors.
    pub fn from_text(name: &str, text: &str) -> Result<Self, DocumentError> {
        let mut blanked = String::with_capacity(text.len());
        let stripped = StripComments::new(text.as_bytes()).read_to_string(&mut blanked);
        if stripped.is_err() {
            let fault = Fault {
                position: Some(position_of_bad_comment(text)),
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

    /// Rejects an object that contains a name twice; a map would silently keep the
    /// last value.
    fn refuse_duplicates(&self) -> Result<(), DocumentError> {
        let mut json = serde_json::Deserializer::from_str(&self.text);
        let checked: Result<duplicates::UniqueNames, _> =
            serde_path_to_error::deserialize(&mut json);
        checked.map(|_| ()).map_err(|error| {
            let path = error.path().to_string();
            self.malformed(Some(&path), error.inner())
        })
    }

    fn malformed(&self, path: Option<&str>, error: &serde_json::Error) -> DocumentError {
        let position = Position {
            line: error.line().max(1),
            column: error.column().max(1),
        };
        let message = message_without_position(error);
        let text = match path {
            Some(path) if path != "." && path != "?" => format!("{path}: {message}"),
            _ => message,
        };
        DocumentError {
            name: self.name.clone(),
            faults: vec![Fault {
                position: Some(position),
                text,
            }],
        }
    }

    /// Returns the error for a document that parsed but whose content is invalid.
    ///
    /// Each line names fields by their dotted paths and gets the position of the
    /// first of them that is present in the document. If none is present, because
    /// a default conflicts with a value that was set, it gets the position of the
    /// innermost object around the first field.
    pub fn refuse(&self, lines: &[String]) -> DocumentError {
        let fault = |line: &String| Fault {
            position: Some(self.position_of_line(line)),
            text: line.clone(),
        };
        let mut faults: Vec<Fault> = lines.iter().take(MAX_FAULTS_SHOWN).map(fault).collect();
        if lines.len() > MAX_FAULTS_SHOWN {
            faults.push(Fault {
                position: None,
                text: format!("and {} more", lines.len() - MAX_FAULTS_SHOWN),
            });
        }
        DocumentError {
            name: self.name.clone(),
            faults,
        }
    }

    fn position_of_line(&self, line: &str) -> Position {
        let found: Vec<PathMatch<'_>> = line
            .split_whitespace()
            .map(|word| word.trim_matches([':', ',', ';', '`', '"', '(', ')']))
            .filter_map(|word| find(&self.text, word))
            .collect();
        let best = found.iter().find(|f| f.exact).or(found.first());
        best.map_or(Position::START, |found| self.position(found.part))
    }

    /// The position of `part`, which must be a slice of the text.
    fn position(&self, part: &str) -> Position {
        let offset = (part.as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
        Position::at_offset(&self.text, offset)
    }
}

/// The value at a path, or the innermost value that contains it.
struct PathMatch<'a> {
    part: &'a str,
    exact: bool,
}

/// Finds the value at a dotted path, whose names may contain dots themselves.
/// Returns `None` if not even the first name is present.
fn find<'a>(text: &'a str, path: &str) -> Option<PathMatch<'a>> {
    let fields: IndexMap<String, &'a value::RawValue> = serde_json::from_str(text).ok()?;
    let mut best = None;
    for (name, value) in fields {
        let part = value.get();
        let found = match path.strip_prefix(name.as_str()) {
            Some("") => PathMatch { part, exact: true },
            Some(rest) if rest.starts_with('.') => {
                find(part, &rest[1..]).unwrap_or(PathMatch { part, exact: false })
            }
            _ => continue,
        };
        if found.exact {
            return Some(found);
        }
        best = Some(found);
    }
    best
}

/// The position at which the library failed: after the last valid byte or, if
/// the text ends inside a block comment, at the start of that comment.
fn position_of_bad_comment(text: &str) -> Position {
    let mut stripper = StripComments::new(text.as_bytes());
    let mut byte = [0];
    let mut good = 0;
    // One byte at a time, since a longer read that fails returns no bytes.
    while stripper.read(&mut byte).is_ok_and(|length| length > 0) {
        good += 1;
    }
    let offset = if good == text.len() {
        text.rfind("/*").unwrap_or(good)
    } else {
        good
    };
    Position::at_offset(text, offset)
}

/// Message of the standard library for an invalid address; it does not give the
/// expected form.
const BAD_ADDRESS: &str = "invalid socket address syntax";

/// The message of a JSON error without the position, which is shown before it.
fn message_without_position(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let position = format!(" at line {} column {}", error.line(), error.column());
    match message.strip_suffix(&position) {
        Some(BAD_ADDRESS) => format!("{BAD_ADDRESS}, expected IP:PORT like 127.0.0.1:7101"),
        Some(message) => message.to_owned(),
        None => message,
    }
}
