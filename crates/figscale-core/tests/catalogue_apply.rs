//! Concurrent changes against a store that loses responses, delays writes and
//! returns stale values: an accepted change stays and is applied exactly once,
//! and no instance goes back to an older revision.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

use figscale_core::catalogue::apply;
use figscale_core::catalogue::history;
use figscale_core::catalogue::local_catalogue;
use figscale_types::catalogue as schema;
use figscale_types::ids;
use figscale_types::operator;
use figscale_types::verdict::Verdict;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs;

const VALID: &str = include_str!("data/catalogue.json");

fn catalogue(weight: u32) -> schema::Catalogue {
    let mut catalogue: schema::Catalogue = serde_json::from_str(VALID).unwrap();
    catalogue.owners[0].weight = weight;
    catalogue
}

fn id(number: u128) -> ids::ChangeId {
    ids::ChangeId(uuid::Uuid::from_u128(number))
}

fn change(base: u64, number: u32) -> apply::Change {
    apply::Change {
        base: ids::Revision(base),
        id: id(number.into()),
        author: format!("operator-{number}"),
        note: "weights".to_owned(),
        proposal: apply::Proposal::Catalogue(Box::new(catalogue(number + 1))),
    }
}

fn start(change: apply::Change) -> apply::Apply {
    apply::Apply::new(change, 7).unwrap()
}

/// A document with the given number of changes, numbered from 1.
fn document(changes: u32) -> schema::Document {
    (1..=changes).fold(schema::Document::default(), |document, number| {
        let line = operator::HistoryLine {
            revision: document.accepted.revision.next(),
            change: id(number.into()),
            author: format!("operator-{number}"),
            note: String::new(),
            accepted_unix_ms: 1,
        };
        history::append(&document, line, catalogue(number))
    })
}

fn read(store: u64, document: &schema::Document) -> apply::Input {
    apply::Input::Read(ids::Revision(store), Some(Box::new(document.clone())))
}

fn empty() -> schema::Document {
    schema::Document::default()
}

#[test]
fn a_change_is_accepted_by_one_write() {
    let mut apply = start(change(0, 9));
    let action = apply.step(apply::Input::Read(ids::Revision(0), None), &empty());
    let apply::Action::Write(over, written) = action else {
        panic!("{action:?}");
    };
    assert_eq!(over, ids::Revision(0));
    assert_eq!(written.accepted.revision, ids::Revision(1));
    assert_eq!(written.history[0].line.author, "operator-9");
    let answer = operator::ApplyAnswer {
        revision: ids::Revision(1),
        repeated: false,
    };
    let done = apply.step(apply::Input::Written, &empty());
    assert_eq!(done, apply::Action::Done(Ok(answer)));
}

#[test]
fn a_lost_response_is_resolved_by_reading_back_the_change() {
    let before = document(1);
    let mut apply = start(change(1, 9));
    let apply::Action::Write(_, written) = apply.step(read(5, &before), &empty()) else {
        panic!("a write");
    };
    let lost = apply::Input::WriteFailed(Verdict::MayHaveRun);
    assert_eq!(apply.step(lost, &empty()), apply::Action::ReadLater);
    assert_eq!(apply.deadline_error().kind, operator::ErrorKind::Unknown);
    let done = apply.step(read(6, &written), &empty());
    let answer = operator::ApplyAnswer {
        revision: ids::Revision(2),
        repeated: false,
    };
    assert_eq!(done, apply::Action::Done(Ok(answer)));
}

#[test]
fn a_write_with_a_lost_response_is_retried_under_the_same_condition() {
    let before = document(1);
    let mut apply = start(change(1, 9));
    let first = apply.step(read(5, &before), &empty());
    apply.step(apply::Input::WriteFailed(Verdict::MayHaveRun), &empty());
    assert_eq!(apply.step(read(5, &before), &empty()), first);
}

#[test]
fn a_repeated_change_is_applied_once() {
    let mut apply = start(change(3, 4));
    let after = history::append(&document(3), line_of(4, 4), catalogue(5));
    let done = apply.step(read(8, &after), &empty());
    let answer = operator::ApplyAnswer {
        revision: ids::Revision(4),
        repeated: true,
    };
    assert_eq!(done, apply::Action::Done(Ok(answer)));
}

