//! Documents of the catalogue: lookup, merge and the bounds of the history.
//!
//! The history is bounded by lines and by bytes, so that a document always
//! fits into one value of the store. The catalogues of old revisions go first,
//! since a line is enough to tell what happened; then the oldest lines go. A
//! change whose line is gone cannot be told from an unknown one, and is still
//! never accepted twice: its base is no longer the revision in force.

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::platform;
use indexmap::IndexSet;
use serde::Serialize;

/// Most lines of history.
pub const MAX_LINES: usize = 500;
/// Most earlier catalogues kept for a rollback.
pub const MAX_KEPT_CATALOGUES: usize = 20;
/// Encoded document above which only the catalogue before the newest is kept:
/// each change sends the document to every entry instance.
pub const COMFORTABLE_DOCUMENT_BYTES: usize = 256 << 10;
/// Largest encoded document; the rest of a value is left as margin.
pub const MAX_DOCUMENT_BYTES: usize = platform::MAX_VALUE_BYTES - (64 << 10);

/// Bytes of a value when encoded as the store keeps it.
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

/// The record of a change, if the history still has it.
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

/// The catalogue of a revision, if it is still kept.
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

/// The document after one more change.
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

/// The higher of two documents, with the records of both.
///
/// Where both have a record of the same revision, the higher document's stays.
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
    // Measuring encodes everything, so it is done only where something grew.
    if merged.history.len() == high.history.len() {
        return merged;
    }
    merged.history.sort_by_key(|record| record.line.revision);
    trim(&mut merged);
    merged
}

/// The record with its catalogue, which for the newest stands elsewhere.
fn with_catalogue(record: &catalogue::Record, document: &catalogue::Document) -> catalogue::Record {
    let mut record = record.clone();
    if record.line.revision == document.accepted.revision {
        record.catalogue = Some(document.accepted.catalogue.clone());
    }
    record
}

/// Keeps a document within its bounds.
fn trim(document: &mut catalogue::Document) {
    let excess = document.history.len().saturating_sub(MAX_LINES);
    document.history.drain(..excess);
    let mut sizes: Vec<Sizes> = document.history.iter().map(Sizes::of).collect();
    drop_catalogues(document, &mut sizes);
    drop_lines(document, &sizes);
}

/// Bytes that a record takes in the encoded document.
struct Sizes {
    line: usize,
    catalogue: usize,
}

impl Sizes {
    fn of(record: &catalogue::Record) -> Self {
        let catalogue = record.catalogue.as_ref().map_or(0, encoded_len);
        // Names of fields and punctuation around the two.
        let overhead = 40;
        Self {
            line: encoded_len(&record.line) + overhead,
            catalogue,
        }
    }
}

fn total(document: &catalogue::Document, sizes: &[Sizes]) -> usize {
    let records: usize = sizes.iter().map(|s| s.line + s.catalogue).sum();
    encoded_len(&document.accepted) + records
}

fn drop_catalogues(document: &mut catalogue::Document, sizes: &mut [Sizes]) {
    let mut bytes = total(document, sizes);
    let mut kept = sizes.iter().filter(|s| s.catalogue > 0).count();
    for (record, size) in document.history.iter_mut().zip(sizes) {
        let limit = match kept {
            0 | 1 => MAX_DOCUMENT_BYTES,
            _ => COMFORTABLE_DOCUMENT_BYTES,
        };
        if kept <= MAX_KEPT_CATALOGUES && bytes <= limit {
            return;
        }
        if size.catalogue > 0 {
            kept -= 1;
            bytes -= size.catalogue;
            size.catalogue = 0;
            record.catalogue = None;
        }
    }
}

fn drop_lines(document: &mut catalogue::Document, sizes: &[Sizes]) {
    let mut bytes = total(document, sizes);
    let mut dropped = 0;
    // The newest line stays: it tells a lost answer from a change of others.
    while bytes > MAX_DOCUMENT_BYTES && dropped + 1 < sizes.len() {
        bytes -= sizes[dropped].line;
        dropped += 1;
    }
    document.history.drain(..dropped);
}
