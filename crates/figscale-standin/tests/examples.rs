//! The example catalogues match the schema and allow the request mixes and the jobs
//! of the cell.

use figscale_standin::cell;
use figscale_types::catalogue;
use figscale_types::catalogue::JobClass;
use rstest::rstest;

fn entry<'a>(catalogue: &'a catalogue::Catalogue, name: &str) -> &'a catalogue::Entry {
    let found = catalogue.entries.iter().find(|(n, _)| n.as_str() == name);
    found.expect("an entry").1
}

fn may_use(entry: &catalogue::Entry, owner: &figscale_types::ids::OwnerName) -> bool {
    let callers = entry.callers.as_ref();
    entry.owner == *owner || callers.is_none_or(|callers| callers.contains(owner))
}

#[rstest]
#[case::fraser_reach(cell::User::FraserReach)]
#[case::firth_shore(cell::User::FirthShore)]
fn every_class_and_job_is_allowed_by_the_catalogue(#[case] user: cell::User) {
    let catalogue = user.catalogue().unwrap();
    for class in user.classes().unwrap() {
        let entry = entry(&catalogue, class.entry.as_str());
        assert!(catalogue.owners.contains_key(&class.owner));
        assert!(may_use(entry, &class.owner), "{}", class.entry);
        let catalogue::Policy::Requests(policy) = &entry.policy else {
            panic!("{} is no entry for requests", class.entry);
        };
        assert_eq!(policy.service, user.service().unwrap());
    }
    let mut classes = Vec::new();
    for job in user.jobs().unwrap() {
        let entry = entry(&catalogue, job.entry.as_str());
        assert!(may_use(entry, &job.owner), "{}", job.entry);
        let catalogue::Policy::Tasks(policy) = &entry.policy else {
            panic!("{} is no entry for tasks", job.entry);
        };
        assert!(job.tasks <= policy.max_tasks);
        classes.push(policy.class);
    }
    let all = [JobClass::Service, JobClass::Batch, JobClass::Gang];
    assert_eq!(classes, all);
}

#[test]
fn the_users_have_different_scoring_weights() {
    let weights = |user: cell::User| user.catalogue().unwrap().weights;
    let fraser = weights(cell::User::FraserReach);
    let firth = weights(cell::User::FirthShore);
    assert!(fraser.waiting > fraser.packing && firth.packing > firth.waiting);
}

#[rstest]
#[case::small(cell::Size::SMALL, 10, 2)]
#[case::full(cell::Size::FULL, 50, 9)]
fn racks_hold_six_and_are_assigned_to_domains_round_robin(
    #[case] size: cell::Size,
    #[case] workers: usize,
    #[case] racks: usize,
) {
    let user = cell::User::FraserReach;
    let place = |number| cell::Place::of(user, size, number).unwrap();
    let places: Vec<_> = (0..workers).map(place).collect();
    let mut by_rack: Vec<_> = places.iter().map(|place| place.rack.clone()).collect();
    by_rack.dedup();
    assert_eq!((size.workers, by_rack.len()), (workers, racks));
    assert_eq!(places[0].failure_domain.as_str(), "mainland-1");
    assert_eq!(places[6].failure_domain.as_str(), "mainland-2");
}