fn line_of(revision: u64, number: u32) -> operator::HistoryLine {
    operator::HistoryLine {
        revision: ids::Revision(revision),
        change: id(number.into()),
        author: format!("operator-{number}"),
        note: String::new(),
        accepted_unix_ms: 1,
    }
}

fn refusal(action: apply::Action) -> operator::OperatorError {
    match action {
        apply::Action::Done(Err(error)) => error,
        action => panic!("{action:?}"),
    }
}

#[test]
fn reusing_a_change_id_for_another_catalogue_is_refused() {
    let mut apply = start(change(3, 3));
    let error = refusal(apply.step(read(8, &document(3)), &empty()));
    assert_eq!(error.kind, operator::ErrorKind::Invalid);
    assert!(error.message.contains("already stands for"), "{error}");
}

#[test]
fn a_race_is_a_conflict_that_names_both_changes() {
    let mut apply = start(change(1, 9));
    let error = refusal(apply.step(read(8, &document(3)), &empty()));
    assert_eq!(error.kind, operator::ErrorKind::Conflict);
    for part in [id(9), id(2)] {
        assert!(error.message.contains(&part.to_string()), "{error}");
    }
    assert!(
        error.message.contains("operator-2 made revision 2"),
        "{error}"
    );
}

#[test]
fn an_invalid_change_is_refused_before_the_store_is_read() {
    let mut change = change(0, 9);
    change.proposal = apply::Proposal::Catalogue(Box::new(catalogue(0)));
    let error = apply::Apply::new(change, 7).unwrap_err();
    assert_eq!(error.kind, operator::ErrorKind::Invalid);
    assert!(
        error.message.starts_with("owners.brokers.weight: 0"),
        "{error}"
    );
}

#[test]
fn a_rollback_is_a_new_revision_with_the_old_catalogue() {
    let mut change = change(3, 9);
    change.proposal = apply::Proposal::Rollback(ids::Revision(1));
    let mut apply = start(change.clone());
    let apply::Action::Write(_, written) = apply.step(read(8, &document(3)), &empty()) else {
        panic!("a write");
    };
    assert_eq!(written.accepted.revision, ids::Revision(4));
    assert_eq!(written.accepted.catalogue, catalogue(1));

    change.proposal = apply::Proposal::Rollback(ids::Revision(77));
    let error = refusal(start(change).step(read(8, &document(3)), &empty()));
    assert_eq!(error.kind, operator::ErrorKind::NotFound);
}

#[test]
fn a_change_on_a_restored_store_builds_on_the_catalogue_in_force() {
    let mut apply = start(change(3, 9));
    let apply::Action::Write(over, written) = apply.step(read(4, &document(1)), &document(3))
    else {
        panic!("a write");
    };
    assert_eq!(over, ids::Revision(4));
    assert_eq!(written.accepted.revision, ids::Revision(4));
    assert_eq!(written.history.len(), 4);
}

#[test]
fn a_book_adopts_higher_revisions_only() {
    let mut local_catalogue = local_catalogue::LocalCatalogue::default();
    assert_eq!(local_catalogue.revision(), None);
    assert_eq!(
        local_catalogue.observe(None),
        local_catalogue::Adoption::Same
    );
    assert_eq!(
        local_catalogue.observe(Some(document(3))),
        local_catalogue::Adoption::Adopted
    );
    assert_eq!(
        local_catalogue.observe(Some(document(2))),
        local_catalogue::Adoption::Older
    );
    assert_eq!(
        local_catalogue.observe(None),
        local_catalogue::Adoption::Older
    );
    assert_eq!(local_catalogue.revision(), Some(ids::Revision(3)));
    assert_eq!(local_catalogue.document(), &document(3));
    assert_eq!(
        local_catalogue.repair(Some(&document(2))),
        Some(document(3))
    );
    assert_eq!(local_catalogue.repair(None), Some(document(3)));
    assert_eq!(local_catalogue.repair(Some(&document(3))), None);
    let fork = history::append(&document(2), line_of(3, 99), catalogue(99));
    assert_eq!(
        local_catalogue.observe(Some(fork)),
        local_catalogue::Adoption::Forked
    );
    assert_eq!(local_catalogue.document(), &document(3));
}

