//! A fleet beside entries of other writers in the store.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet_support;

use fleet_support::Fleet;

/// Largest value that the store takes.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Guards against a fleet that starts nothing any more: an entry of another writer fills
/// a page of the workers' entries, and its key is read as another one in the query for
/// the next page.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_entry_of_another_writer_stops_nothing() {
    let fleet = Fleet::start(2, 2, false).await;
    let store = &fleet.platform.store;
    store.put("servers/backup#1", &vec![0xff; MAX_VALUE_BYTES]);
    store.put("servers/#&+%", b"[]");
    let asked = store.pages_asked("servers/");
    fleet
        .wait("listings", || store.pages_asked("servers/") > asked + 6)
        .await;
    fleet.submit_until_taken(0, 0xf1, 2, "50").await;
    fleet.wait_for_state(1, 0xf1, "completed").await;
    fleet.wait_for_event("ROWS_LEFT_OUT").await;
    assert_eq!(fleet.count_events("WORKERS_NOT_LISTED"), 0);
    fleet.assert_no_violations();
}

/// Guards against a store whose pages do not advance and that is asked without end; the
/// workers known stay.
#[tokio::test(flavor = "multi_thread")]
async fn pages_that_do_not_advance_are_logged_and_read_no_further() {
    let fleet = Fleet::start(2, 8, false).await;
    let store = &fleet.platform.store;
    fleet.submit_until_taken(0, 0xf1, 1, "50").await;
    fleet.wait_for_state(0, 0xf1, "completed").await;
    store.change_faults(|faults| faults.pages_repeat = true);
    fleet.wait_for_event("WORKERS_NOT_LISTED").await;
    let asked = store.pages_asked("servers/");
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let pages = store.pages_asked("servers/") - asked;
    assert!(pages <= 20, "{pages} pages in 3 s");
    store.change_faults(|faults| faults.pages_repeat = false);
    fleet.submit_until_taken(0, 0xf2, 1, "50").await;
    fleet.wait_for_state(0, 0xf2, "completed").await;
    fleet.assert_no_violations();
}
