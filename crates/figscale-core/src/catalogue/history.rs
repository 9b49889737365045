//! Catalogue documents: lookup, merging and the limits of the history.
//!
//! The history is limited in lines and in bytes, so that a document always fits
//! into one value of the store. The catalogues of old revisions are dropped
//! first, since a line is enough to see who changed what and why; then the
//! oldest lines are dropped. A change whose line was dropped cannot be
//! distinguished from an unknown one, but is still never accepted twice,
//! because its base is no longer the revision in force.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::platform;
use indexmap::IndexSet;
use serde::Serialize;

/// Maximum number of history lines.
pub const MAX_LINES: usize = 500;
/// Maximum number of earlier catalogues retained for a rollback.
pub const MAX_RETAINED_CATALOGUES: usize = 20;
/// Size of the encoded document above which, of the earlier catalogues, only
/// the latest is retained. Each change sends the document to every entry
/// instance, so it should stay small.
pub const SOFT_MAX_DOCUMENT_BYTES: usize = 256 << 10;
/// Maximum size of the encoded document; the rest of a value is left as margin.
pub const MAX_DOCUMENT_BYTES: usize = platform::MAX_VALUE_BYTES - (64 << 10);

/// Size of a value in bytes, in the encoding used in the store.
pub fn encoded_len<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}

/// Encodes a document for the store.
pub fn encode(document: &catalogue::Document) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(document)
}

/// Decodes a document from the store.
pub fn decode(bytes: &[u8]) -> Result<catalogue::Document, serde_json::Error> {
    serde_json::from_slice(bytes)
}

/// Finds the record of a change, if the history still has it.
pub fn find_change(
    document: &catalogue::Document,
    change: ids::ChangeId,
) -> Option<&catalogue::Record> {
    document
        .history
        .iter()
        .rev()
        .find(|r| r.line.change == change)
}

/// Finds the catalogue of a revision, if it is still retained.
pub fn at(document: &catalogue::Document, revision: ids::Revision) -> Option<catalogue::Accepted> {
    if revision == document.accepted.revision {
        return Some(document.accepted.clone());
    }
    let record = document
        .history
        .iter()
        .find(|record| record.line.revision == revision)?;
    Some(catalogue::Accepted {
        revision,
        change: Some(record.line.change),
        catalogue: record.catalogue.clone()?,
    })
}

/// Returns the document with one more change applied.
pub fn append(
    before: &catalogue::Document,
    line: figscale_types::operator::HistoryLine,
    catalogue: catalogue::Catalogue,
) -> catalogue::Document {
    let mut document = before.clone();
    if let Some(last) = document.history.last_mut()
        && last.line.revision == before.accepted.revision
    {
        last.catalogue = Some(before.accepted.catalogue.clone());
    }
    document.accepted = catalogue::Accepted {
        revision: line.revision,
        change: Some(line.change),
        catalogue,
    };
    document.history.push(catalogue::Record {
        line,
        catalogue: None,
    });
    trim(&mut document);
    document
}

/// Returns the document with the higher revision, with the records of both.
///
/// Where both have a record of the same revision, that of the higher document
/// is used.
pub fn merge(a: &catalogue::Document, b: &catalogue::Document) -> catalogue::Document {
    let (high, low) = match a.accepted.revision >= b.accepted.revision {
        true => (a, b),
        false => (b, a),
    };
    let mut merged = high.clone();
    let known: IndexSet<_> = high.history.iter().map(|r| r.line.revision).collect();
    let missing = low
        .history
        .iter()
        .filter(|record| !known.contains(&record.line.revision))
        .map(|record| with_catalogue(record, low));
    merged.history.extend(missing);
    // Trimming encodes the whole document, so it is skipped if nothing was added.
    if merged.history.len() == high.history.len() {
        return merged;
    }
    merged.history.sort_by_key(|record| record.line.revision);
    trim(&mut merged);
    merged
}

/// Returns the record with its catalogue. That of the newest revision is in
/// `document.accepted`, not in its record.
fn with_catalogue(record: &catalogue::Record, document: &catalogue::Document) -> catalogue::Record {
    let mut record = record.clone();
    if record.line.revision == document.accepted.revision {
        record.catalogue = Some(document.accepted.catalogue.clone());
    }
    record
}

/// Drops old catalogues and lines until the document is within its limits.
fn trim(document: &mut catalogue::Document) {
    let excess = document.history.len().saturating_sub(MAX_LINES);
    document.history.drain(..excess);
    let mut sizes: Vec<Sizes> = document.history.iter().map(Sizes::of).collect();
    drop_catalogues(document, &mut sizes);
    drop_lines(document, &sizes);
}

/// Size in bytes of a record's parts in the encoded document.
struct Sizes {
    line: usize,
    catalogue: usize,
}

impl Sizes {
    fn of(record: &catalogue::Record) -> Self {
        let catalogue = record.catalogue.as_ref().map_or(0, encoded_len);
        // Field names and punctuation around the two parts.
        let overhead = 40;
        Self {
            line: encoded_len(&record.line) + overhead,
            catalogue,
        }
    }
}

fn total_bytes(document: &catalogue::Document, sizes: &[Sizes]) -> usize {
    let records: usize = sizes.iter().map(|s| s.line + s.catalogue).sum();
    encoded_len(&document.accepted) + records
}

fn drop_catalogues(document: &mut catalogue::Document, sizes: &mut [Sizes]) {
    let mut bytes = total_bytes(document, sizes);
    let mut retained = sizes.iter().filter(|s| s.catalogue > 0).count();
    for (record, size) in document.history.iter_mut().zip(sizes) {
        let limit = match retained {
            0 | 1 => MAX_DOCUMENT_BYTES,
            _ => SOFT_MAX_DOCUMENT_BYTES,
        };
        if retained <= MAX_RETAINED_CATALOGUES && bytes <= limit {
            return;
        }
        if size.catalogue > 0 {
            retained -= 1;
            bytes -= size.catalogue;
            size.catalogue = 0;
            record.catalogue = None;
        }
    }
}

fn drop_lines(document: &mut catalogue::Document, sizes: &[Sizes]) {
    let mut bytes = total_bytes(document, sizes);
    let mut dropped = 0;
    // The newest line is never dropped: after a lost response it shows whether
    // the newest revision was made by this change or by another one.
    while bytes > MAX_DOCUMENT_BYTES && dropped + 1 < sizes.len() {
        bytes -= sizes[dropped].line;
        dropped += 1;
    }
    document.history.drain(..dropped);
}