#[test]
fn a_peer_forwards_the_newest_catalogue_with_its_line() {
    let mut ahead = local_catalogue::LocalCatalogue::default();
    ahead.observe(Some(document(3)));
    let mut behind = local_catalogue::LocalCatalogue::default();
    behind.observe(Some(document(2)));
    assert_eq!(
        behind.observe_newest(ahead.newest()),
        local_catalogue::Adoption::Adopted
    );
    assert_eq!(behind.document(), &document(3));
    assert_eq!(
        ahead.observe_newest(local_catalogue::LocalCatalogue::default().newest()),
        local_catalogue::Adoption::Older
    );
}

#[test]
fn a_document_stays_within_one_value_of_the_store() {
    let mut big = catalogue(1);
    let entry = big.entries[0].clone();
    for number in 0..1_500 {
        let name = format!("entry-{number:04}").parse().unwrap();
        big.entries.insert(name, entry.clone());
    }
    assert_eq!(figscale_core::catalogue::check(&big), []);
    let mut document = schema::Document::default();
    for number in 1..=20 {
        let mut line = line_of(number, 1);
        line.change = id(number.into());
        line.note = "\u{1}".repeat(apply::MAX_NOTE_LEN);
        document = history::append(&document, line, big.clone());
        let bytes = history::encode(&document).unwrap();
        assert!(
            bytes.len() <= history::MAX_DOCUMENT_BYTES,
            "{}",
            bytes.len()
        );
    }
    assert_eq!(document.accepted.revision, ids::Revision(20));
    assert_eq!(document.history.len(), 20);
    assert!(history::at(&document, ids::Revision(19)).is_some());
    assert!(history::at(&document, ids::Revision(1)).is_none());
}

/// 92 owners and 500 entries, changed more often than history lines are retained.
#[test]
fn a_document_of_the_target_size_stays_small() {
    let mut big = catalogue(1);
    let owner = big.owners[0].clone();
    let entry = big.entries[0].clone();
    for number in 0..90 {
        let name = format!("owner-{number:02}").parse().unwrap();
        big.owners.insert(name, owner.clone());
    }
    for number in 0..498 {
        let name = format!("entry-{number:03}").parse().unwrap();
        big.entries.insert(name, entry.clone());
    }
    assert_eq!(figscale_core::catalogue::check(&big), []);
    // As if every record had been retained; the next change trims the document.
    let line = |number: u64| operator::HistoryLine {
        change: id(number.into()),
        note: "raise the quota of a team for its yearly run".to_owned(),
        ..line_of(number, 1)
    };
    let record = |number| schema::Record {
        line: line(number),
        catalogue: Some(big.clone()),
    };
    let before = schema::Document {
        accepted: schema::Accepted {
            revision: ids::Revision(599),
            change: Some(id(599)),
            catalogue: big.clone(),
        },
        history: (1..600).map(record).collect(),
    };
    let document = history::append(&before, line(600), big.clone());
    let bytes = history::encode(&document).unwrap().len();
    println!(
        "catalogue {} bytes, document {bytes} bytes",
        history::encoded_len(&big)
    );
    assert!(bytes < 400 << 10, "{bytes}");
    assert_eq!(document.history.len(), history::MAX_LINES);
    assert!(history::at(&document, ids::Revision(599)).is_some());
}

/// A store that simulates the faults of the platform's store.
struct Store {
    revision: u64,
    values: Vec<(u64, schema::Document)>,
    /// Writes that were sent, got no response and may take effect later.
    in_flight: Vec<(u64, schema::Document)>,
    rng: rngs::StdRng,
}

impl Store {
    fn current(&self) -> u64 {
        self.values.last().map_or(0, |(revision, _)| *revision)
    }

    fn read(&mut self) -> apply::Input {
        self.apply_delayed_writes();
        match self.rng.random_range(0..10) {
            0 => apply::Input::ReadFailed,
            1 if !self.values.is_empty() => {
                // A stale value, as after a fail-over of the platform.
                let at = self.rng.random_range(0..self.values.len());
                let (revision, document) = &self.values[at];
                read(*revision, document)
            }
            _ => match self.values.last() {
                Some((revision, document)) => read(*revision, document),
                None => apply::Input::Read(ids::Revision(0), None),
            },
        }
    }

    fn write(&mut self, over: u64, document: schema::Document) -> apply::Input {
        match self.rng.random_range(0..6) {
            0 => apply::Input::WriteFailed(Verdict::NotRun),
            1 => {
                self.in_flight.push((over, document));
                apply::Input::WriteFailed(Verdict::MayHaveRun)
            }
            2 => {
                self.put(over, document);
                apply::Input::WriteFailed(Verdict::MayHaveRun)
            }
            _ => match self.put(over, document) {
                true => apply::Input::Written,
                false => apply::Input::WriteConflict,
            },
        }
    }

    fn put(&mut self, over: u64, document: schema::Document) -> bool {
        let fits = over == self.current();
        if fits {
            self.revision += 1 + self.rng.random_range(0..3);
            self.values.push((self.revision, document));
        }
        fits
    }

    fn apply_delayed_writes(&mut self) {
        if !self.in_flight.is_empty() && self.rng.random_bool(0.3) {
            let at = self.rng.random_range(0..self.in_flight.len());
            let (over, document) = self.in_flight.swap_remove(at);
            self.put(over, document);
        }
    }
}

/// One entry instance with the change that it is applying.
struct Instance {
    local_catalogue: local_catalogue::LocalCatalogue,
    in_progress: Option<(apply::Change, apply::Apply, apply::Action)>,
}

impl Instance {
    fn step(&mut self, store: &mut Store) -> Option<(apply::Change, apply::Action)> {
        let (change, mut apply, action) = self.in_progress.take()?;
        let input = match action {
            apply::Action::Read | apply::Action::ReadLater => store.read(),
            apply::Action::Write(over, document) => {
                let input = store.write(over.0, (*document).clone());
                if input == apply::Input::Written {
                    self.local_catalogue.observe(Some(*document));
                }
                input
            }
            done @ apply::Action::Done(_) => return Some((change, done)),
        };
        if let apply::Input::Read(_, document) = &input {
            self.local_catalogue.observe(document.as_deref().cloned());
        }
        let next = apply.step(input, self.local_catalogue.document());
        self.in_progress = Some((change, apply, next));
        None
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: prop::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_changes_are_applied_once_and_refused_ones_never(seed in any::<u64>()) {
        run_concurrent_changes(seed);
    }
}

fn run_concurrent_changes(seed: u64) {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut store = Store {
        revision: 0,
        values: Vec::new(),
        in_flight: Vec::new(),
        rng: rngs::StdRng::seed_from_u64(seed ^ 1),
    };
    let mut instances: Vec<Instance> = (0..4)
        .map(|_| Instance {
            local_catalogue: local_catalogue::LocalCatalogue::default(),
            in_progress: None,
        })
        .collect();
    let mut accepted = Vec::new();
    let mut refused = Vec::new();
    let mut unknown: Vec<apply::Change> = Vec::new();
    let mut number = 0;
    for _ in 0..300 {
        let at = rng.random_range(0..instances.len());
        let instance = &mut instances[at];
        let before = instance.local_catalogue.revision();
        if instance.in_progress.is_none() {
            // A change whose outcome is unknown is retried, here or at another instance.
            let change = match unknown.pop() {
                Some(change) => change,
                None => {
                    number += 1;
                    change(
                        instance.local_catalogue.document().accepted.revision.0,
                        number,
                    )
                }
            };
            let apply = start(change.clone());
            instance.in_progress = Some((change, apply, apply::Action::Read));
        } else if rng.random_bool(0.03) {
            // The deadline passes, or the process is killed.
            let (change, apply, _) = instance.in_progress.take().unwrap();
            if apply.deadline_error().kind == operator::ErrorKind::Unknown {
                unknown.push(change);
            }
        }
        match instance.step(&mut store) {
            Some((change, apply::Action::Done(Ok(answer)))) => accepted.push((change, answer)),
            Some((change, apply::Action::Done(Err(_)))) => refused.push(change),
            _ => {}
        }
        assert!(instance.local_catalogue.revision() >= before);
    }
    let last = &store.values.last().unwrap().1;
    for (change, answer) in &accepted {
        let records = last.history.iter().filter(|r| r.line.change == change.id);
        let revisions: Vec<_> = records.map(|record| record.line.revision).collect();
        assert_eq!(revisions, [answer.revision], "seed {seed}: {change:?}");
    }
    for change in &refused {
        assert_eq!(history::find_change(last, change.id), None, "seed {seed}");
    }
    let revisions: Vec<u64> = last.history.iter().map(|r| r.line.revision.0).collect();
    let expected: Vec<u64> = (1..=last.accepted.revision.0).collect();
    assert_eq!(revisions, expected, "seed {seed}");
    assert!(accepted.len() > 5, "seed {seed}: only {}", accepted.len());
}
